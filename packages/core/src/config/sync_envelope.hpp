// Authentication of sync messages by a key id and a keyed tag.
//
// Layout: marker (1 byte), key id (1 byte), tag (8 bytes, big-endian), CBOR.
// The tag covers the direction, the key id and the CBOR. An untagged message is
// the bare CBOR, which is a map, so its first byte is never mistaken for the
// marker.
#pragma once

#include "sync_message.hpp"

#include <arbutusport/wire/packet.hpp>

namespace arbutusport::config {

enum class sync_direction : std::uint8_t { request = 1, reply = 2 };

struct opened_sync {
    sync_message message;
    /// False if the message has no tag.
    bool is_authentic = false;
};

/// @brief Encodes and tags a message. Without an active key it is untagged.
bytes seal_sync(const sync_message& message, sync_direction direction,
                const wire::keyring& keys);

/// @brief Verifies and decodes a message. Fails with step "open_sync" if the
/// key is unknown or the tag is wrong, and as decode_sync() does.
result<opened_sync> open_sync(byte_view data, sync_direction direction,
                              const wire::keyring& keys);

} // namespace arbutusport::config
