// Warns about fields that a record's schema does not define.

#include "field_reader.hpp"

#include <arbutusport/records/parse.hpp>

#include <algorithm>
#include <map>

namespace arbutusport::records {

namespace {

using nlohmann::json;
using field_list = std::vector<std::string>;

// Known fields by kind and path; "service.hosts" lists the fields of each
// object in "hosts". Schema 1 lacks the fields in schema_2_only.
const std::map<std::string, field_list> known_fields{
    {"service",
     {"schema", "kind", "name", "organisation", "address", "limits",
      "objectives", "drain_timeout_s", "slow_start_s", "hosts"}},
    {"service.limits", {"slots", "connections", "queue"}},
    {"service.objectives",
     {"flows_kept", "requests_served", "latency_ms", "requests_in_time"}},
    {"service.hosts",
     {"name", "data_centre", "packets", "control", "weight", "state"}},
    {"entries", {"schema", "kind", "name", "data_centre", "region", "entries"}},
    {"entries.entries", {"name", "packets", "control"}},
    {"keys", {"schema", "kind", "name", "keys"}},
    {"keys.keys", {"id", "secret", "state"}},
    {"fleet", {"schema", "kind", "name", "epoch"}},
};

const std::map<std::string, field_list> schema_2_only{
    {"service.hosts", {"weight", "state"}},
};

// Returns the Levenshtein distance.
std::size_t edit_distance(const std::string& left, const std::string& right) {
    std::vector<std::size_t> row(right.size() + 1);
    for (std::size_t j = 0; j <= right.size(); ++j)
        row[j] = j;
    for (std::size_t i = 1; i <= left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const std::size_t above = row[j];
            const std::size_t change = left[i - 1] == right[j - 1] ? 0 : 1;
            row[j] = std::min({above + 1, row[j - 1] + 1, diagonal + change});
            diagonal = above;
        }
    }
    return row.back();
}

std::string find_nearest(const std::string& field, const field_list& known) {
    return *std::ranges::min_element(known, {}, [&](const std::string& it) {
        return edit_distance(field, it);
    });
}

field_list known_fields_at(const std::string& schema_path,
                           std::uint64_t schema) {
    field_list known = known_fields.at(schema_path);
    const auto newer = schema_2_only.find(schema_path);
    if (schema < 2 && newer != schema_2_only.end())
        std::erase_if(known, [&](const std::string& it) {
            return std::ranges::find(newer->second, it) != newer->second.end();
        });
    return known;
}

class unknown_field_finder {
public:
    unknown_field_finder(std::uint64_t schema, std::vector<std::string>& out)
        : schema_(schema), out_(out) {}

    void visit(const json& object, const std::string& schema_path,
               const std::string& path) {
        const field_list known = known_fields_at(schema_path, schema_);
        for (const auto& [field, value] : object.items()) {
            const std::string field_path = join_path(path, field);
            if (std::ranges::find(known, field) == known.end())
                warn(field_path, field, known);
            else
                descend(value, schema_path + "." + field, field_path);
        }
    }

private:
    void descend(const json& value, const std::string& schema_path,
                 const std::string& path) {
        if (!known_fields.contains(schema_path))
            return;
        if (value.is_object())
            visit(value, schema_path, path);
        if (value.is_array())
            for (std::size_t i = 0; i < value.size(); ++i)
                if (value[i].is_object())
                    visit(value[i], schema_path,
                          path + "[" + std::to_string(i) + "]");
    }

    void warn(const std::string& field_path, const std::string& field,
              const field_list& known) {
        // A long name is reported without a suggestion, because a comparison
        // costs its length times the length of each known field.
        constexpr std::size_t max_compared = 64;
        std::string text =
            field_path + ": unknown field in schema " + std::to_string(schema_);
        if (field.size() <= max_compared)
            text += "; nearest known field: " + find_nearest(field, known);
        out_.push_back(std::move(text));
    }

    std::uint64_t schema_;
    std::vector<std::string>& out_;
};

} // namespace

std::vector<std::string> unknown_fields(const raw_record& it) {
    std::vector<std::string> found;
    if (!is_well_formed(it.json, json::input_format_t::json))
        return found;
    const json document = json::parse(it.json);
    if (!document.is_object())
        return found;
    const auto kind = document.find("kind");
    const auto schema = document.find("schema");
    if (kind == document.end() || schema == document.end() ||
        !kind->is_string() || !schema->is_number_unsigned())
        return found;
    const auto schema_path = kind->get<std::string>();
    if (known_fields.contains(schema_path) &&
        schema_path.find('.') == std::string::npos)
        unknown_field_finder(schema->get<std::uint64_t>(), found)
            .visit(document, schema_path, "");
    return found;
}

} // namespace arbutusport::records
