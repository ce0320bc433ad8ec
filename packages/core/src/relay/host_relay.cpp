// Packet path between entries and the host.

#include <arbutusport/relay/host_relay.hpp>

namespace arbutusport::relay {

namespace {

// A client's first acknowledgement exceeds the initial sequence number of the
// host that it uses by at most this much, even if its first packets were lost.
constexpr std::uint32_t confirm_window = 1U << 16;

} // namespace

host_relay::host_relay(host_relay_options options, host_relay_hooks hooks,
                       time_point now)
    : options_(options), hooks_(std::move(hooks)), complete_since_(now),
      swept_at_(now) {}

void host_relay::on_entry(machine_address from, const segment& it,
                          time_point now) {
    if (it.mark.service != options_.service) {
        deny(from, it, return_reason::wrong_service);
        return;
    }
    if (state_ == host_state::dead ||
        (state_ == host_state::leaving && it.opening())) {
        deny(from, it, return_reason::host_dead);
        return;
    }
    if (it.opening()) {
        on_opening(from, it, now);
        return;
    }
    const auto known = flows_.find(it.flow);
    if (known == flows_.end()) {
        on_unknown_flow(from, it, now);
        return;
    }
    owned& flow = known->second;
    if (!flow.confirmed && it.ack &&
        it.acknowledged - flow.host_start > confirm_window) {
        // The client uses the connection to another host.
        deny(from, it, return_reason::unknown_flow);
        erase(it.flow, now);
        return;
    }
    if (it.mark.kind == handling::search)
        announce(it.flow, flow, now, from);
    take_from_client(from, flow, it, now);
    deliver(from, it, now);
}

void host_relay::on_opening(machine_address from, const segment& it,
                            time_point now) {
    const auto known = flows_.find(it.flow);
    if (known != flows_.end() && known->second.client_start != it.sequence)
        erase(it.flow, now);
    // The host's answer is announced to the entries of the data centre that
    // `from` belongs to.
    if (offers_.size() < options_.max_offers)
        offers_[it.flow] = {.entry = from,
                            .due = now + options_.confirm_timeout,
                            .sequence = it.sequence};
    deliver(from, it, now);
}

void host_relay::on_unknown_flow(machine_address from, const segment& it,
                                 time_point now) {
    if (knows_all_flows(now)) {
        deny(from, it, return_reason::unknown_flow);
        return;
    }
    // The flow may be older than this process; only the host can tell.
    const bool searched = it.mark.kind == handling::search;
    if (offers_.size() < options_.max_offers)
        offers_[it.flow] = {.entry = from,
                            .due = now + options_.offer_memory,
                            .sequence = it.sequence,
                            .searched = searched};
    deliver(from, it, now);
}

void host_relay::take_from_client(machine_address from, owned& flow,
                                  const segment& it, time_point now) {
    flow.used_at = now;
    flow.confirmed = true;
    if (it.ack)
        flow.acknowledged = it.acknowledged;
    if (const auto via = data_centre_of(from); via != data_centre_id())
        flow.via = via;
    if (it.payload_bytes > 0)
        set_busy(flow, true, now);
    if (it.fin)
        flow.client_closed = true;
    if (it.rst)
        erase(it.flow, now);
}

void host_relay::on_host(const segment& it, time_point now) {
    unanswered_since_.reset();
    if (it.returned) {
        on_returned(it, now);
        return;
    }
    if (it.rst) {
        erase(it.flow, now);
    } else if (it.syn) {
        const auto offered = offers_.find(it.flow);
        owned& flow = flows_[it.flow];
        flow.host_start = it.sequence;
        // The host acknowledges the client's first sequence number + 1.
        flow.client_start = it.acknowledged - 1;
        flow.used_at = now;
        machine_address entry;
        if (offered != offers_.end()) {
            entry = offered->second.entry;
            flow.client_start = offered->second.sequence;
            if (const auto via = data_centre_of(entry); via != data_centre_id())
                flow.via = via;
            offers_.erase(offered);
        }
        hooks_.report(
            {.name = "flow_opened", .flow = it.flow, .machine = entry});
        announce(it.flow, flow, now, entry);
    } else {
        owned& flow = learn(it, now);
        flow.used_at = now;
        flow.held_by_host = true;
        if (it.payload_bytes > 0)
            set_busy(flow, false, now);
        if (it.fin)
            flow.host_closed = true;
    }
    hooks_.to_client(it.flow, it.datagram);
}

// Returns the flow of a packet that the host sent, and adds it if this process
// does not know it yet.
host_relay::owned& host_relay::learn(const segment& it, time_point now) {
    const auto known = flows_.find(it.flow);
    if (known != flows_.end())
        return known->second;
    owned& flow = flows_[it.flow];
    flow = {.client_start = it.acknowledged,
            .host_start = it.sequence,
            .acknowledged = it.sequence,
            .used_at = now,
            .confirmed = true};
    machine_address entry;
    if (const auto offered = offers_.find(it.flow); offered != offers_.end()) {
        entry = offered->second.entry;
        flow.via = data_centre_of(entry);
        offers_.erase(offered);
    }
    hooks_.report({.name = "flow_learned",
                   .reason = "host_sent",
                   .flow = it.flow,
                   .machine = entry});
    announce(it.flow, flow, now, entry);
    return flow;
}

// Handles a packet that the host returned because it does not own the flow or
// does not accept a new one.
void host_relay::on_returned(const segment& it, time_point now) {
    const machine_address entry(it.via_entry);
    const auto offered = offers_.find(it.flow);
    if (it.opening()) {
        if (offered != offers_.end())
            offers_.erase(offered);
        give_back(entry, it, return_reason::host_refused);
        return;
    }
    if (offered != offers_.end()) {
        segment back = it;
        back.mark.kind =
            offered->second.searched ? handling::search : handling::forward;
        offers_.erase(offered);
        deny(entry, back, return_reason::unknown_flow);
        return;
    }
    const auto known = flows_.find(it.flow);
    if (known == flows_.end()) {
        hooks_.report(
            {.name = "dropped", .reason = "returned_twice", .flow = it.flow});
        return;
    }
    const bool was_held = known->second.held_by_host;
    erase(it.flow, now);
    if (!was_held) {
        give_back(entry, it, return_reason::unknown_flow);
        return;
    }
    // The host owned this flow and no longer knows it, so it has restarted.
    hooks_.report({.severity = event::level::info,
                   .name = "flow_reset",
                   .reason = "host_forgot_it",
                   .flow = it.flow});
    hooks_.reset(it.flow, it.acknowledged);
}

void host_relay::deny(machine_address to, const segment& it,
                      return_reason reason) {
    if (it.mark.kind == handling::search)
        hooks_.send(to, flow_denial{.not_here = {it.flow}});
    else
        give_back(to, it, reason);
}

void host_relay::give_back(machine_address to, const segment& it,
                           return_reason reason) {
    hooks_.report({.name = "packet_returned",
                   .reason = to_string(reason),
                   .flow = it.flow,
                   .machine = to});
    hooks_.send(
        to, packet_returned{reason, {it.datagram.begin(), it.datagram.end()}});
}

void host_relay::on_host_alive(time_point now) {
    // This process has missed no flow of a host that has just started.
    if (state_ != host_state::alive)
        complete_since_ = now - options_.idle_timeout;
    set_state(host_state::alive, now);
}

void host_relay::on_host_refuses(time_point now) {
    const bool registered = registered_ == registration::ready &&
                            now - registered_at_ < options_.registration_memory;
    if (state_ != host_state::alive)
        return;
    if (registered || flows_.empty())
        end_all_flows(now);
    else
        set_state(host_state::leaving, now);
}

// The host has ended. Resets let clients open new flows at once.
void host_relay::end_all_flows(time_point now) {
    hooks_.report({.severity = event::level::warning,
                   .name = "host_ended",
                   .value = flows_.size()});
    for (const auto& [flow, it] : flows_) {
        if (!it.confirmed || (it.client_closed && it.host_closed))
            continue;
        hooks_.report({.severity = event::level::info,
                       .name = "flow_reset",
                       .reason = "host_ended",
                       .flow = flow});
        hooks_.reset(flow, it.acknowledged);
    }
    flows_.clear();
    offers_.clear();
    load_.clear(now);
    set_state(host_state::dead, now);
}

void host_relay::set_state(host_state it, time_point now) {
    if (state_ == it)
        return;
    state_ = it;
    unanswered_since_.reset();
    hooks_.report({.severity = event::level::info,
                   .name = it == host_state::alive     ? "host_back"
                           : it == host_state::leaving ? "host_leaving"
                                                       : "host_dead"});
    const message report = make_report(now);
    for (const auto& [machine, one] : entries_)
        hooks_.send(machine, report);
}

void host_relay::deliver(machine_address via, const segment& it,
                         time_point now) {
    if (state_ == host_state::leaving && !unanswered_since_)
        unanswered_since_ = now;
    hooks_.deliver(via, it.datagram);
}

} // namespace arbutusport::relay
