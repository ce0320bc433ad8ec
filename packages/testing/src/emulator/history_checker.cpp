// Groups the events by request and by host, and checks each group.

#include <arbutusport/emulator/history_checker.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace arbutusport::emulator {

namespace {

struct request_events {
    const event* sent = nullptr;
    std::vector<const event*> runs;
    std::vector<const event*> outcomes;
};

using request_map = std::map<std::string, request_events>;
using violations = std::vector<violation>;

request_map group_by_request(const history& events) {
    request_map out;
    for (const event& it : events) {
        if (it.kind == event_kind::drained)
            continue;
        request_events& entry = out[it.request];
        if (it.kind == event_kind::sent)
            entry.sent = &it;
        else if (it.kind == event_kind::ran)
            entry.runs.push_back(&it);
        else if (it.result != outcome::none)
            entry.outcomes.push_back(&it);
    }
    return out;
}

void check_runs(const std::string& name, const request_events& it,
                violations& out) {
    const bool idempotent =
        std::ranges::any_of(it.runs, [](auto* run) { return run->idempotent; });
    if (!idempotent && it.runs.size() > 1)
        out.push_back(
            {violation_kind::double_run, name,
             "executed " + std::to_string(it.runs.size()) + " times"});
    if (!it.sent)
        return;
    for (const event* run : it.runs)
        if (run->service != it.sent->service)
            out.push_back({violation_kind::misrouted, name,
                           "sent to " + it.sent->service + ", executed by " +
                               run->host + " of " + run->service});
}

void check_answer(const std::string& name, const event& outcome_event,
                  violations& out) {
    if (outcome_event.answered_request != name)
        out.push_back(
            {violation_kind::crossed_answer, name,
             "received the response to " + outcome_event.answered_request});
    if (!outcome_event.body_whole)
        out.push_back({violation_kind::cut_answer, name,
                       "response body is incomplete or corrupt"});
}

void check_outcomes(const std::string& name, const request_events& it,
                    violations& out) {
    if (it.sent && it.outcomes.empty())
        out.push_back(
            {violation_kind::lost_request, name, "no outcome recorded"});
    for (const event* outcome_event : it.outcomes) {
        if (outcome_event->result == outcome::answered)
            check_answer(name, *outcome_event, out);
        if (outcome_event->result == outcome::not_run && !it.runs.empty())
            out.push_back(
                {violation_kind::false_not_run, name,
                 "outcome not_run, but executed by " + it.runs.front()->host});
    }
}

void check_drains(const history& events, violations& out) {
    std::map<std::string, time_point> drained;
    for (const event& it : events)
        if (it.kind == event_kind::drained) {
            const auto at = drained.emplace(it.host, it.at).first;
            at->second = std::min(at->second, it.at);
        }
    std::vector<const event*> runs;
    for (const event& it : events)
        if (it.kind == event_kind::ran && drained.contains(it.host))
            runs.push_back(&it);
    std::ranges::stable_sort(runs, {}, [](auto* run) { return run->at; });
    std::set<std::pair<std::string, std::string>> seen_clients;
    for (const event* run : runs)
        if (seen_clients.emplace(run->host, run->client).second &&
            run->at > drained.at(run->host) + drain_grace_period)
            out.push_back({violation_kind::work_after_drain, run->request,
                           "first request of " + run->client + " at " +
                               run->host +
                               " executed after the drain grace period"});
}

} // namespace

const char* to_string(violation_kind it) {
    switch (it) {
    case violation_kind::double_run:
        return "double_run";
    case violation_kind::false_not_run:
        return "false_not_run";
    case violation_kind::crossed_answer:
        return "crossed_answer";
    case violation_kind::cut_answer:
        return "cut_answer";
    case violation_kind::lost_request:
        return "lost_request";
    case violation_kind::misrouted:
        return "misrouted";
    case violation_kind::work_after_drain:
        return "work_after_drain";
    }
    return "?";
}

std::vector<violation> check(const history& events) {
    violations out;
    for (const auto& [name, it] : group_by_request(events)) {
        check_runs(name, it, out);
        check_outcomes(name, it, out);
    }
    check_drains(events, out);
    std::ranges::stable_sort(out, {}, &violation::request);
    return out;
}

std::size_t count(const std::vector<violation>& found, violation_kind kind) {
    return static_cast<std::size_t>(
        std::ranges::count(found, kind, &violation::kind));
}

} // namespace arbutusport::emulator
