// The keyring of a configuration.
#pragma once

#include <arbutusport/records/records.hpp>
#include <arbutusport/wire/packet.hpp>

#include <memory>
#include <vector>

namespace arbutusport::wire {

using keyring_ptr = std::shared_ptr<const keyring>;

/// @brief Records are validated before, so a malformed secret is left out.
keyring_ptr make_keyring(const std::vector<records::packet_key>& keys);

} // namespace arbutusport::wire
