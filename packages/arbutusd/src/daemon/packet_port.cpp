// Access to the keys, verification of datagrams and signed sending.

#include <arbutusport/daemon/packet_port.hpp>

#include <utility>

namespace arbutusport::daemon {

packet_port::packet_port(adapters::udp_socket socket)
    : socket_(std::move(socket)) {}

void packet_port::set_keys(keyring_ptr keys) {
    const std::lock_guard lock(mutex_);
    keys_ = std::move(keys);
}

keyring_ptr packet_port::keys() const {
    const std::lock_guard lock(mutex_);
    return keys_;
}

node::outputs
receive_packet(byte_view datagram, const wire::keyring& keys,
               const std::function<node::outputs(wire::packet)>& handle,
               const std::function<void(const std::string& reason)>& on_error) {
    return handle_failure(
        [&]() -> result<node::outputs> {
            BOOST_LEAF_AUTO(message, wire::decode_packet(datagram, keys));
            return handle(std::move(message));
        },
        [&](const failure& it) {
            on_error(it.reason);
            return node::outputs{};
        });
}

bool packet_sender::add(const endpoint& to, const wire::packet& message,
                        const wire::keyring& keys) {
    if (!keys.can_sign())
        return false;
    if (batch_.full())
        flush();
    wire::encode_packet(message, keys, batch_.add(to));
    return true;
}

void packet_sender::flush() {
    if (!batch_.empty())
        rejected_ += port_.socket().send(batch_);
}

std::size_t packet_sender::take_rejected() {
    return std::exchange(rejected_, 0);
}

} // namespace arbutusport::daemon
