// Counts events per minute and computes burn rates over windows of minutes.

#include <arbutusport/telemetry/slo_burn.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace arbutusport::telemetry {

namespace {

using nlohmann::json;
using std::chrono::hours;

constexpr std::array all_objectives{objective::flows_kept,
                                    objective::requests_served,
                                    objective::requests_in_time};
static_assert(all_objectives.size() == objective_count);

// Lower bound of a budget: the budget of an objective of 1 is zero, which would
// make its burn rate infinite.
constexpr double min_budget = 1e-9;

std::size_t to_index(objective it) {
    return static_cast<std::size_t>(it);
}

std::int64_t minute_of(time_point it) {
    return std::chrono::floor<std::chrono::minutes>(it.time_since_epoch())
        .count();
}

burn_rates rates_of(const event_ring& events, double target, time_point now) {
    const double budget = std::max(1.0 - target, min_budget);
    const auto burn = [&](duration window) {
        return events.sum(window, now).bad_ratio() / budget;
    };
    return {burn(std::chrono::minutes(5)), burn(hours(1)),
            burn(std::chrono::minutes(30)), burn(hours(6))};
}

json describe(objective which, const event_ring& events, double target,
              time_point now) {
    const auto burn = rates_of(events, target, now);
    // Counts allow a report to combine several processes; rates do not.
    const auto counts = [&](duration window) {
        const auto it = events.sum(window, now);
        return json{{"good", it.good}, {"bad", it.bad}};
    };
    return {{"name", to_string(which)},
            {"target", target},
            {"counts",
             {{"5m", counts(std::chrono::minutes(5))},
              {"1h", counts(hours(1))},
              {"30m", counts(std::chrono::minutes(30))},
              {"6h", counts(hours(6))}}},
            {"burn",
             {{"5m", burn.over_5_min},
              {"1h", burn.over_1_h},
              {"30m", burn.over_30_min},
              {"6h", burn.over_6_h}}},
            {"alert", burn.fast()   ? "fast"
                      : burn.slow() ? "slow"
                                    : "none"}};
}

} // namespace

const char* to_string(objective it) {
    switch (it) {
    case objective::flows_kept:
        return "flows_kept";
    case objective::requests_served:
        return "requests_served";
    case objective::requests_in_time:
        break;
    }
    return "requests_in_time";
}

double event_ring::totals::bad_ratio() const {
    const auto all = static_cast<double>(good) + static_cast<double>(bad);
    return all == 0 ? 0 : static_cast<double>(bad) / all;
}

void event_ring::add(std::uint64_t good, std::uint64_t bad, time_point now) {
    const auto minute = minute_of(now);
    auto& current = buckets_[static_cast<std::size_t>(minute) % minutes];
    if (current.minute != minute)
        current = {minute, {}};
    current.counts.good += good;
    current.counts.bad += bad;
}

event_ring::totals event_ring::sum(duration window, time_point now) const {
    const auto last = minute_of(now);
    const auto first =
        last -
        std::chrono::duration_cast<std::chrono::minutes>(window).count() + 1;
    totals out;
    for (const bucket& it : buckets_)
        if (it.minute >= first && it.minute <= last) {
            out.good += it.counts.good;
            out.bad += it.counts.bad;
        }
    return out;
}

void slo_burn::set_snapshot(const records::snapshot& it) {
    std::map<std::string, service_events> next;
    for (const records::service& service : it.services) {
        auto& slot = next[service.name];
        if (const auto old = services_.find(service.name);
            old != services_.end())
            slot = old->second;
        slot.targets = {service.service_objectives.flows_kept,
                        service.service_objectives.requests_served,
                        service.service_objectives.requests_in_time};
    }
    services_ = std::move(next);
}

void slo_burn::add(const std::string& service, objective which,
                   std::uint64_t good, std::uint64_t bad, time_point now) {
    const auto it = services_.find(service);
    if (it != services_.end())
        it->second.events[to_index(which)].add(good, bad, now);
}

burn_rates slo_burn::rates(const std::string& service, objective which,
                           time_point now) const {
    const auto it = services_.find(service);
    if (it == services_.end())
        return {};
    const auto i = to_index(which);
    return rates_of(it->second.events[i], it->second.targets[i], now);
}

std::string slo_burn::to_json(time_point now) const {
    json list = json::array();
    for (const auto& [name, tracked_events] : services_) {
        json goals = json::array();
        for (const objective which : all_objectives) {
            const auto i = to_index(which);
            goals.push_back(describe(which, tracked_events.events[i],
                                     tracked_events.targets[i], now));
        }
        list.push_back({{"name", name}, {"objectives", std::move(goals)}});
    }
    return json{{"services", std::move(list)}}.dump();
}

} // namespace arbutusport::telemetry
