// Checks across the records of a set: names, ids, addresses and keys.
#pragma once

#include <arbutusport/base/error.hpp>
#include <arbutusport/records/records.hpp>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace arbutusport::records {

/// @brief The key of a record and the path of an object in it.
struct record_location {
    std::string key;
    std::string path;
};

/// @brief A snapshot under construction, with the data for its checks.
struct parsed_set {
    /// Hosts are in the order of their record.
    snapshot out;
    /// One location for each element of `out.entries` and of `out.keys`.
    std::vector<record_location> entry_locations;
    std::vector<record_location> key_locations;
    /// Record key and epoch of each fleet record.
    std::vector<std::pair<std::string, std::uint64_t>> fleet_epochs;
};

/// @brief Reports record keys that occur more than once.
void check_keys(const std::vector<raw_record>& raw,
                std::vector<failure>& errors);

/// @brief Reports duplicate names, ids and addresses, a number of active keys
/// other than one, and a fleet epoch other than the generation's.
void check_set(const parsed_set& it, std::vector<failure>& errors);

} // namespace arbutusport::records
