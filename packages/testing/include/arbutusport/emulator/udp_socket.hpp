// UDP socket on top of POCO with batched system calls.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/endpoint.hpp>

#include <Poco/Net/DatagramSocket.h>

#include <cstddef>
#include <functional>
#include <vector>

namespace arbutusport::emulator {

struct datagram {
    endpoint peer;
    bytes data;
};

/// @brief Not thread-safe, except that one thread may send while another
/// receives.
class udp_socket {
public:
    /// @brief Binds to `address`; port 0 selects a free port. Throws
    /// Poco::Exception if the address is in use.
    explicit udp_socket(const endpoint& address);

    const endpoint& address() const { return address_; }
    int descriptor() const { return socket_.impl()->sockfd(); }

    /// @brief Receives at most one batch without blocking. Returns the number
    /// of datagrams. `data` is valid only during the call.
    std::size_t receive(const std::function<void(const endpoint& from,
                                                 byte_view data)>& on_datagram);

    /// @brief Sends without blocking. Datagrams that do not fit into the socket
    /// buffer are lost, as on a network.
    void send(const std::vector<datagram>& batch);
    void send(const endpoint& to, byte_view data);

private:
    Poco::Net::DatagramSocket socket_;
    endpoint address_;
};

/// @brief Waits at most `timeout_ms` until a descriptor is readable. Returns
/// the indexes of the readable descriptors.
std::vector<std::size_t> wait_readable(const std::vector<int>& descriptors,
                                       int timeout_ms);

} // namespace arbutusport::emulator
