// The clocks of the machine; the only place where they are read.
#pragma once

#include <arbutusport/base/ids.hpp>
#include <arbutusport/base/time.hpp>

namespace arbutusport::adapters {

/// @brief The monotonic clock.
time_point now();

/// @brief The wall clock.
unix_milliseconds wall_clock();

/// @brief A fresh incarnation from the wall clock and 16 random bits.
incarnation new_incarnation();

} // namespace arbutusport::adapters
