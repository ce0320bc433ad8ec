// Computes, applies and encodes deltas between sets of records.

#include "field_reader.hpp"

#include <arbutusport/base/hash.hpp>
#include <arbutusport/records/delta.hpp>
#include <arbutusport/records/parse.hpp>

#include <algorithm>
#include <map>

namespace arbutusport::records {

namespace {

using nlohmann::json;

// Many times the number of records at the target sizes. The limit bounds the
// memory that a hostile message can make a process use.
constexpr std::size_t max_records = 100'000;

leaf::error_id reject(const char* step, const std::string& reason) {
    return fail(step, "", reason);
}

json pack(const generation& it) {
    return json::array({it.epoch, it.revision});
}

generation unpack_generation(const json& it) {
    return {it.at(0).get<std::uint32_t>(), it.at(1).get<std::uint64_t>()};
}

raw_record unpack_record(const json& it) {
    return {it.at(0).get<std::string>(), it.at(1).get<std::string>(),
            it.at(2).get<std::uint64_t>()};
}

record_delta unpack_delta(const json& it) {
    record_delta out;
    out.from = unpack_generation(it.at("f"));
    out.to = unpack_generation(it.at("t"));
    out.digest = it.at("d").get<std::uint64_t>();
    for (const json& record : it.at("c"))
        out.changed.push_back(unpack_record(record));
    for (const json& key : it.at("r"))
        out.removed.push_back(key.get<std::string>());
    return out;
}

bool is_within_limits(const record_delta& it) {
    return it.changed.size() + it.removed.size() <= max_records &&
           std::ranges::all_of(it.changed, [](const raw_record& record) {
               return record.json.size() <= max_record_size;
           });
}

} // namespace

outline make_outline(const snapshot& it) {
    outline out{it.gen, {}};
    for (const raw_record& record : it.raw_records)
        out.records.emplace_back(record.key, record.revision);
    std::ranges::sort(out.records);
    return out;
}

std::uint64_t compute_digest(const std::vector<raw_record>& set) {
    std::uint64_t sum = set.size();
    // Addition makes the digest independent of the order.
    for (const raw_record& it : set)
        sum += hash_combine(hash64(it.key, it.revision), hash64(it.json));
    return sum;
}

record_delta make_full_delta(const snapshot& to) {
    return {{}, to.gen, compute_digest(to.raw_records), to.raw_records, {}};
}

record_delta make_delta(const snapshot& from, const snapshot& to) {
    record_delta out{from.gen, to.gen, compute_digest(to.raw_records), {}, {}};
    std::map<std::string, const raw_record*> old;
    for (const raw_record& it : from.raw_records)
        old.emplace(it.key, &it);
    for (const raw_record& it : to.raw_records) {
        const auto found = old.find(it.key);
        if (found == old.end() || found->second->json != it.json ||
            found->second->revision != it.revision)
            out.changed.push_back(it);
        if (found != old.end())
            old.erase(found);
    }
    for (const auto& [key, record] : old)
        out.removed.push_back(key);
    return out;
}

record_delta make_delta(const outline& from, const snapshot& to) {
    if (from.gen.epoch != to.gen.epoch)
        return make_full_delta(to);
    record_delta out{from.gen, to.gen, compute_digest(to.raw_records), {}, {}};
    std::map<std::string, std::uint64_t> old(from.records.begin(),
                                             from.records.end());
    for (const raw_record& it : to.raw_records) {
        const auto found = old.find(it.key);
        if (found == old.end() || found->second != it.revision)
            out.changed.push_back(it);
        if (found != old.end())
            old.erase(found);
    }
    for (const auto& [key, revision] : old)
        out.removed.push_back(key);
    return out;
}

result<std::vector<raw_record>> apply_delta(const snapshot_ptr& from,
                                            const record_delta& it) {
    std::map<std::string, raw_record> set;
    if (it.from != generation{}) {
        if (!from || from->gen != it.from)
            return reject("apply_delta", "delta from " + to_string(it.from) +
                                             ", allowed only the set in use");
        for (const raw_record& record : from->raw_records)
            set.emplace(record.key, record);
    }
    for (const std::string& key : it.removed)
        set.erase(key);
    for (const raw_record& record : it.changed)
        set[record.key] = record;
    std::vector<raw_record> out;
    out.reserve(set.size());
    for (auto& [key, record] : set)
        out.push_back(std::move(record));
    if (compute_digest(out) != it.digest)
        return reject("apply_delta", "digest of " + to_string(it.to) +
                                         " differs from the delta's");
    return out;
}

bytes encode_delta(const record_delta& it) {
    json changed = json::array();
    for (const raw_record& record : it.changed)
        changed.push_back(
            json::array({record.key, record.json, record.revision}));
    const json out{{"f", pack(it.from)},
                   {"t", pack(it.to)},
                   {"d", it.digest},
                   {"c", std::move(changed)},
                   {"r", it.removed}};
    return json::to_cbor(out);
}

result<record_delta> decode_delta(byte_view data) {
    const std::string_view text(reinterpret_cast<const char*>(data.data()),
                                data.size());
    if (!is_well_formed(text, json::input_format_t::cbor))
        return reject("decode_delta", "malformed CBOR");
    try {
        record_delta it =
            unpack_delta(json::from_cbor(data.begin(), data.end()));
        if (is_within_limits(it))
            return it;
        return reject("decode_delta", "more or larger records than allowed");
    } catch (const json::exception& error) {
        return reject("decode_delta", error.what());
    }
}

} // namespace arbutusport::records
