// Model of the host's slots and queue.

#include <arbutusport/relay/work_meter.hpp>

#include <algorithm>
#include <cmath>

namespace arbutusport::relay {

namespace {

// The number of slots while it is unknown: more than hosts usually have.
constexpr std::size_t slots_if_unknown = 64;
constexpr double high_share = 0.95;
// Time constant of the request rate.
constexpr duration rate_window = std::chrono::seconds(2);
// A host answers a request that it does not process (overload, fault) within a
// millisecond or two, which says nothing of its speed. An answer counts as such
// below the first value, and below this share of the route's mean.
constexpr duration min_service = std::chrono::milliseconds(1);
constexpr int max_speedup = 8;
// An answer after this part of the mean is no refusal. The mean may be from
// when the host was slower, and nothing is learned while lost requests hold all
// slots.
constexpr int min_served_share = 4;
// After this long without a plausible sample what was learned no longer holds.
constexpr duration implausible_limit = std::chrono::seconds(10);

} // namespace

void work_meter::set_slots(std::uint32_t slots, time_point now) {
    slots_ = slots;
    assign_slots(now);
}

std::size_t work_meter::slots() const {
    return slots_ == 0 ? slots_if_unknown : slots_;
}

void work_meter::on_request(const flow_key& flow, const endpoint& route,
                            time_point now) {
    expire(now);
    if (const auto known = index_.find(flow); known != index_.end()) {
        // The request was not complete, so it never had the slot: the first one
        // that waits has it since then.
        const auto it = known->second;
        const time_point free_since = it->has_slot ? it->started_at : now;
        if (!it->has_slot)
            --it->route->waiting;
        waiting_.splice(waiting_.end(), it->has_slot ? in_service_ : waiting_,
                        it);
        it->has_slot = false;
        it->arrived_at = now;
        ++it->route->waiting;
        assign_slots(free_since);
        return;
    }
    count_request(now);
    if (index_.size() >= options_.max_requests)
        return;
    route_state& owner = route_of(route, now);
    waiting_.push_back({.flow = flow, .route = &owner, .arrived_at = now});
    ++owner.in_progress;
    ++owner.waiting;
    index_.emplace(flow, std::prev(waiting_.end()));
    assign_slots(now);
}

// Returns the state of a route, and drops the one not used for the longest time
// if there are too many.
work_meter::route_state& work_meter::route_of(const endpoint& route,
                                              time_point now) {
    const auto known = routes_.find(route);
    if (known != routes_.end()) {
        known->second.used_at = now;
        return known->second;
    }
    if (routes_.size() >= options_.max_routes) {
        auto oldest = routes_.end();
        for (auto it = routes_.begin(); it != routes_.end(); ++it) {
            if (it->second.in_progress == 0 &&
                (oldest == routes_.end() ||
                 it->second.used_at < oldest->second.used_at))
                oldest = it;
        }
        if (oldest == routes_.end())
            return other_;
        routes_.erase(oldest);
    }
    route_state& added = routes_[route];
    added.used_at = now;
    return added;
}

// Gives free slots to the requests that wait. A slot has been free since
// `free_since`, but a request cannot have started before it was complete.
void work_meter::assign_slots(time_point free_since) {
    while (!waiting_.empty() && in_service_.size() < slots()) {
        const auto it = waiting_.begin();
        --it->route->waiting;
        it->has_slot = true;
        it->started_at = std::max(it->arrived_at, free_since);
        in_service_.splice(in_service_.end(), waiting_, it);
    }
}

void work_meter::erase(request_list::iterator it, time_point free_since) {
    route_state& route = *it->route;
    --route.in_progress;
    if (!it->has_slot)
        --route.waiting;
    index_.erase(it->flow);
    (it->has_slot ? in_service_ : waiting_).erase(it);
    assign_slots(free_since);
}

void work_meter::on_answer(const flow_key& flow, time_point now) {
    const auto known = index_.find(flow);
    if (known == index_.end())
        return;
    const auto it = known->second;
    route_state& route = *it->route;
    if (it->has_slot) {
        const duration sample = now - it->started_at;
        erase(it, now);
        learn(route, sample, now);
        return;
    }
    // A host refuses at once what it cannot queue. An answer after a service
    // time shows that the request had a slot, so those that seem to have held
    // all slots since its arrival are lost.
    const time_point arrived_at = it->arrived_at;
    const bool was_served =
        now - arrived_at >=
        std::max(times_of(route).mean() / min_served_share, 2 * min_service);
    erase(it, now);
    if (was_served)
        erase_started_by(arrived_at, now);
}

void work_meter::erase_started_by(time_point limit, time_point now) {
    for (auto it = in_service_.begin(); it != in_service_.end();) {
        const auto current = it++;
        if (current->started_at <= limit)
            erase(current, now);
    }
}

void work_meter::learn(route_state& it, duration sample, time_point now) {
    if (sample < min_service)
        return;
    if (sample < it.times.mean() / max_speedup) {
        if (now - it.learned_at <= implausible_limit)
            return;
        it.times = {};
    }
    all_.add(sample, now);
    it.learned_at = now;
    if (&it != &other_)
        it.times.add(sample, now);
}

void work_meter::on_flow_end(const flow_key& flow, time_point now) {
    if (const auto known = index_.find(flow); known != index_.end())
        erase(known->second, now);
}

void work_meter::clear() {
    in_service_.clear();
    waiting_.clear();
    index_.clear();
    other_ = {};
    for (auto& [endpoint, it] : routes_)
        it.in_progress = it.waiting = 0;
}

void work_meter::expire(time_point now) {
    const time_point limit = now - options_.request_timeout;
    while (!waiting_.empty() && waiting_.front().arrived_at <= limit)
        erase(waiting_.begin(), now);
    erase_started_by(limit, now);
}

const service_times& work_meter::times_of(const route_state& it) const {
    return it.times.empty() ? all_ : it.times;
}

duration work_meter::backlog(time_point now) const {
    if (in_service_.empty())
        return {};
    const auto bounded = [&](duration it) {
        return std::min(it, options_.request_timeout);
    };
    duration left{};
    for (const request& it : in_service_) {
        const duration elapsed = now - it.started_at;
        if (elapsed <= options_.request_timeout)
            left += bounded(times_of(*it.route).expected_rest(elapsed));
    }
    left += other_.waiting * bounded(all_.mean());
    for (const auto& [endpoint, it] : routes_)
        if (it.waiting > 0)
            left += it.waiting * bounded(times_of(it).mean());
    // While the number of slots is unknown, each request counts as having one.
    return left / (slots_ == 0 ? in_service_.size() : slots_);
}

duration work_meter::mean_service(const endpoint& route) const {
    const auto known = routes_.find(route);
    return (known == routes_.end() ? all_ : times_of(known->second)).mean();
}

duration work_meter::high_service() const {
    return all_.quantile(high_share);
}

void work_meter::count_request(time_point now) {
    recent_requests_ =
        1 +
        request_rate(now) * std::chrono::duration<double>(rate_window).count();
    rate_updated_at_ = now;
}

double work_meter::request_rate(time_point now) const {
    const double window = std::chrono::duration<double>(rate_window).count();
    const double passed =
        std::chrono::duration<double>(now - rate_updated_at_).count();
    return recent_requests_ / window *
           std::exp(-std::max(passed, 0.0) / window);
}

} // namespace arbutusport::relay
