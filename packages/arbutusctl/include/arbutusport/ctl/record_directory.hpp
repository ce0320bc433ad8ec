// Reads a directory of record files, <kind>.<name>.json each.
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
    /// File of each record by its key.
    std::map<std::string, std::string> files;
};

/// @brief Reads every *.json file. Fails with step "read_records" if the
/// directory cannot be read, is empty or holds a file of another name.
result<record_directory> read_record_directory(const std::string& path);

/// @brief Line, from 1, at which the field with this path ("hosts[2].weight")
/// stands in a JSON text; the line of the nearest enclosing field if there is
/// none, 1 for the whole document.
std::size_t line_of_field(std::string_view json, std::string_view path);

} // namespace arbutusport::ctl
