// Reads a directory of record files named <kind>.<name>.json.
#pragma once

#include <arbutusport/base/error.hpp>
#include <arbutusport/records/records.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusport::ctl {

struct record_directory {
    std::string path;
    generation gen;
    std::vector<records::raw_record> set;
    /// Path of each record's file, by record key.
    std::map<std::string, std::string> files;
};

/// @brief Reads every *.json file. Fails with step "read_records" if the
/// directory cannot be read, contains no record file or contains a
/// *.json file with another name.
result<record_directory> read_record_directory(const std::string& path);

/// @brief Returns the 1-based line of the field with this path
/// ("hosts[2].weight") in a JSON text. If there is no such field, returns the
/// line of the nearest enclosing field, or 1 for the whole document.
std::size_t line_of_field(std::string_view json, std::string_view path);

} // namespace arbutusport::ctl
