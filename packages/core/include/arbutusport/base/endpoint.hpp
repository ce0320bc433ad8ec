// IPv4 endpoints and the key of a flow.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace arbutusport {

/// @brief An IPv4 address and port, both in host byte order.
struct endpoint {
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    // clang-tidy mistakes the 0 of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// @brief Parses "a.b.c.d:port". Empty if malformed or if the port is 0.
std::optional<endpoint> parse_endpoint(std::string_view text);

std::string to_string(const endpoint& it);

/// @brief Identifies a flow by its client's and its service's endpoints.
struct flow_key {
    endpoint client;
    endpoint service;

    // clang-tidy mistakes the 0 of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const flow_key&, const flow_key&) = default;
};

/// @brief Formats a flow as "client>service".
std::string to_string(const flow_key& it);

/// @brief Hash with equal results in every process and on every machine.
std::uint64_t hash_of(const flow_key& it);

} // namespace arbutusport

template <>
struct std::hash<arbutusport::endpoint> {
    std::size_t operator()(const arbutusport::endpoint& it) const {
        return std::hash<std::uint64_t>{}(std::uint64_t{it.address} << 16 |
                                          it.port);
    }
};

template <>
struct std::hash<arbutusport::flow_key> {
    std::size_t operator()(const arbutusport::flow_key& it) const {
        return arbutusport::hash_of(it);
    }
};
