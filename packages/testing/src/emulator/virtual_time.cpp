// The queue of events in virtual time.

#include <arbutusport/emulator/virtual_time.hpp>

#include <algorithm>
#include <utility>

namespace arbutusport::emulator {

void virtual_time::at(time_point when, event_function run) {
    events_.push({std::max(when, now_), added_++, std::move(run)});
}

void virtual_time::run_until(time_point end) {
    while (!events_.empty() && events_.top().when <= end) {
        // The queue's top is const; the event is removed right after.
        auto run = std::move(const_cast<scheduled&>(events_.top()).run);
        now_ = events_.top().when;
        events_.pop();
        run();
    }
    now_ = std::max(now_, end);
}

} // namespace arbutusport::emulator
