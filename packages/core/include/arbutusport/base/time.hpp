// Time as the decision library sees it. Nothing here reads a clock; the
// adapters pass the present time to each function that decides.
#pragma once

#include <chrono>

namespace arbutusport {

using duration = std::chrono::microseconds;

/// @brief Tags the monotonic time axis of one process.
struct monotonic_axis {
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<monotonic_axis>;
    static constexpr bool is_steady = true;
};

using time_point = monotonic_axis::time_point;

} // namespace arbutusport
