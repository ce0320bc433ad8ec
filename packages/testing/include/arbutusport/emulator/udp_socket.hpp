// A UDP socket over POCO with batched calls of the C library.
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
    /// @brief Binds to `address`; port 0 takes any free port. Throws
    /// Poco::Exception if the address is taken.
    explicit udp_socket(const endpoint& address);

    const endpoint& address() const { return address_; }
    int descriptor() const { return socket_.impl()->sockfd(); }

    /// @brief Passes on what has arrived, at most one batch; never blocks.
    /// Returns the number of datagrams. `data` is valid during the call.
    std::size_t receive(const std::function<void(const endpoint& from,
                                                 byte_view data)>& on_datagram);

    /// @brief Sends what the socket buffer takes; the rest is lost, as on a
    /// network.
    void send(const std::vector<datagram>& batch);
    void send(const endpoint& to, byte_view data);

private:
    Poco::Net::DatagramSocket socket_;
    endpoint address_;
};

/// @brief Waits until a socket is readable, at most `timeout_ms`. Returns
/// the indexes of those that are.
std::vector<std::size_t> wait_readable(const std::vector<int>& descriptors,
                                       int timeout_ms);

} // namespace arbutusport::emulator
