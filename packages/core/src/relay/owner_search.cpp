// Query rounds and conclusion of the search for a flow's owner.

#include <arbutusport/relay/owner_search.hpp>

#include <algorithm>

namespace arbutusport::relay {

namespace {

// IPv4 and UDP headers of each datagram.
constexpr std::size_t datagram_overhead = 28;
// Encoded size of one flow in a query.
constexpr std::size_t query_bytes = 12;
// From this round on, a process that cannot tell gets the packet again, which
// may have been lost.
constexpr std::uint32_t repeated_probe_round = 3;

} // namespace

bool owner_search::add(const segment& packet,
                       std::optional<machine_address> denied, time_point now) {
    const auto known = searches_.find(packet.flow);
    const bool is_new = known == searches_.end();
    if (is_new && searches_.size() >= options_.max_searches)
        return false;
    search& state = is_new ? searches_[packet.flow] : known->second;
    state.used_at = now;
    state.acknowledged = packet.acknowledged;
    if (denied)
        state.denied.insert(*denied);
    if (state.all_denied)
        return true;
    const bool starts_round = is_new || state.rounds >= options_.max_rounds;
    if (!starts_round) {
        if (state.queued_packets.size() >= options_.max_queued_packets)
            return false;
        state.queued_packets.emplace_back(packet.datagram.begin(),
                                          packet.datagram.end());
        return true;
    }
    state.started_at = now;
    if (concluded_at_ && now - *concluded_at_ < options_.loss_period)
        hooks_.require_complete(now);
    state.probe_packet.assign(packet.datagram.begin(), packet.datagram.end());
    state.probed.clear();
    state.uncertain.clear();
    state.queued_packets.clear();
    state.rounds = 0;
    start_round(packet.flow, state, now);
    return true;
}

void owner_search::start_round(const flow_key& flow, search& state,
                               time_point now) {
    const auto targets = remaining_targets(flow, state, now);
    if (targets.empty()) {
        wait_for_conclusion(flow, state, now);
        return;
    }
    const bool any_likely =
        std::ranges::any_of(targets, [&](const target& one) {
            return one.likely && !state.probed.contains(one.machine);
        });
    if (state.rounds == 0 && any_likely && !state.queried_all)
        probe_likely_owners(state, targets, now);
    else
        query_all(flow, state, targets, now);
    ++state.rounds;
}

void owner_search::probe_likely_owners(search& state,
                                       const std::vector<target>& targets,
                                       time_point now) {
    state.due = now + options_.likely_owner_timeout;
    for (const target& one : targets)
        if (one.likely)
            send_probe(state, one, now);
}

void owner_search::query_all(const flow_key& flow, search& state,
                             const std::vector<target>& targets,
                             time_point now) {
    state.queried_all = true;
    state.due = now + options_.retry_interval;
    for (const target& one : targets)
        queries_[one.machine].push_back(flow);
}

bool owner_search::send_probe(search& state, const target& one,
                              time_point now) {
    if (!budget_.try_take(state.probe_packet.size() + datagram_overhead, now))
        return false;
    state.probed.insert(one.machine);
    state.probed_at = now;
    hooks_.send(one, state.probe_packet);
    return true;
}

// Sends the packet to uncertain processes, unless one that has it may still be
// the owner.
void owner_search::probe_uncertain(const flow_key& flow, search& state,
                                   time_point now) {
    if (state.uncertain.empty())
        return;
    const bool any_undecided =
        std::ranges::any_of(state.probed, [&](machine_address it) {
            return !state.denied.contains(it);
        });
    if (any_undecided && now - state.probed_at < options_.probe_timeout)
        return;
    auto targets = remaining_targets(flow, state, now);
    std::erase_if(targets, [&](const target& one) {
        return !state.uncertain.contains(one.machine);
    });
    const bool any_near = std::ranges::any_of(targets, &target::near);
    for (const target& one : targets)
        if (one.near == any_near && send_probe(state, one, now))
            state.uncertain.erase(one.machine);
}

std::vector<owner_search::target>
owner_search::remaining_targets(const flow_key& flow, const search& state,
                                time_point now) const {
    auto targets = hooks_.targets(flow, now);
    std::erase_if(targets, [&](const target& one) {
        return state.denied.contains(one.machine);
    });
    return targets;
}

void owner_search::wait_for_conclusion(const flow_key& flow, search& state,
                                       time_point now) {
    state.all_denied = true;
    state.due = now + options_.conclusion_delay;
    pending_conclusions_.emplace(state.started_at, flow);
    hooks_.require_complete(state.started_at);
}

owner_search::conclusion owner_search::make_conclusion(const flow_key& flow,
                                                       const search& state,
                                                       time_point now) {
    return {.flow = flow,
            .acknowledged = state.acknowledged,
            .denials = state.denied.size(),
            .after = now - state.started_at};
}

bool owner_search::conclude(const flow_key& flow, time_point now) {
    const auto it = searches_.find(flow);
    // Hosts may have been added to the targets since the last denial.
    if (!remaining_targets(flow, it->second, now).empty()) {
        it->second.all_denied = false;
        return false;
    }
    const auto out = make_conclusion(flow, it->second, now);
    searches_.erase(it);
    concluded_at_ = now;
    hooks_.not_found(out, now);
    return true;
}

void owner_search::expire(const flow_key& flow, const search& state,
                          time_point now) {
    const auto out = make_conclusion(flow, state, now);
    const bool all_denied = state.all_denied;
    searches_.erase(flow);
    if (all_denied)
        hooks_.unresolved(out);
}

void owner_search::on_not_owned(machine_address from, const flow_key& flow,
                                time_point now) {
    const auto known = searches_.find(flow);
    if (known == searches_.end() || !known->second.denied.insert(from).second)
        return;
    search& state = known->second;
    const auto left = remaining_targets(flow, state, now);
    const auto likely = [](const target& one) { return one.likely; };
    if (left.empty())
        wait_for_conclusion(flow, state, now);
    else if (!state.queried_all && std::ranges::none_of(left, likely))
        query_all(flow, state, left, now);
    else
        probe_uncertain(flow, state, now);
}

void owner_search::on_uncertain(machine_address from, const flow_key& flow,
                                time_point now) {
    const auto known = searches_.find(flow);
    if (known == searches_.end())
        return;
    search& state = known->second;
    if (state.denied.contains(from) ||
        (state.probed.contains(from) && state.rounds < repeated_probe_round))
        return;
    state.uncertain.insert(from);
    probe_uncertain(flow, state, now);
}

std::optional<time_point> owner_search::started_at(const flow_key& flow) const {
    const auto it = searches_.find(flow);
    return it == searches_.end() ? std::nullopt
                                 : std::optional(it->second.started_at);
}

std::vector<bytes> owner_search::on_found(const flow_key& flow,
                                          machine_address owner) {
    const auto it = searches_.find(flow);
    if (it == searches_.end())
        return {};
    std::vector<bytes> waiting;
    if (!it->second.probed.contains(owner))
        waiting.push_back(std::move(it->second.probe_packet));
    for (bytes& queued : it->second.queued_packets)
        waiting.push_back(std::move(queued));
    searches_.erase(it);
    return waiting;
}

void owner_search::on_tick(time_point now) {
    const time_point complete_until = hooks_.complete_until(now);
    std::vector<flow_key> due;
    for (auto& [flow, state] : searches_) {
        probe_uncertain(flow, state, now);
        if (now >= state.due)
            due.push_back(flow);
    }
    for (const flow_key& flow : due) {
        search& state = searches_.at(flow);
        if (now - state.used_at > options_.retention_time)
            expire(flow, state, now);
        else if (state.all_denied && state.started_at > complete_until)
            hooks_.require_complete(state.started_at);
        else if (state.started_at <= complete_until && conclude(flow, now))
            continue;
        else if (state.rounds < options_.max_rounds)
            start_round(flow, state, now);
        else
            // Processes that have not answered are queried again when the
            // client retransmits.
            state.due = state.used_at + options_.retention_time;
    }
    flush(now);
    // on_tick concludes searches that have waited longer.
    pending_conclusions_.erase(
        pending_conclusions_.begin(),
        pending_conclusions_.lower_bound(now - options_.retention_time));
}

void owner_search::flush(time_point now) {
    if (!pending_conclusions_.empty())
        conclude_due(hooks_.complete_until(now), now);
    send_queries(now);
}

void owner_search::conclude_due(time_point complete_until, time_point now) {
    for (auto next = pending_conclusions_.begin();
         next != pending_conclusions_.end() && next->first <= complete_until;) {
        const auto [started_at, flow] = *next;
        const auto it = searches_.find(flow);
        // A new search of the flow may have started, or its owner was found.
        const bool is_pending = it != searches_.end() &&
                                it->second.all_denied &&
                                it->second.started_at == started_at;
        if (is_pending && it->second.due > now) {
            ++next;
            continue;
        }
        next = pending_conclusions_.erase(next);
        if (is_pending)
            conclude(flow, now);
    }
}

void owner_search::send_queries(time_point now) {
    for (auto& [machine, flows] : queries_) {
        for (std::size_t i = 0; i < flows.size(); i += max_flows_per_message) {
            const auto n = std::min(max_flows_per_message, flows.size() - i);
            // Queries over the budget are sent in the next round.
            if (!budget_.try_take(n * query_bytes + datagram_overhead, now))
                continue;
            const auto first = flows.begin() + static_cast<std::ptrdiff_t>(i);
            hooks_.query(machine,
                         {first, first + static_cast<std::ptrdiff_t>(n)});
        }
    }
    queries_.clear();
}

} // namespace arbutusport::relay
