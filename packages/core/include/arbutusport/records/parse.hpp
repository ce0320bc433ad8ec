// Parses and validates published JSON records. The result is an accepted
// configuration or the reasons for its refusal.
#pragma once

#include <arbutusport/base/error.hpp>
#include <arbutusport/records/records.hpp>

#include <string>
#include <vector>

namespace arbutusport::records {

/// @brief Size of the largest value that the platform stores, in bytes.
inline constexpr std::size_t max_record_size = 1'000'000;

/// @brief Parses and validates a whole set. One malformed record causes the
/// whole set to be refused; the error is the first that check_records() lists.
/// `base`, if any, is an accepted set. Its services are reused, rather than
/// parsed again, if their records are unchanged.
result<snapshot_ptr> build_snapshot(generation gen, std::vector<raw_record> set,
                                    const snapshot_ptr& base = nullptr);

/// @brief Returns all errors of a set; empty if build_snapshot() accepts it. In
/// each error `peer` is the record's key, and `reason` has the form
/// "<field path>: found <x>, allowed <y>".
std::vector<failure> check_records(generation gen,
                                   const std::vector<raw_record>& set);

/// @brief Returns a warning for each field that the record's schema does not
/// define, with the most similar known field. Empty if the record does not
/// parse.
std::vector<std::string> unknown_fields(const raw_record& it);

} // namespace arbutusport::records
