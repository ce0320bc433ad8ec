// Bindings: authenticated Echo values that name the only host incarnation that
// may run a non-idempotent request.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/ids.hpp>
#include <arbutusport/base/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace arbutusport::requests {

/// @brief Content of an Echo option (RFC 9175). Only the issuing incarnation
/// accepts it, so no other one runs a request that carries it. A client sends
/// all copies of a request with the same binding.
struct binding {
    process_id host;
    incarnation host_incarnation;
    session_id session;
    /// A binding with a smaller epoch than its session is revoked.
    std::uint32_t epoch = 0;
    /// Seconds on the issuer's monotonic clock, rounded down.
    std::uint32_t issued_s = 0;

    time_point issued() const {
        return time_point(std::chrono::seconds(issued_s));
    }

    friend bool operator==(const binding&, const binding&) = default;
};

using binding_key = std::array<std::uint8_t, 16>;

/// Five fields and the tag. RFC 9175 limits an Echo value to 40 bytes.
inline constexpr std::size_t binding_size = 40;

bytes encode_binding(const binding& fields, const binding_key& key);

/// @brief Decodes the fields without verifying the tag, which only the issuer
/// can do; empty if the length is wrong.
std::optional<binding> read_binding(byte_view echo);

/// @brief True if the authentication tag (SipHash-2-4) is valid.
bool verify_binding(byte_view echo, const binding_key& key);

} // namespace arbutusport::requests
