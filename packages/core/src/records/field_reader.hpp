// Reads typed fields of a JSON record and collects all errors with the paths of
// their fields.
#pragma once

#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/base/error.hpp>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusport::records {

/// @brief Maximum nesting depth of JSON and CBOR input. Deeper input could
/// exhaust the stack of a recursive decoder.
inline constexpr std::size_t max_nesting = 32;

/// @brief False if `data` is malformed or nested too deeply.
bool is_well_formed(std::string_view data, nlohmann::json::input_format_t as);

/// @brief An object inside a record and its path, such as "hosts[2]".
struct node {
    const nlohmann::json& value;
    std::string path;
};

class field_reader {
public:
    field_reader(std::string key, std::vector<failure>& errors)
        : key_(std::move(key)), errors_(errors) {}

    /// @brief Adds an error at `path`.
    void reject(const std::string& path, const std::string& found,
                const std::string& allowed);

    /// @brief Reads a text of 1 to 128 printable characters; empty on error.
    std::string text(const node& in, const char* field);
    std::string optional_text(const node& in, const char* field);
    endpoint address(const node& in, const char* field);
    std::uint64_t integer(const node& in, const char* field, std::uint64_t low,
                          std::uint64_t high);
    /// @brief Leaves `out` unchanged if the field is absent.
    void optional_integer(const node& in, const char* field, std::uint64_t low,
                          std::uint64_t high, std::uint32_t& out);
    /// @brief Reads a number above `low` and at most `high`. Leaves `out`
    /// unchanged if the field is absent or invalid.
    void optional_number(const node& in, const char* field, double low,
                         double high, double& out);
    /// @brief Returns the objects in a list field. An empty list is an error
    /// unless `may_be_empty` is true.
    std::vector<node> objects(const node& in, const char* field,
                              bool may_be_empty);
    /// @brief Returns null if the field is absent or not an object.
    const nlohmann::json* optional_object(const node& in, const char* field);

private:
    const nlohmann::json* find_required(const node& in, const char* field,
                                        const std::string& allowed);

    std::string key_;
    std::vector<failure>& errors_;
};

/// @brief Joins a path and a field: "hosts[2]" and "packets" give
/// "hosts[2].packets".
std::string join_path(const std::string& path, const std::string& field);

/// @brief Formats a value for an error message, truncated to a readable length.
std::string describe(const nlohmann::json& value);

} // namespace arbutusport::records
