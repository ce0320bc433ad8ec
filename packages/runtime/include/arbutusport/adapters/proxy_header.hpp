// PROXY protocol v2 in front of the fabric's datagrams, as far as arbutusport
// uses it: command PROXY, family IPv4, DGRAM, no further fields.
// Source: the PROXY protocol specification, section 2.2.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/endpoint.hpp>

#include <cstddef>
#include <optional>

namespace arbutusport::adapters {

/// Signature, version and command, family, length, addresses and ports.
inline constexpr std::size_t proxy_header_size = 28;

/// @brief A client's datagram without its header: the client is the source,
/// the service the destination. `payload` is a part of the input.
struct proxied_datagram {
    flow_key flow;
    byte_view payload;
};

/// @brief Empty unless the header is exactly of the form above and both
/// ports are set.
std::optional<proxied_datagram> decode_proxied(byte_view data);

/// @brief Appends the header of a datagram from `source` to `destination`; in
/// an answer the service is the source.
void append_proxy_header(const endpoint& source, const endpoint& destination,
                         bytes& out);

} // namespace arbutusport::adapters
