// The socket for packets between arbutusport processes, with the keys that sign
// and verify them.
#pragma once

#include <arbutusport/adapters/udp_socket.hpp>
#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/node/outputs.hpp>
#include <arbutusport/wire/make_keyring.hpp>
#include <arbutusport/wire/packet.hpp>

#include <functional>
#include <memory>
#include <mutex>

namespace arbutusport::daemon {

using wire::keyring_ptr;

/// @brief Socket and current keys. Thread-safe.
class packet_port {
public:
    explicit packet_port(adapters::udp_socket socket);

    const adapters::udp_socket& socket() const { return socket_; }

    void set_keys(keyring_ptr keys);
    /// @brief Never null; an empty keyring before the first configuration.
    keyring_ptr keys() const;

private:
    adapters::udp_socket socket_;
    mutable std::mutex mutex_;
    keyring_ptr keys_ = std::make_shared<const wire::keyring>();
};

/// @brief Verifies and decodes a datagram. Calls `handle` with the packet, or
/// `on_error` with the decoder's reason.
node::outputs
receive_packet(byte_view datagram, const wire::keyring& keys,
               const std::function<node::outputs(wire::packet)>& handle,
               const std::function<void(const std::string& reason)>& on_error);

/// @brief Collects packets and sends them in batches. Each thread has its own
/// sender.
class packet_sender {
public:
    explicit packet_sender(const packet_port& port) : port_(port) {}
    ~packet_sender() { flush(); }

    /// @brief Signs a packet and adds it to the batch; false if there is no
    /// signing key.
    bool add(const endpoint& to, const wire::packet& message,
             const wire::keyring& keys);
    void flush();
    /// @brief Returns the number of datagrams that the kernel rejected since
    /// the last call.
    std::size_t take_rejected();

private:
    const packet_port& port_;
    adapters::send_batch batch_;
    std::size_t rejected_ = 0;
};

} // namespace arbutusport::daemon
