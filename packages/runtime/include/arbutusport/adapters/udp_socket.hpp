// Batched UDP I/O: a POCO socket with recvmmsg() and sendmmsg() of the C
// library, which POCO does not wrap.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/base/error.hpp>
#include <arbutusport/base/time.hpp>

#include <cstddef>
#include <memory>

namespace arbutusport::adapters {

/// Datagrams per system call. A larger batch adds latency under load without a
/// measurable gain; a smaller one needs more system calls.
inline constexpr std::size_t batch_size = 32;

/// @brief Buffers for the datagrams of one receive call; reusable.
class receive_batch {
public:
    receive_batch();
    receive_batch(receive_batch&&) noexcept;
    receive_batch& operator=(receive_batch&&) noexcept;
    ~receive_batch();

    std::size_t size() const;
    /// @brief Valid until the next receive.
    byte_view data(std::size_t i) const;
    endpoint from(std::size_t i) const;

private:
    friend class udp_socket;
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// @brief Buffers for the datagrams of one send call; reusable.
class send_batch {
public:
    send_batch();
    ~send_batch();

    bool full() const;
    bool empty() const;
    /// @brief Returns an empty buffer for the next datagram to `to`. Requires
    /// !full().
    bytes& add(const endpoint& to);
    /// @brief Removes the datagram of the last add().
    void remove_last();

private:
    friend class udp_socket;
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// @brief A bound UDP socket. Thread-safe; each thread has its own batches.
class udp_socket {
public:
    /// @brief Port 0 binds to a free port. Fails with step "bind_udp".
    static result<udp_socket> bind(const endpoint& local);

    udp_socket(udp_socket&&) noexcept;
    udp_socket& operator=(udp_socket&&) noexcept;
    ~udp_socket();

    endpoint local() const;
    /// @brief File descriptor for poll().
    int descriptor() const;

    /// @brief Waits at most `wait` for a first datagram, then reads the
    /// available ones without blocking. Returns the number received.
    std::size_t receive(receive_batch& into, duration wait) const;

    /// @brief Sends and empties the batch. Returns the number of datagrams
    /// that the kernel did not accept.
    std::size_t send(send_batch& batch) const;

    /// @brief Sends one datagram; false if the kernel did not accept it.
    bool send_to(const endpoint& to, byte_view datagram) const;

private:
    udp_socket();
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace arbutusport::adapters
