// Sequence of listings and watches, with exponential backoff.

#include <arbutusport/relay/store_reader.hpp>

#include <algorithm>
#include <utility>

namespace arbutusport::relay {

duration watch_wait_within(duration bound) {
    constexpr duration longest = store_reader_options{}.watch_wait;
    constexpr duration shortest = std::chrono::seconds(1);
    // The slack of a watch, the next connection, one read, and the way to the
    // other entries.
    constexpr duration rest = std::chrono::milliseconds(1300);
    return bound == duration::zero()
               ? longest
               : std::clamp(bound - rest, shortest, longest);
}

store_call store_reader::next(time_point now) {
    store_call it{.after = after_,
                  .wait = options_.watch_wait,
                  .pause = jittered(backoff_)};
    if (listed_) {
        it.what = store_call::kind::watch;
        it.pause = std::max(it.pause, take_watch_pause(now));
    }
    return it;
}

duration store_reader::take_watch_pause(time_point now) {
    const auto earned = (now - counted_at_) / options_.watch_interval;
    if (earned >= options_.watch_burst - watches_left_) {
        watches_left_ = options_.watch_burst;
        counted_at_ = now;
    } else {
        watches_left_ += static_cast<std::uint32_t>(earned);
        counted_at_ += earned * options_.watch_interval;
    }
    const duration first = std::exchange(is_first_watch_, false)
                               ? options_.first_watch_delay
                               : duration::zero();
    if (watches_left_ > 0) {
        --watches_left_;
        return first;
    }
    // Takes the next watch before it is earned.
    const duration pause = counted_at_ + options_.watch_interval - now;
    counted_at_ += options_.watch_interval;
    return std::max(first, pause);
}

void store_reader::on_listing(revision as_of) {
    listed_ = true;
    is_first_watch_ = true;
    after_ = as_of;
    backoff_ = {};
}

void store_reader::on_changes(revision as_of) {
    after_ = std::max(after_, as_of);
    backoff_ = {};
}

void store_reader::on_history_lost() {
    listed_ = false;
}

void store_reader::on_error() {
    backoff_ = std::min(std::max(2 * backoff_, options_.first_backoff),
                        options_.max_backoff);
}

void store_reader::restart() {
    listed_ = false;
    backoff_ = {};
}

void store_reader::resume(revision after) {
    after_ = std::max(after_, after);
    backoff_ = {};
}

// Returns a random duration between half and all of `it`, so that processes
// that failed at the same time do not retry at the same time.
duration store_reader::jittered(duration it) {
    std::uniform_int_distribution<duration::rep> pause(it.count() / 2,
                                                       it.count());
    return duration(pause(random_));
}

} // namespace arbutusport::relay
