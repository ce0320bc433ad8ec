// Explores a scenario of the relay's virtual world over all orders of its
// messages within bounds: of the first messages after a moment, a few are late
// enough to be overtaken by all others, and a few are lost. Finds what random
// loss finds rarely, and names the messages that it takes.
#pragma once

#include <arbutusport/emulator/relay_world.hpp>

#include <functional>
#include <string>

namespace arbutusport::emulator {

struct exploration_options {
    relay_world_options world;
    /// The first so many packets and messages may deviate.
    std::size_t messages = 24;
    std::size_t max_late = 2;
    std::size_t max_lost = 1;
    /// Longer than a search without losses takes.
    duration lateness = std::chrono::milliseconds(60);
};

/// @brief Called with a settled world; calls `from_here` at the moment from
/// which messages deviate. Returns what went wrong for callers, beside what
/// the world finds; empty if nothing did.
using explored_scenario = std::function<std::string(
    relay_world&, const std::function<void()>& from_here)>;

struct exploration {
    std::size_t runs = 0;
    /// Of the first run that failed; empty if none did.
    std::string failure;
    deviations failing;
};

/// @brief Runs the scenario once for each choice of late and lost messages.
exploration explore(const exploration_options& options,
                    const explored_scenario& scenario);

std::string to_string(const deviations& it);

} // namespace arbutusport::emulator
