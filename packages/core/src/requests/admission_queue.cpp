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

std::uint64_t admission_queue::next_round_of(std::uint64_t source) const {
    const auto at = next_rounds_.find(source);
    return at == next_rounds_.end() ? current_round_
                                    : std::max(current_round_, at->second);
}

std::size_t admission_queue::count_of_source(std::uint64_t source) const {
    return static_cast<std::size_t>(
        std::ranges::count(requests_, source, &queued_request::source));
}

std::optional<std::uint64_t>
admission_queue::push(const queued_request& request) {
    std::optional<std::uint64_t> rejected;
    if (requests_.size() >= max_requests_) {
        const auto largest =
            std::ranges::max_element(requests_, {}, [&](const auto& other) {
                return count_of_source(other.source);
            });
        if (largest == requests_.end() ||
            count_of_source(largest->source) <
                count_of_source(request.source) + 2)
            return request.job;
        const auto source = largest->source;
        const auto last = std::find_if(
            requests_.rbegin(), requests_.rend(),
            [&](const auto& other) { return other.source == source; });
        rejected = last->job;
        requests_.erase(std::next(last).base());
    }
    const auto position = std::ranges::upper_bound(
        requests_, request.deadline, {}, &queued_request::deadline);
    requests_.insert(position, request);
    return rejected;
}

std::optional<queued_request> admission_queue::pop() {
    // min_element returns the first of equal elements, which has the earliest
    // deadline.
    const auto at =
        std::ranges::min_element(requests_, {}, [&](const auto& it) {
            return next_round_of(it.source);
        });
    if (at == requests_.end())
        return std::nullopt;
    const queued_request out = *at;
    requests_.erase(at);
    current_round_ = next_round_of(out.source);
    std::erase_if(next_rounds_,
                  [&](const auto& it) { return it.second <= current_round_; });
    next_rounds_[out.source] = current_round_ + 1;
    return out;
}

bool admission_queue::erase(std::uint64_t job) {
    return std::erase_if(requests_,
                         [&](const auto& it) { return it.job == job; }) > 0;
}

std::size_t
admission_queue::count_ahead_of(const queued_request& request) const {
    std::map<std::uint64_t, std::uint64_t> rounds;
    const auto take_round = [&](std::uint64_t source) {
        return rounds.try_emplace(source, next_round_of(source))
            .first->second++;
    };
    // Each request of the same source with an earlier deadline takes one round
    // before this request.
    const auto own_round = next_round_of(request.source) +
                           static_cast<std::uint64_t>(std::ranges::count_if(
                               requests_, [&](const auto& other) {
                                   return other.source == request.source &&
                                          other.deadline <= request.deadline;
                               }));
    std::size_t ahead = 0;
    for (const auto& other : requests_) {
        const auto other_round = take_round(other.source);
        if (other.source == request.source)
            ahead += other.deadline <= request.deadline ? 1 : 0;
        else if (std::pair(other_round, other.deadline) <=
                 std::pair(own_round, request.deadline))
            ++ahead;
    }
    return ahead;
}

service_time::service_time()
    : samples_(acc::tag::rolling_window::window_size = service_time_window) {}

void service_time::record(duration taken) {
    samples_(static_cast<double>(taken.count()));
}

duration service_time::mean() const {
    if (acc::rolling_count(samples_) == 0)
        return duration::zero();
    return duration(static_cast<duration::rep>(acc::rolling_mean(samples_)));
}

} // namespace arbutusport::requests
