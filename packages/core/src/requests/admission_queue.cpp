// Uses linear scans, since the queue holds 16 requests by default.

#include <arbutusport/requests/admission_queue.hpp>

#include <algorithm>
#include <utility>

namespace arbutusport::requests {

namespace {

namespace acc = boost::accumulators;

// Short enough to follow a change of the upstream's speed within a few seconds
// of load, and long enough that one slow request does not cause rejections.
constexpr std::size_t service_time_window = 64;

} // namespace

std::uint64_t admission_queue::turn_of(std::uint64_t source) const {
    const auto at = next_turns_.find(source);
    return at == next_turns_.end() ? turn_ : std::max(turn_, at->second);
}

std::size_t admission_queue::count_of(std::uint64_t source) const {
    return static_cast<std::size_t>(
        std::ranges::count(requests_, source, &queued_request::source));
}

std::optional<std::uint64_t> admission_queue::push(const queued_request& it) {
    std::optional<std::uint64_t> refused;
    if (requests_.size() >= max_) {
        const auto largest =
            std::ranges::max_element(requests_, {}, [&](const auto& other) {
                return count_of(other.source);
            });
        if (largest == requests_.end() ||
            count_of(largest->source) < count_of(it.source) + 2)
            return it.job;
        const auto source = largest->source;
        const auto last = std::find_if(
            requests_.rbegin(), requests_.rend(),
            [&](const auto& other) { return other.source == source; });
        refused = last->job;
        requests_.erase(std::next(last).base());
    }
    const auto at = std::ranges::upper_bound(requests_, it.deadline, {},
                                             &queued_request::deadline);
    requests_.insert(at, it);
    return refused;
}

std::optional<queued_request> admission_queue::pop() {
    // min_element returns the first of equal elements, which has the earliest
    // deadline.
    const auto at = std::ranges::min_element(
        requests_, {}, [&](const auto& it) { return turn_of(it.source); });
    if (at == requests_.end())
        return std::nullopt;
    const queued_request out = *at;
    requests_.erase(at);
    turn_ = turn_of(out.source);
    std::erase_if(next_turns_,
                  [&](const auto& it) { return it.second <= turn_; });
    next_turns_[out.source] = turn_ + 1;
    return out;
}

bool admission_queue::erase(std::uint64_t job) {
    return std::erase_if(requests_,
                         [&](const auto& it) { return it.job == job; }) > 0;
}

std::size_t admission_queue::ahead_of(const queued_request& it) const {
    std::map<std::uint64_t, std::uint64_t> turns;
    const auto next = [&](std::uint64_t source) {
        return turns.try_emplace(source, turn_of(source)).first->second++;
    };
    // Each request of the same source with an earlier deadline takes one round
    // before this request.
    const auto own_turn =
        turn_of(it.source) + static_cast<std::uint64_t>(std::ranges::count_if(
                                 requests_, [&](const auto& other) {
                                     return other.source == it.source &&
                                            other.deadline <= it.deadline;
                                 }));
    std::size_t n = 0;
    for (const auto& other : requests_) {
        const auto turn = next(other.source);
        if (other.source == it.source)
            n += other.deadline <= it.deadline ? 1 : 0;
        else if (std::pair(turn, other.deadline) <=
                 std::pair(own_turn, it.deadline))
            ++n;
    }
    return n;
}

service_time::service_time()
    : us_(acc::tag::rolling_window::window_size = service_time_window) {}

void service_time::record(duration taken) {
    us_(static_cast<double>(taken.count()));
}

duration service_time::mean() const {
    if (acc::rolling_count(us_) == 0)
        return duration::zero();
    return duration(static_cast<duration::rep>(acc::rolling_mean(us_)));
}

} // namespace arbutusport::requests
