// Bindings: which host incarnation may run a non-idempotent request.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/ids.hpp>
#include <arbutusport/base/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace arbutusport::requests {

/// @brief Content of an Echo option (RFC 9175). Only the incarnation that
/// issued it accepts it, so a request that carries it can run nowhere else.
/// A client sends every copy of one request with the same binding.
struct binding {
    process_id host;
    incarnation run;
    session_id session;
    /// Bindings of a smaller epoch than the session's are revoked.
    std::uint32_t epoch = 0;
    /// Seconds on the issuer's monotonic axis, rounded down.
    std::uint32_t issued_s = 0;

    time_point issued() const {
        return time_point(std::chrono::seconds(issued_s));
    }

    friend bool operator==(const binding&, const binding&) = default;
};

using binding_key = std::array<std::uint8_t, 16>;

/// Echo values hold at most 40 bytes: five fields and the tag.
inline constexpr std::size_t binding_size = 40;

bytes encode_binding(const binding& it, const binding_key& key);

/// @brief Reads the fields without checking the tag, which only the issuer
/// can do; empty if the length is wrong.
std::optional<binding> read_binding(byte_view echo);

/// @brief True if the tag (SipHash-2-4) fits.
bool verify_binding(byte_view echo, const binding_key& key);

} // namespace arbutusport::requests
