// A host's load as it is compared when a new flow is placed.
#pragma once

#include <cstdint>

namespace arbutusport::flows {

/// @brief `flows` divided by `weight` is compared; `eligible` is false while
/// the host drains, sheds or is ejected.
struct host_load {
    std::uint32_t flows = 0;
    /// Published weight times the slow start ramp.
    double weight = 1.0;
    bool eligible = true;

    double normalised() const { return flows / weight; }
};

} // namespace arbutusport::flows
