// Sync requests and replies and their CBOR encoding.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/error.hpp>
#include <arbutusport/membership/membership.hpp>
#include <arbutusport/records/delta.hpp>

#include <optional>
#include <vector>

namespace arbutusport::config {

struct sync_message {
    /// Generation of the sender's newest set; 0.0 if it has none.
    generation gen;
    std::uint64_t digest = 0;
    /// In a request: the reply shall contain a delta if the receiver's set is
    /// newer. In a reply: the requester shall send a delta.
    bool wants_delta = false;
    std::optional<records::record_delta> delta;
    std::vector<membership::member_event> events;
    /// Random for each request; the reply repeats it.
    std::uint64_t nonce = 0;
};

/// @brief Encodes a message as CBOR.
bytes encode_sync(const sync_message& message);

/// @brief Fails with step "decode_sync" if the input is malformed or oversized.
result<sync_message> decode_sync(byte_view data);

} // namespace arbutusport::config
