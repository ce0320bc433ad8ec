// A sliding window over the times of deliveries.

#include <arbutusport/relay/opening_limiter.hpp>

#include <algorithm>

namespace arbutusport::relay {

std::size_t opening_limiter::count(time_point now) const {
    const auto first = std::ranges::lower_bound(delivered_at_, now - span);
    return static_cast<std::size_t>(delivered_at_.end() - first);
}

void opening_limiter::add(time_point now) {
    while (!delivered_at_.empty() && (delivered_at_.size() >= max_limit ||
                                      delivered_at_.front() < now - span))
        delivered_at_.pop_front();
    delivered_at_.push_back(now);
}

} // namespace arbutusport::relay
