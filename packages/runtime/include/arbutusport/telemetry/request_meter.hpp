// Measures the time from a request to its first response at the host process
// that owns the flow.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/base/time.hpp>

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

namespace arbutusport::telemetry {

/// @brief Not thread-safe. Tracks at most max_open requests. If there are more,
/// the oldest ones are discarded and not measured.
class request_meter {
public:
    static constexpr std::size_t max_open = 32'768;

    /// @brief Records a client's datagram. A retransmission does not restart
    /// the measurement.
    void on_request(const flow_key& flow, byte_view datagram, time_point now);

    /// @brief Handles a datagram for the client. Returns the time since the
    /// request; empty unless it is the first response to a tracked
    /// request.
    std::optional<duration> on_response(const flow_key& flow,
                                        byte_view datagram, time_point now);

private:
    void discard_oldest();

    // Arrival time of each open request, by hash of flow and token.
    std::unordered_map<std::uint64_t, time_point> open_;
    // Keys of open_ in order of arrival; also holds keys of answered requests
    // until they are discarded.
    std::deque<std::uint64_t> order_;
};

} // namespace arbutusport::telemetry
