// Converts records of each kind to the typed configuration.

#include "field_reader.hpp"
#include "set_check.hpp"

#include <arbutusport/records/parse.hpp>

#include <algorithm>
#include <string_view>
#include <unordered_map>

namespace arbutusport::records {

namespace {

using nlohmann::json;

constexpr std::uint64_t newest_schema = 2;
constexpr std::uint64_t max_drain_s = 24 * 3600;
constexpr std::uint64_t max_slow_start_s = 3600;
constexpr std::uint64_t max_latency_ms = 60'000;
constexpr double max_weight = 1000;
constexpr std::size_t secret_hex_digits = 32;

host_state read_host_state(field_reader& reader, const node& in) {
    const std::string state = reader.optional_text(in, "state");
    if (state == "draining")
        return host_state::draining;
    if (state == "out")
        return host_state::out;
    if (!state.empty() && state != "active")
        reader.reject(join_path(in.path, "state"), '"' + state + '"',
                      "active, draining or out");
    return host_state::active;
}

host read_host(field_reader& reader, const node& in, std::uint64_t schema) {
    host it;
    it.name = reader.text(in, "name");
    it.id = process_id_of(it.name);
    it.data_centre = reader.text(in, "data_centre");
    it.packets = reader.address(in, "packets");
    it.control = reader.address(in, "control");
    if (schema >= 2) {
        reader.optional_number(in, "weight", 0, max_weight, it.weight);
        it.state = read_host_state(reader, in);
    }
    return it;
}

host_limits read_limits(field_reader& reader, const node& in) {
    host_limits it;
    const json* object = reader.optional_object(in, "limits");
    if (!object)
        return it;
    const node limits{*object, "limits"};
    reader.optional_integer(limits, "slots", 1, 1024, it.slots);
    reader.optional_integer(limits, "connections", 1, 1'000'000,
                            it.connections);
    reader.optional_integer(limits, "queue", 0, 65'535, it.queue);
    return it;
}

objectives read_objectives(field_reader& reader, const node& in) {
    objectives it;
    const json* object = reader.optional_object(in, "objectives");
    if (!object)
        return it;
    const node goals{*object, "objectives"};
    reader.optional_number(goals, "flows_kept", 0, 1, it.flows_kept);
    reader.optional_number(goals, "requests_served", 0, 1, it.requests_served);
    reader.optional_number(goals, "requests_in_time", 0, 1,
                           it.requests_in_time);
    std::uint32_t latency_ms = 250;
    reader.optional_integer(goals, "latency_ms", 1, max_latency_ms, latency_ms);
    it.latency = std::chrono::milliseconds(latency_ms);
    return it;
}

void read_service(field_reader& reader, const node& in, std::uint64_t schema,
                  parsed_set& set) {
    service it;
    it.name = reader.text(in, "name");
    it.id = service_id_of(it.name);
    it.organisation = reader.text(in, "organisation");
    it.address = reader.address(in, "address");
    it.limits = read_limits(reader, in);
    it.service_objectives = read_objectives(reader, in);
    std::uint32_t drain_s = 1800;
    std::uint32_t slow_start_s = 30;
    reader.optional_integer(in, "drain_timeout_s", 0, max_drain_s, drain_s);
    reader.optional_integer(in, "slow_start_s", 0, max_slow_start_s,
                            slow_start_s);
    it.drain_timeout = std::chrono::seconds(drain_s);
    it.slow_start = std::chrono::seconds(slow_start_s);
    for (const node& member : reader.objects(in, "hosts", true))
        it.hosts.push_back(read_host(reader, member, schema));
    set.out.services.push_back(std::move(it));
}

void read_entries(field_reader& reader, const node& in, const std::string& key,
                  parsed_set& set) {
    const std::string data_centre = reader.text(in, "data_centre");
    const std::string region = reader.text(in, "region");
    for (const node& member : reader.objects(in, "entries", true)) {
        entry it;
        it.name = reader.text(member, "name");
        it.id = process_id_of(it.name);
        it.data_centre = data_centre;
        it.region = region;
        it.packets = reader.address(member, "packets");
        it.control = reader.address(member, "control");
        set.out.entries.push_back(std::move(it));
        set.entry_locations.push_back({key, member.path});
    }
}

bool is_secret(const std::string& text) {
    return text.size() == secret_hex_digits &&
           text.find_first_not_of("0123456789abcdefABCDEF") ==
               std::string::npos;
}

void read_keys(field_reader& reader, const node& in, const std::string& key,
               parsed_set& set) {
    for (const node& member : reader.objects(in, "keys", false)) {
        packet_key it;
        it.id = key_id(
            static_cast<std::uint8_t>(reader.integer(member, "id", 0, 255)));
        it.secret_hex = reader.text(member, "secret");
        // The error omits the secret itself.
        if (!it.secret_hex.empty() && !is_secret(it.secret_hex))
            reader.reject(join_path(member.path, "secret"), "another text",
                          "32 hexadecimal digits");
        const std::string state = reader.text(member, "state");
        if (state == "active")
            it.state = key_state::active;
        else if (!state.empty() && state != "accepted")
            reader.reject(join_path(member.path, "state"), '"' + state + '"',
                          "accepted or active");
        set.out.keys.push_back(std::move(it));
        set.key_locations.push_back({key, member.path});
    }
}

void read_body(field_reader& reader, const node& in, const std::string& key,
               const std::string& kind, std::uint64_t schema, parsed_set& set) {
    if (kind == "service")
        read_service(reader, in, schema, set);
    else if (kind == "entries")
        read_entries(reader, in, key, set);
    else if (kind == "keys")
        read_keys(reader, in, key, set);
    else if (kind == "fleet")
        set.fleet_epochs.emplace_back(
            key, reader.integer(in, "epoch", 0, UINT32_MAX));
    else
        reader.reject("kind", '"' + kind + '"',
                      "service, entries, keys or fleet");
}

void read_record(const raw_record& raw, parsed_set& set,
                 std::vector<failure>& errors) {
    field_reader reader(raw.key, errors);
    if (raw.json.size() > max_record_size)
        return reader.reject("record",
                             std::to_string(raw.json.size()) + " bytes",
                             "at most 1000000 bytes");
    if (!is_well_formed(raw.json, json::input_format_t::json))
        return reader.reject("record", "malformed or deeply nested JSON",
                             "JSON of at most 32 levels");
    const json document = json::parse(raw.json);
    if (!document.is_object())
        return reader.reject("record", describe(document), "an object");
    const node in{document, ""};
    const auto before = errors.size();
    const auto schema = reader.integer(in, "schema", 1, newest_schema);
    const std::string kind = reader.text(in, "kind");
    const std::string name = reader.text(in, "name");
    if (errors.size() != before)
        return;
    if (raw.key != kind + "/" + name)
        reader.reject("name", '"' + kind + "/" + name + '"',
                      "the record's key " + raw.key);
    read_body(reader, in, raw.key, kind, schema, set);
}

void sort_hosts(snapshot& out) {
    for (service& it : out.services)
        std::ranges::sort(it.hosts, {}, &host::id);
    std::ranges::sort(out.services, {}, &service::name);
    std::ranges::sort(out.entries, {}, &entry::id);
}

// The services of an accepted set, indexed by the text of their records.
using known_services = std::unordered_map<std::string_view, const service*>;

known_services index_services(const snapshot_ptr& base) {
    known_services out;
    if (!base)
        return out;
    std::unordered_map<std::string, const service*> by_key;
    for (const service& it : base->services)
        by_key.emplace("service/" + it.name, &it);
    for (const raw_record& it : base->raw_records)
        if (const auto found = by_key.find(it.key); found != by_key.end())
            out.emplace(it.json, found->second);
    return out;
}

parsed_set parse_set(generation gen, const std::vector<raw_record>& raw,
                     const known_services& known,
                     std::vector<failure>& errors) {
    parsed_set set;
    set.out.gen = gen;
    check_keys(raw, errors);
    for (const raw_record& it : raw) {
        const auto found = known.find(it.json);
        if (found != known.end() && it.key == "service/" + found->second->name)
            set.out.services.push_back(*found->second);
        else
            read_record(it, set, errors);
    }
    // Runs before the sort: paths in errors refer to the order of hosts in the
    // record.
    check_set(set, errors);
    sort_hosts(set.out);
    return set;
}

} // namespace

result<snapshot_ptr> build_snapshot(generation gen, std::vector<raw_record> raw,
                                    const snapshot_ptr& base) {
    std::ranges::sort(raw, {}, &raw_record::key);
    std::vector<failure> errors;
    parsed_set set = parse_set(gen, raw, index_services(base), errors);
    if (!errors.empty()) {
        // Hosts of reused services are already sorted, so paths to them don't
        // match the record. The set is parsed again without `base`.
        if (base)
            return build_snapshot(gen, std::move(raw));
        return leaf::new_error(errors.front());
    }
    set.out.raw_records = std::move(raw);
    return std::make_shared<const snapshot>(std::move(set.out));
}

std::vector<failure> check_records(generation gen,
                                   const std::vector<raw_record>& raw) {
    std::vector<raw_record> sorted = raw;
    std::ranges::sort(sorted, {}, &raw_record::key);
    std::vector<failure> errors;
    parse_set(gen, sorted, {}, errors);
    return errors;
}

} // namespace arbutusport::records
