// Sync messages with the id of a key and a keyed tag.
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
    /// False if it came without a tag.
    bool is_authentic = false;
};

/// @brief Untagged if no key is active.
bytes seal_sync(const sync_message& it, sync_direction direction,
                const wire::keyring& keys);

/// @brief Fails with step "open_sync" on an unknown key or a wrong tag, and
/// as decode_sync does.
result<opened_sync> open_sync(byte_view data, sync_direction direction,
                              const wire::keyring& keys);

} // namespace arbutusport::config
