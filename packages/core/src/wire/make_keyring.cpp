// Published keys to keyring.

#include <arbutusport/wire/make_keyring.hpp>

#include <sodium.h>

namespace arbutusport::wire {

keyring_ptr make_keyring(const std::vector<records::packet_key>& keys) {
    auto out = std::make_shared<keyring>();
    for (const records::packet_key& it : keys) {
        keyring::secret value{};
        std::size_t n = 0;
        const int ec =
            sodium_hex2bin(value.data(), value.size(), it.secret_hex.data(),
                           it.secret_hex.size(), nullptr, &n, nullptr);
        if (ec == 0 && n == value.size())
            out->add(it.id, value, it.state == records::key_state::active);
    }
    return out;
}

} // namespace arbutusport::wire
