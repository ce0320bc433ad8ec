// Exponential decay of the mean towards the current number of requests.

#include <arbutusport/relay/load_meter.hpp>

#include <cmath>

namespace arbutusport::relay {

void load_meter::set(std::uint32_t outstanding, time_point now) {
    advance(now);
    outstanding_ = outstanding;
}

double load_meter::mean(time_point now) {
    advance(now);
    return mean_;
}

void load_meter::advance(time_point now) {
    const double ratio = std::chrono::duration<double>(now - updated_at_) /
                         std::chrono::duration<double>(window_);
    mean_ = outstanding_ + (mean_ - outstanding_) * std::exp(-ratio);
    updated_at_ = now;
}

} // namespace arbutusport::relay
