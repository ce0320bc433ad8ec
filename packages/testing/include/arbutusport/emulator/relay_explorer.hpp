// Bounded exhaustive search over message orders in the simulated relay. Of the
// first messages after a chosen time, a few are delayed until all others have
// overtaken them, and a few are dropped. Finds faults that random loss rarely
// triggers, and reports the messages that cause them.
#pragma once

#include <arbutusport/emulator/relay_world.hpp>

#include <functional>
#include <string>

namespace arbutusport::emulator {

struct exploration_options {
    relay_world_options world;
    /// Only this many first packets and messages may be delayed or dropped.
    std::size_t messages = 24;
    std::size_t max_delayed = 2;
    std::size_t max_dropped = 1;
    /// Extra delay of a late message; longer than a search without losses.
    duration extra_delay = std::chrono::milliseconds(60);
};

/// @brief Receives a world after startup and calls `start_deviating` when
/// messages may start to deviate. Returns a description of failures that
/// clients see, in addition to the world's violations; empty if there are none.
using explored_scenario = std::function<std::string(
    relay_world&, const std::function<void()>& start_deviating)>;

struct exploration {
    std::size_t runs = 0;
    /// Failure text of the first failed run; empty if all runs passed.
    std::string failure;
    deviations failing_deviations;
};

/// @brief Runs the scenario once for each combination of delayed and dropped
/// messages.
exploration explore(const exploration_options& options,
                    const explored_scenario& scenario);

std::string to_string(const deviations& choices);

} // namespace arbutusport::emulator
