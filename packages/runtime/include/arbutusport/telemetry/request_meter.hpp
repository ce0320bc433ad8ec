// Measures the time from a request to its first response, as seen at the
// host process that owns the flow.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/base/time.hpp>

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

namespace arbutusport::telemetry {

/// @brief Not thread-safe. Remembers at most max_open requests; the oldest
/// are forgotten first and then do not count.
class request_meter {
public:
    static constexpr std::size_t max_open = 32'768;

    /// @brief A client's datagram. Retransmissions keep the first time.
    void on_request(const flow_key& flow, byte_view datagram, time_point now);

    /// @brief A datagram for the client; empty unless it is the first
    /// response to a known request.
    std::optional<duration> on_response(const flow_key& flow,
                                        byte_view datagram, time_point now);

private:
    void forget_oldest();

    // First sight of each open request, by hash of flow and token.
    std::unordered_map<std::uint64_t, time_point> open_;
    // The keys of open_ in order of arrival, and of some answered requests.
    std::deque<std::uint64_t> order_;
};

} // namespace arbutusport::telemetry
