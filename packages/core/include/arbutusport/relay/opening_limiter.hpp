// Exact limit of deliveries in any span of one second.
#pragma once

#include <arbutusport/base/time.hpp>

#include <cstddef>
#include <deque>

namespace arbutusport::relay {

/// @brief Remembers the deliveries of the last second. Not thread-safe.
class opening_limiter {
public:
    /// Maximum number of remembered deliveries, and thus the highest limit.
    static constexpr std::size_t max_limit = 4096;
    /// The span to which a limit applies. Both of its ends belong to it.
    static constexpr duration span = std::chrono::seconds(1);

    /// @brief Number of deliveries in the second up to `now`.
    std::size_t count(time_point now) const;
    /// @brief Records a delivery. Times must not decrease.
    void add(time_point now);

private:
    // Ascending; the newest max_limit ones.
    std::deque<time_point> delivered_at_;
};

} // namespace arbutusport::relay
