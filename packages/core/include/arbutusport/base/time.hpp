// Time types of the decision library. The library never reads a clock:
// callers pass the current time to each function.
#pragma once

#include <chrono>

namespace arbutusport {

using duration = std::chrono::microseconds;

/// @brief Clock tag for the monotonic time of one process. It has no now(),
/// so that the library cannot read it.
struct monotonic_axis {
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<monotonic_axis>;
    static constexpr bool is_steady = true;
};

using time_point = monotonic_axis::time_point;

} // namespace arbutusport
