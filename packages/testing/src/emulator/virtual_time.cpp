// Event queue of a discrete-event simulation.

#include <arbutusport/emulator/virtual_time.hpp>

#include <algorithm>
#include <utility>

namespace arbutusport::emulator {

void virtual_time::at(time_point when, event_function run) {
    events_.push({std::max(when, now_), added_++, std::move(run)});
}

void virtual_time::run_until(time_point end) {
    while (!events_.empty() && events_.top().when <= end) {
        // top() is const, but moving from it is safe: pop() follows before any
        // other access.
        auto run = std::move(const_cast<scheduled&>(events_.top()).run);
        now_ = events_.top().when;
        events_.pop();
        run();
    }
    now_ = std::max(now_, end);
}

} // namespace arbutusport::emulator
