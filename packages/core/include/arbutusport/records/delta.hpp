// Deltas: the records that differ between two configurations, and their
// encoding.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/error.hpp>
#include <arbutusport/records/records.hpp>

#include <string>
#include <vector>

namespace arbutusport::records {

/// @brief Keys and revisions of a set, without the text of the records.
struct outline {
    generation gen;
    /// Key and revision, sorted by key.
    std::vector<std::pair<std::string, std::uint64_t>> records;
};

/// @brief The changes that turn the set of `from` into that of `to`. A delta
/// from generation 0.0 contains the complete set.
struct record_delta {
    generation from;
    generation to;
    /// Digest of the complete set of `to`.
    std::uint64_t digest = 0;
    std::vector<raw_record> changed;
    std::vector<std::string> removed;
};

outline make_outline(const snapshot& it);

/// @brief Returns a digest of the keys, revisions and texts of a set. The order
/// of records doesn't matter.
std::uint64_t compute_digest(const std::vector<raw_record>& set);

/// @brief Compares revisions and texts.
record_delta make_delta(const snapshot& from, const snapshot& to);
/// @brief Compares revisions only. Returns a complete set if the epochs differ,
/// because a restored store may use a revision a second time.
record_delta make_delta(const outline& from, const snapshot& to);
record_delta make_full_delta(const snapshot& to);

/// @brief Returns the set of `it.to`. Fails if `from` (null for none) is not
/// the base of the delta, or if the result does not match the digest.
result<std::vector<raw_record>> apply_delta(const snapshot_ptr& from,
                                            const record_delta& it);

/// @brief Encodes a delta as CBOR.
bytes encode_delta(const record_delta& it);
result<record_delta> decode_delta(byte_view data);

} // namespace arbutusport::records
