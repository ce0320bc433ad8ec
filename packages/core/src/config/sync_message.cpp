// Encodes sync messages as CBOR and decodes them.

#include "sync_message.hpp"

#include "../records/field_reader.hpp"

namespace arbutusport::config {

namespace {

using membership::member_event;
using membership::member_state;
using nlohmann::json;

// In bytes; several times the complete set at the target sizes (about 1 MB).
constexpr std::size_t max_message_size = 16'000'000;
constexpr std::size_t max_events = 64;

json pack(const member_event& it) {
    return json::array({it.id.value(), it.run.value(), it.refutations,
                        static_cast<unsigned>(it.state)});
}

member_event unpack_event(const json& it) {
    return {process_id(it.at(0).get<std::uint64_t>()),
            incarnation(it.at(1).get<std::uint64_t>()),
            it.at(2).get<std::uint32_t>(),
            static_cast<member_state>(it.at(3).get<std::uint8_t>())};
}

result<sync_message> unpack(const json& in) {
    sync_message message;
    message.gen = {in.at("g").at(0).get<std::uint32_t>(),
                   in.at("g").at(1).get<std::uint64_t>()};
    message.digest = in.at("d").get<std::uint64_t>();
    message.wants_delta = in.contains("w");
    if (in.contains("n"))
        message.nonce = in["n"].get<std::uint64_t>();
    if (in.contains("e")) {
        if (in["e"].size() > max_events)
            return fail("decode_sync", "", "more events than allowed");
        for (const json& event : in["e"]) {
            message.events.push_back(unpack_event(event));
            if (message.events.back().state > member_state::down)
                return fail("decode_sync", "", "unknown member state");
        }
    }
    if (in.contains("x")) {
        BOOST_LEAF_AUTO(delta, records::decode_delta(in["x"].get_binary()));
        message.delta = std::move(delta);
    }
    return message;
}

} // namespace

// Omits fields with default values: most messages contain neither a delta nor
// events.
bytes encode_sync(const sync_message& message) {
    json out{{"g", json::array({message.gen.epoch, message.gen.revision})},
             {"d", message.digest}};
    if (message.nonce != 0)
        out["n"] = message.nonce;
    if (message.wants_delta)
        out["w"] = true;
    if (message.delta)
        out["x"] = json::binary(records::encode_delta(*message.delta));
    if (!message.events.empty()) {
        json& events = out["e"] = json::array();
        for (const member_event& event : message.events)
            events.push_back(pack(event));
    }
    return json::to_cbor(out);
}

result<sync_message> decode_sync(byte_view data) {
    const std::string_view text(reinterpret_cast<const char*>(data.data()),
                                data.size());
    if (data.size() > max_message_size)
        return fail("decode_sync", "", "oversized");
    if (!records::is_well_formed(text, json::input_format_t::cbor))
        return fail("decode_sync", "", "malformed CBOR");
    try {
        return unpack(json::from_cbor(data.begin(), data.end()));
    } catch (const json::exception& error) {
        return fail("decode_sync", "", error.what());
    }
}

} // namespace arbutusport::config
