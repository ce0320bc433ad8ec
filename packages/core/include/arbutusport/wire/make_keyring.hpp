// Builds the keyring of a configuration.
#pragma once

#include <arbutusport/records/records.hpp>
#include <arbutusport/wire/packet.hpp>

#include <memory>
#include <vector>

namespace arbutusport::wire {

using keyring_ptr = std::shared_ptr<const keyring>;

/// @brief Skips keys with a malformed secret, which the validation of records
/// rejects earlier.
keyring_ptr make_keyring(const std::vector<records::packet_key>& keys);

} // namespace arbutusport::wire
