// Exact limit of deliveries in any span of one second at the host.
#pragma once

#include <arbutusport/base/time.hpp>

#include <cstddef>
#include <deque>

namespace arbutusport::relay {

/// @brief Remembers the deliveries of the last span. Not thread-safe.
class opening_limiter {
public:
    /// Maximum number of remembered deliveries, and thus the highest limit.
    static constexpr std::size_t max_limit = 4096;
    /// The span to which a limit applies, with both of its ends: one second,
    /// and by how much a packet may reach the host later than another one that
    /// was decided after it. A process with 0.15 cores is stopped for up to
    /// 85 ms of each 100 ms.
    static constexpr duration span = std::chrono::milliseconds(1100);

    /// @brief Number of deliveries in the span up to `now`.
    std::size_t count(time_point now) const;
    /// @brief Records a delivery. Times must not decrease.
    void add(time_point now);

private:
    // Ascending; the newest max_limit ones.
    std::deque<time_point> delivered_at_;
};

} // namespace arbutusport::relay
