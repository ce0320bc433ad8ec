// PROXY protocol v2 header for IPv4 datagrams, as written by the fabric.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/endpoint.hpp>

#include <cstddef>
#include <optional>

namespace arbutusport::emulator {

inline constexpr std::size_t proxy_header_size = 28;

struct proxy_addresses {
    endpoint source;
    endpoint destination;
};

/// @brief Writes the header for `addresses` to the start of `buf`, which holds
/// at least proxy_header_size bytes.
void write_proxy_header(const proxy_addresses& addresses, std::uint8_t* buf);

/// @brief Returns nothing if `data` does not start with such a header.
std::optional<proxy_addresses> read_proxy_header(byte_view data);

} // namespace arbutusport::emulator
