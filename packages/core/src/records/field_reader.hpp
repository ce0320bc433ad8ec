// Reads typed fields of one JSON record and collects every error with the
// path of its field.
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

/// @brief Deepest nesting accepted in JSON and CBOR; deeper input could
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

    /// @brief Records an error at `path`.
    void reject(const std::string& path, const std::string& found,
                const std::string& allowed);

    /// @brief Empty on error. Text is 1 to 128 printable characters.
    std::string text(const node& in, const char* field);
    std::string optional_text(const node& in, const char* field);
    endpoint address(const node& in, const char* field);
    std::uint64_t integer(const node& in, const char* field, std::uint64_t low,
                          std::uint64_t high);
    /// @brief Leave `out` as it is if the field is absent.
    void optional_integer(const node& in, const char* field, std::uint64_t low,
                          std::uint64_t high, std::uint32_t& out);
    /// @brief The bounds are exclusive below, inclusive above.
    void optional_number(const node& in, const char* field, double low,
                         double high, double& out);
    /// @brief The objects of a list field; `field` must not be empty if
    /// `may_be_empty` is false.
    std::vector<node> objects(const node& in, const char* field,
                              bool may_be_empty);
    /// @brief Null if absent or not an object.
    const nlohmann::json* optional_object(const node& in, const char* field);

private:
    const nlohmann::json* find(const node& in, const char* field,
                               const std::string& allowed);

    std::string key_;
    std::vector<failure>& errors_;
};

/// @brief "hosts[2]" and "packets" make "hosts[2].packets".
std::string join_path(const std::string& path, const std::string& field);

/// @brief The value as text for an error, cut to a readable length.
std::string describe(const nlohmann::json& value);

} // namespace arbutusport::records
