// Parses the platform's responses and validates each field.

#include <arbutusport/adapters/platform_client.hpp>

#include <nlohmann/json.hpp>

#include <limits>

namespace arbutusport::adapters {

namespace {

using nlohmann::json;

leaf::error_id invalid_response(const char* step, const std::string& peer,
                                const std::string& reason) {
    return fail(step, peer, reason);
}

bool is_unsigned(const json& object, const char* field, std::uint64_t limit) {
    return object.is_object() && object.contains(field) &&
           object[field].is_number_unsigned() &&
           object[field].get<std::uint64_t>() <= limit;
}

bool is_text(const json& object, const char* field) {
    return object.is_object() && object.contains(field) &&
           object[field].is_string();
}

bool is_list(const json& object, const char* field) {
    return object.is_object() && object.contains(field) &&
           object[field].is_array();
}

constexpr auto any_number = std::numeric_limits<std::uint64_t>::max();

} // namespace

result<config::head> parse_head(std::string_view text,
                                const std::string& peer) {
    const json doc = json::parse(text, nullptr, false);
    if (!is_unsigned(doc, "epoch", std::numeric_limits<std::uint32_t>::max()))
        return invalid_response("parse_head", peer,
                                "field epoch: not a 32-bit number");
    if (!is_unsigned(doc, "revision", any_number))
        return invalid_response("parse_head", peer,
                                "field revision: not a number");
    if (!is_list(doc, "records"))
        return invalid_response("parse_head", peer,
                                "field records: not a list");
    config::head out;
    out.gen = {doc["epoch"].get<std::uint32_t>(),
               doc["revision"].get<std::uint64_t>()};
    for (const json& element : doc["records"]) {
        if (!is_text(element, "key") ||
            !is_unsigned(element, "revision", any_number))
            return invalid_response(
                "parse_head", peer,
                "field records: an element lacks key or revision");
        out.records.push_back({element["key"].get<std::string>(),
                               element["revision"].get<std::uint64_t>()});
    }
    return out;
}

result<std::vector<platform_instance>>
parse_instances(std::string_view text, const std::string& peer) {
    const json doc = json::parse(text, nullptr, false);
    if (!is_list(doc, "instances"))
        return invalid_response("parse_instances", peer,
                                "field instances: not a list");
    std::vector<platform_instance> out;
    for (const json& element : doc["instances"]) {
        if (!is_text(element, "name") || !is_text(element, "state"))
            return invalid_response(
                "parse_instances", peer,
                "field instances: an element lacks name or state");
        const auto state = element["state"].get<std::string>();
        if (state != "live" && state != "leaving")
            return invalid_response("parse_instances", peer,
                                    "field state: neither live nor leaving");
        out.push_back({element["name"].get<std::string>(), state == "leaving"});
    }
    return out;
}

} // namespace arbutusport::adapters
