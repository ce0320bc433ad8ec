// Sequence of listings and watches, with exponential backoff.

#include <arbutusport/relay/store_reader.hpp>

#include <algorithm>

namespace arbutusport::relay {

store_call store_reader::next() {
    store_call it{.after = after_,
                  .wait = options_.watch_wait,
                  .pause = jittered(backoff_)};
    if (listed_)
        it.what = store_call::kind::watch;
    return it;
}

void store_reader::on_listing(revision as_of) {
    listed_ = true;
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
    // xorshift64 is random enough to spread calls.
    random_ ^= random_ << 13U;
    random_ ^= random_ >> 7U;
    random_ ^= random_ << 17U;
    const auto half = it.count() / 2;
    if (half == 0)
        return it;
    return duration(half + static_cast<duration::rep>(
                               random_ % static_cast<std::uint64_t>(half)));
}

} // namespace arbutusport::relay
