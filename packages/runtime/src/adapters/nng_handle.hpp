// Owning handle of an nng socket and helpers for messages, shared by server and
// client.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/base/time.hpp>

#include <nng/nng.h>

#include <cstddef>
#include <string>
#include <utility>

namespace arbutusport::adapters {

class nng_handle {
public:
    nng_handle() = default;
    explicit nng_handle(nng_socket socket) : socket_(socket) {}
    nng_handle(nng_handle&& other) noexcept
        : socket_(std::exchange(other.socket_, nng_socket{})) {}
    nng_handle& operator=(nng_handle&& other) noexcept {
        std::swap(socket_, other.socket_);
        return *this;
    }
    ~nng_handle() {
        if (socket_.id != 0)
            nng_close(socket_);
    }

    nng_socket get() const { return socket_; }

private:
    // Id 0 is never valid and marks an empty handle.
    nng_socket socket_{};
};

inline std::string nng_url(const endpoint& it) {
    return "tcp://" + to_string(it);
}

inline nng_duration nng_ms(duration it) {
    return static_cast<nng_duration>(
        std::chrono::ceil<std::chrono::milliseconds>(it).count());
}

/// @brief Receives one message; returns nng's error, 0 if none.
inline int nng_receive(nng_socket socket, bytes& into) {
    void* data = nullptr;
    std::size_t size = 0;
    const int ec = nng_recv(socket, &data, &size, NNG_FLAG_ALLOC);
    if (ec != 0)
        return ec;
    const auto* first = static_cast<const std::uint8_t*>(data);
    into.assign(first, first + size);
    nng_free(data, size);
    return 0;
}

/// @brief Sends one message; returns nng's error, 0 if none.
inline int nng_transmit(nng_socket socket, byte_view data) {
    // nng copies the data unless NNG_FLAG_ALLOC is given.
    return nng_send(socket, const_cast<std::uint8_t*>(data.data()), data.size(),
                    0);
}

} // namespace arbutusport::adapters
