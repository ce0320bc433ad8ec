// Counts the time in which the process could have seen an answer.

#include <arbutusport/relay/host_silence.hpp>

#include <algorithm>

namespace arbutusport::relay {

namespace {

// Two intervals of ticks. A longer gap shows that the process was stopped.
constexpr duration max_tick_gap = std::chrono::milliseconds(100);

// A host acknowledges data and a FIN, and answers an opening packet or returns
// it. To an acknowledgement alone neither end replies.
bool needs_reaction(const segment& it) {
    return !it.rst && (it.syn || it.fin || it.payload_bytes > 0);
}

} // namespace

void host_silence::on_delivered(const segment& it, time_point now) {
    if (first_ || !needs_reaction(it))
        return;
    first_ = {.flow = it.flow,
              .delivered_at = now,
              .payload_bytes = it.payload_bytes,
              .fin = it.fin};
}

void host_silence::end() {
    first_.reset();
    length_ = {};
}

void host_silence::on_tick(time_point now) {
    if (first_)
        length_ += std::min(now - std::max(first_->delivered_at, last_tick_at_),
                            max_tick_gap);
    last_tick_at_ = now;
}

} // namespace arbutusport::relay
