// Access to the system clocks; no other code reads them directly.
#pragma once

#include <arbutusport/base/ids.hpp>
#include <arbutusport/base/time.hpp>

namespace arbutusport::adapters {

/// @brief Current time of the monotonic clock.
time_point now();

/// @brief Current time of the wall clock.
unix_milliseconds wall_clock();

/// @brief Creates an incarnation from the wall clock and 16 random bits.
incarnation new_incarnation();

} // namespace arbutusport::adapters
