// Rounds of questions for the owner of a flow.

#include <arbutusport/relay/owner_search.hpp>

namespace arbutusport::relay {

bool owner_search::add(const segment& packet,
                       std::optional<machine_address> denied, time_point now) {
    const auto known = searches_.find(packet.flow);
    if (known != searches_.end()) {
        search& it = known->second;
        it.acknowledged = packet.acknowledged;
        if (it.held.size() >= options_.max_held)
            return false;
        it.held.emplace_back(packet.datagram.begin(), packet.datagram.end());
        return true;
    }
    if (searches_.size() >= options_.max_searches)
        return false;
    search& it = searches_[packet.flow];
    it.acknowledged = packet.acknowledged;
    it.probe.assign(packet.datagram.begin(), packet.datagram.end());
    if (!ask_all(packet.flow, it, denied, now))
        searches_.erase(packet.flow);
    return true;
}

bool owner_search::ask_all(const flow_key& flow, search& it,
                           std::optional<machine_address> denied,
                           time_point now) {
    it.waiting.clear();
    for (const target& one : hooks_.targets(flow))
        if (one.machine != denied)
            it.waiting.push_back(one);
    if (it.waiting.empty())
        return on_all_denied(flow, it, now);
    ask_waiting(it, now);
    return true;
}

void owner_search::ask_waiting(search& it, time_point now) {
    ++it.rounds;
    it.due = now + options_.retry_interval;
    for (const target& one : it.waiting)
        hooks_.send(one, it.probe);
}

void owner_search::on_not_here(machine_address from, const flow_key& flow,
                               time_point now) {
    const auto it = searches_.find(flow);
    if (it == searches_.end() ||
        std::erase_if(it->second.waiting, [&](const target& one) {
            return one.machine == from;
        }) == 0)
        return;
    if (it->second.waiting.empty() && !on_all_denied(flow, it->second, now))
        searches_.erase(flow);
}

bool owner_search::on_all_denied(const flow_key& flow, search& it,
                                 time_point now) {
    if (!it.denied_once) {
        it.denied_once = true;
        it.due = now + options_.confirm_delay;
        return true;
    }
    hooks_.nowhere(flow, it.acknowledged);
    return false;
}

std::vector<bytes> owner_search::on_found(const flow_key& flow) {
    const auto it = searches_.find(flow);
    if (it == searches_.end())
        return {};
    auto held = std::move(it->second.held);
    searches_.erase(it);
    return held;
}

void owner_search::on_tick(time_point now) {
    std::vector<flow_key> due;
    for (const auto& [flow, it] : searches_)
        if (now >= it.due)
            due.push_back(flow);
    for (const flow_key& flow : due) {
        search& it = searches_.at(flow);
        if (!it.held.empty())
            it.probe = it.held.back();
        bool goes_on = it.rounds < options_.max_rounds;
        if (goes_on && it.waiting.empty())
            goes_on = ask_all(flow, it, std::nullopt, now);
        else if (goes_on)
            ask_waiting(it, now);
        if (!goes_on)
            searches_.erase(flow);
    }
}

} // namespace arbutusport::relay
