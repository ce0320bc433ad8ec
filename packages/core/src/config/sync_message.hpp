// Sync requests and replies.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/error.hpp>
#include <arbutusport/membership/membership.hpp>
#include <arbutusport/records/delta.hpp>

#include <optional>
#include <vector>

namespace arbutusport::config {

struct sync_message {
    /// The newest set that the sender holds; 0.0 if none.
    generation gen;
    std::uint64_t digest = 0;
    /// In a request: the reply should carry a delta if the receiver's set is
    /// newer. In a reply: the requester should send one.
    bool wants = false;
    std::optional<records::record_delta> delta;
    std::vector<membership::member_event> events;
    /// Drawn for each request; the reply repeats it.
    std::uint64_t nonce = 0;
};

/// @brief CBOR.
bytes encode_sync(const sync_message& it);

/// @brief Fails with step "decode_sync" on malformed or oversized input.
result<sync_message> decode_sync(byte_view data);

} // namespace arbutusport::config
