// The socket between own processes with the keys that sign and verify.
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

/// @brief Thread-safe.
class packet_port {
public:
    explicit packet_port(adapters::udp_socket socket);

    const adapters::udp_socket& socket() const { return socket_; }

    void set_keys(keyring_ptr keys);
    /// @brief Never null; without keys before the first configuration.
    keyring_ptr keys() const;

private:
    adapters::udp_socket socket_;
    mutable std::mutex mutex_;
    keyring_ptr keys_ = std::make_shared<const wire::keyring>();
};

/// @brief Verifies a datagram and hands the packet on; a refused one yields a
/// `dropped` output with the decoder's reason.
node::outputs
receive_packet(byte_view datagram, const wire::keyring& keys,
               const std::function<node::outputs(wire::packet)>& handle);

/// @brief Collects packets and sends them in batches; one for each thread.
class packet_sender {
public:
    explicit packet_sender(const packet_port& port) : port_(port) {}
    ~packet_sender() { flush(); }

    /// @brief False if there is no key to sign with.
    bool add(const endpoint& to, const wire::packet& message,
             const wire::keyring& keys);
    void flush();
    /// @brief Datagrams that the kernel refused since the last call.
    std::size_t take_refused();

private:
    const packet_port& port_;
    adapters::send_batch batch_;
    std::size_t refused_ = 0;
};

} // namespace arbutusport::daemon
