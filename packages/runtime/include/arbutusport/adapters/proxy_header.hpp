// The subset of PROXY protocol v2 that precedes the fabric's datagrams: command
// PROXY, family IPv4, DGRAM, no further fields.
// Source: the PROXY protocol specification, section 2.2.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/endpoint.hpp>

#include <cstddef>
#include <optional>

namespace arbutusport::adapters {

/// Size of signature, version and command, family, length, addresses and
/// ports.
inline constexpr std::size_t proxy_header_size = 28;

/// @brief A client's datagram without its header. The client is the source, the
/// service is the destination. `payload` is a view into the input.
struct proxied_datagram {
    flow_key flow;
    byte_view payload;
};

/// @brief Decodes a datagram with its header. Empty unless the header has
/// exactly the form above and both ports are non-zero.
std::optional<proxied_datagram> decode_proxied_datagram(byte_view data);

/// @brief Appends the header of a datagram from `source` to `destination`. The
/// service is the source of an answer.
void append_proxy_header(const endpoint& source, const endpoint& destination,
                         bytes& out);

} // namespace arbutusport::adapters
