// The load of a host, which is compared when a new flow is placed.
#pragma once

#include <cstdint>

namespace arbutusport::flows {

/// @brief Hosts are compared by `flows` divided by `weight`. `eligible` is
/// false while the host is draining, sheds load, is ejected or is full.
struct host_load {
    std::uint32_t flows = 0;
    /// Published weight, reduced during slow start.
    double weight = 1.0;
    bool eligible = true;

    double normalised() const { return flows / weight; }
};

} // namespace arbutusport::flows
