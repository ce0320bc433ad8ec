// From published JSON to an accepted configuration, or to the reasons why it
// is refused.
#pragma once

#include <arbutusport/base/error.hpp>
#include <arbutusport/records/records.hpp>

#include <string>
#include <vector>

namespace arbutusport::records {

/// @brief Largest value that the platform holds, in bytes.
inline constexpr std::size_t max_record_size = 1'000'000;

/// @brief Parses and validates a whole set. One malformed record refuses it:
/// the error is the first that check_records would list. `base`, if any, is
/// an accepted set: its services whose records are unchanged are not parsed
/// again.
result<snapshot_ptr> build_snapshot(generation gen, std::vector<raw_record> set,
                                    const snapshot_ptr& base = nullptr);

/// @brief Every error of a set; empty if build_snapshot accepts it. `peer` is
/// the record's key, `reason` is "<field path>: found <x>, allowed <y>".
std::vector<failure> check_records(generation gen,
                                   const std::vector<raw_record>& set);

/// @brief One warning for each field that the record's schema does not have,
/// with the nearest known field. Empty for a record that does not parse.
std::vector<std::string> unknown_fields(const raw_record& it);

} // namespace arbutusport::records
