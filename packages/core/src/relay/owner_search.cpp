// Query rounds and conclusion of the search for a flow's owner.

#include <arbutusport/relay/owner_search.hpp>

#include <algorithm>

namespace arbutusport::relay {

namespace {

// IPv4 and UDP headers of each datagram.
constexpr std::size_t datagram_overhead = 28;
// Encoded size of one flow in a query.
constexpr std::size_t query_bytes = 12;

} // namespace

bool owner_search::add(const segment& packet,
                       std::optional<machine_address> denied, time_point now) {
    const auto known = searches_.find(packet.flow);
    const bool fresh = known == searches_.end();
    if (fresh && searches_.size() >= options_.max_searches)
        return false;
    search& it = fresh ? searches_[packet.flow] : known->second;
    it.used_at = now;
    it.acknowledged = packet.acknowledged;
    if (denied)
        it.denied.insert(*denied);
    if (it.all_denied)
        return true;
    const bool asks = fresh || it.rounds >= options_.max_rounds;
    if (!asks) {
        if (it.held.size() >= options_.max_held)
            return false;
        it.held.emplace_back(packet.datagram.begin(), packet.datagram.end());
        return true;
    }
    it.begun_at = now;
    it.probe.assign(packet.datagram.begin(), packet.datagram.end());
    it.probed.clear();
    it.held.clear();
    it.rounds = 0;
    ask(packet.flow, it, now);
    return true;
}

void owner_search::ask(const flow_key& flow, search& it, time_point now) {
    const auto targets = undecided(flow, it);
    if (targets.empty()) {
        wait_for_conclusion(flow, it, now);
        return;
    }
    const bool any_likely =
        std::ranges::any_of(targets, [&](const target& one) {
            return one.likely && !it.probed.contains(one.machine);
        });
    if (it.rounds == 0 && any_likely && !it.asked_all)
        ask_likely(it, targets, now);
    else
        ask_all(flow, it, targets, now);
    ++it.rounds;
}

void owner_search::ask_likely(search& it, const std::vector<target>& targets,
                              time_point now) {
    it.due = now + options_.near_wait;
    for (const target& one : targets)
        if (one.likely)
            probe(it, one, now);
}

void owner_search::ask_all(const flow_key& flow, search& it,
                           const std::vector<target>& targets, time_point now) {
    it.asked_all = true;
    it.due = now + options_.retry_interval;
    for (const target& one : targets)
        queries_[one.machine].push_back(flow);
}

void owner_search::probe(search& it, const target& one, time_point now) {
    if (!budget_.take(it.probe.size() + datagram_overhead, now))
        return;
    it.probed.insert(one.machine);
    hooks_.send(one, it.probe);
}

std::vector<owner_search::target>
owner_search::undecided(const flow_key& flow, const search& it) const {
    auto targets = hooks_.targets(flow);
    std::erase_if(targets, [&](const target& one) {
        return it.denied.contains(one.machine);
    });
    return targets;
}

void owner_search::wait_for_conclusion(const flow_key& flow, search& it,
                                       time_point now) {
    it.all_denied = true;
    it.due = now + options_.conclusion_delay;
    concluding_.emplace(it.due, flow);
}

owner_search::conclusion owner_search::make_conclusion(const flow_key& flow,
                                                       const search& it,
                                                       time_point now) {
    return {.flow = flow,
            .acknowledged = it.acknowledged,
            .denials = it.denied.size(),
            .after = now - it.begun_at};
}

bool owner_search::conclude(const flow_key& flow, time_point now) {
    const auto it = searches_.find(flow);
    // New hosts may have been learned since the last denial.
    if (!undecided(flow, it->second).empty()) {
        it->second.all_denied = false;
        return false;
    }
    const auto out = make_conclusion(flow, it->second, now);
    searches_.erase(it);
    hooks_.nowhere(out, now);
    return true;
}

void owner_search::expire(const flow_key& flow, const search& it,
                          time_point now) {
    const auto out = make_conclusion(flow, it, now);
    const bool all_denied = it.all_denied;
    searches_.erase(flow);
    if (all_denied)
        hooks_.unresolved(out);
}

void owner_search::on_not_here(machine_address from, const flow_key& flow,
                               time_point now) {
    const auto known = searches_.find(flow);
    if (known == searches_.end() || !known->second.denied.insert(from).second)
        return;
    search& it = known->second;
    const auto left = undecided(flow, it);
    const auto likely = [](const target& one) { return one.likely; };
    if (left.empty())
        wait_for_conclusion(flow, it, now);
    else if (!it.asked_all && std::ranges::none_of(left, likely))
        ask_all(flow, it, left, now);
}

void owner_search::on_unsure(machine_address from, const flow_key& flow,
                             time_point now) {
    const auto known = searches_.find(flow);
    if (known == searches_.end())
        return;
    for (const target& one : undecided(flow, known->second))
        if (one.machine == from)
            probe(known->second, one, now);
}

std::optional<time_point> owner_search::begun_at(const flow_key& flow) const {
    const auto it = searches_.find(flow);
    return it == searches_.end() ? std::nullopt
                                 : std::optional(it->second.begun_at);
}

std::vector<bytes> owner_search::on_found(const flow_key& flow,
                                          machine_address owner) {
    const auto it = searches_.find(flow);
    if (it == searches_.end())
        return {};
    std::vector<bytes> waiting;
    if (!it->second.probed.contains(owner))
        waiting.push_back(std::move(it->second.probe));
    for (bytes& held : it->second.held)
        waiting.push_back(std::move(held));
    searches_.erase(it);
    return waiting;
}

void owner_search::on_tick(time_point now) {
    const bool may_conclude = hooks_.may_conclude(now);
    std::vector<flow_key> due;
    for (const auto& [flow, it] : searches_)
        if (now >= it.due)
            due.push_back(flow);
    for (const flow_key& flow : due) {
        search& it = searches_.at(flow);
        if (now - it.used_at > options_.memory)
            expire(flow, it, now);
        else if (it.all_denied && !may_conclude)
            continue;
        else if (may_conclude && conclude(flow, now))
            continue;
        else if (it.rounds < options_.max_rounds)
            ask(flow, it, now);
        else
            // Silent processes are queried again when the client retransmits.
            it.due = it.used_at + options_.memory;
    }
    flush(now);
    // on_tick concludes searches that have waited longer.
    concluding_.erase(concluding_.begin(),
                      concluding_.lower_bound(now - options_.memory));
}

void owner_search::flush(time_point now) {
    if (!concluding_.empty() && hooks_.may_conclude(now))
        conclude_due(now);
    send_queries(now);
}

void owner_search::conclude_due(time_point now) {
    while (!concluding_.empty() && concluding_.begin()->first <= now) {
        const flow_key flow = concluding_.extract(concluding_.begin()).mapped();
        const auto it = searches_.find(flow);
        // A new search of the flow may have started, or its owner was found.
        if (it != searches_.end() && it->second.all_denied &&
            it->second.due <= now)
            conclude(flow, now);
    }
}

void owner_search::send_queries(time_point now) {
    for (auto& [machine, flows] : queries_) {
        for (std::size_t i = 0; i < flows.size(); i += max_flows_per_message) {
            const auto n = std::min(max_flows_per_message, flows.size() - i);
            // Queries over the budget are sent in the next round.
            if (!budget_.take(n * query_bytes + datagram_overhead, now))
                continue;
            const auto first = flows.begin() + static_cast<std::ptrdiff_t>(i);
            hooks_.query(machine,
                         {first, first + static_cast<std::ptrdiff_t>(n)});
        }
    }
    queries_.clear();
}

} // namespace arbutusport::relay
