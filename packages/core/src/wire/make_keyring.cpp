// Converts published keys to a keyring.

#include <arbutusport/wire/make_keyring.hpp>

#include <sodium.h>

namespace arbutusport::wire {

keyring_ptr make_keyring(const std::vector<records::packet_key>& keys) {
    auto out = std::make_shared<keyring>();
    for (const records::packet_key& key : keys) {
        keyring::secret value{};
        std::size_t size = 0;
        const int status =
            sodium_hex2bin(value.data(), value.size(), key.secret_hex.data(),
                           key.secret_hex.size(), nullptr, &size, nullptr);
        if (status == 0 && size == value.size())
            out->add(key.id, value, key.state == records::key_state::active);
    }
    return out;
}

} // namespace arbutusport::wire
