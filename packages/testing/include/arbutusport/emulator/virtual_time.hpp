// Event queue of a discrete-event simulation, run in one thread.
#pragma once

#include <arbutusport/base/time.hpp>

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace arbutusport::emulator {

/// @brief Runs events in order of time; events of the same time run in the
/// order in which they were added.
class virtual_time {
public:
    using event_function = std::function<void()>;

    time_point now() const { return now_; }
    /// @brief Schedules an event; a time in the past means now.
    void at(time_point when, event_function run);
    void after(duration delay, event_function run) {
        at(now_ + delay, std::move(run));
    }
    /// @brief Runs every event up to and including `end`.
    void run_until(time_point end);

private:
    struct scheduled {
        time_point when;
        std::uint64_t order;
        event_function run;

        bool operator>(const scheduled& other) const {
            return when != other.when ? when > other.when : order > other.order;
        }
    };

    time_point now_;
    std::uint64_t added_ = 0;
    std::priority_queue<scheduled, std::vector<scheduled>, std::greater<>>
        events_;
};

} // namespace arbutusport::emulator
