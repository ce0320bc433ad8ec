// Packet path between entries and the host.

#include <arbutusport/relay/host_relay.hpp>

#include <utility>

namespace arbutusport::relay {

namespace {

// A client's first acknowledgement exceeds the initial sequence number of the
// host that it uses by at most this much, even if its first packets were lost.
constexpr std::uint32_t confirm_window = 1U << 16;
// Sequence numbers of one connection differ by less, even if packets arrive
// late. Two connections from the same port differ by more except by chance.
constexpr std::uint32_t connection_window = 1U << 22;

bool are_near(std::uint32_t left, std::uint32_t right) {
    return left - right + connection_window <= 2 * connection_window;
}

} // namespace

host_relay::host_relay(host_relay_options options, host_relay_hooks hooks,
                       time_point now)
    : options_(options), hooks_(std::move(hooks)),
      idle_timeout_(options.initial_idle_timeout), gate_(options.opening, now),
      flows_complete_since_(now), last_sweep_at_(now) {}

void host_relay::on_entry(machine_address from, const segment& packet,
                          time_point now) {
    if (!is_for_own_service(packet.mark)) {
        reject_packet(from, packet, return_reason::wrong_service);
        return;
    }
    if (state_ == host_state::dead ||
        (state_ == host_state::listener_closed && packet.is_opening())) {
        reject_packet(from, packet, return_reason::host_dead);
        return;
    }
    if (packet.is_opening()) {
        on_opening(from, packet, now);
        return;
    }
    const auto known = flows_.find(packet.flow);
    if (known == flows_.end()) {
        on_unknown_flow(from, packet, now);
        return;
    }
    flow_state& flow = known->second;
    if (!flow.confirmed && packet.ack &&
        packet.acknowledged - flow.host_start > confirm_window) {
        // The client uses the connection to another host.
        reject_packet(from, packet, return_reason::unknown_flow);
        erase(packet.flow, now);
        return;
    }
    if (flow.confirmed && packet.ack &&
        !(are_near(packet.acknowledged, flow.acknowledged) &&
          are_near(packet.sequence, flow.client_data_end))) {
        // The client has used its port again, for a connection to another
        // host. The old flow is kept, because a single damaged packet must not
        // end it.
        reject_packet(from, packet, return_reason::unknown_flow);
        return;
    }
    if (packet.mark.kind == forwarding_mode::search)
        announce(packet.flow, flow, false, now, from);
    update_from_client(from, flow, packet, now);
    deliver(from, packet, now);
}

bool host_relay::is_for_own_service(const routing_mark& mark) const {
    return mark.service == make_service_tag(options_.service) &&
           (mark.check == service_check() ||
            mark.check == make_service_check(options_.service));
}

void host_relay::on_opening(machine_address from, const segment& packet,
                            time_point now) {
    if (!is_copy_of_admitted(packet)) {
        const opening_verdict verdict = gate_.admit(now);
        if (verdict != opening_verdict::deliver) {
            // Earlier builds reject messages with a reason unknown to them.
            return_packet(from, packet, return_reason::host_refused,
                          to_string(verdict));
            return;
        }
    }
    // The client has used its port again. A returned packet changes nothing,
    // since the host does not see it.
    const auto known = flows_.find(packet.flow);
    if (known != flows_.end() && known->second.client_start != packet.sequence)
        erase(packet.flow, now);
    // The host's answer is announced to the entries of the data centre that
    // `from` belongs to.
    if (pending_deliveries_.size() < options_.max_pending_deliveries)
        pending_deliveries_[packet.flow] = {.entry = from,
                                            .due =
                                                now + options_.confirm_timeout,
                                            .sequence = packet.sequence};
    deliver(from, packet, now);
}

// The host takes a flow once, however many copies of its opening packet arrive:
// those of a flow that it has accepted or still has to answer are not counted.
bool host_relay::is_copy_of_admitted(const segment& opening) const {
    const auto known = flows_.find(opening.flow);
    if (known != flows_.end())
        return known->second.client_start == opening.sequence;
    const auto pending = pending_deliveries_.find(opening.flow);
    return pending != pending_deliveries_.end() &&
           pending->second.sequence == opening.sequence;
}

void host_relay::on_unknown_flow(machine_address from, const segment& packet,
                                 time_point now) {
    if (knows_all_flows(now)) {
        reject_packet(from, packet, return_reason::unknown_flow);
        return;
    }
    // The flow may have opened before this process started. Only a packet
    // delivered to the host shows whether it owns the flow.
    const bool searched = packet.mark.kind == forwarding_mode::search;
    if (pending_deliveries_.size() < options_.max_pending_deliveries)
        pending_deliveries_[packet.flow] = {
            .entry = from,
            .due = now + options_.pending_delivery_timeout,
            .sequence = packet.sequence,
            .searched = searched};
    deliver(from, packet, now);
}

void host_relay::update_from_client(machine_address from, flow_state& flow,
                                    const segment& packet, time_point now) {
    flow.used_at = now;
    flow.confirmed = true;
    if (packet.ack)
        flow.acknowledged = packet.acknowledged;
    if (const auto via = data_centre_of(from); via != data_centre_id())
        flow.via = via;
    if (packet.payload_bytes > 0)
        measure_client_data(flow, packet, now);
    if (packet.fin)
        flow.client_closed = true;
    if (packet.rst)
        erase(packet.flow, now);
}

void host_relay::on_host(const segment& packet, time_point now) {
    silence_.end();
    if (state_ == host_state::dead)
        set_state(host_state::listener_closed, now);
    if (packet.returned) {
        on_returned(packet, now);
        return;
    }
    if (packet.rst) {
        erase(packet.flow, now);
    } else if (packet.syn) {
        const auto pending = pending_deliveries_.find(packet.flow);
        flow_state& flow = flows_[packet.flow];
        const bool is_copy = flow.host_start == packet.sequence;
        flow.host_start = packet.sequence;
        // The host acknowledges the client's first sequence number + 1.
        flow.client_start = packet.acknowledged - 1;
        flow.used_at = now;
        machine_address entry;
        if (pending != pending_deliveries_.end()) {
            entry = pending->second.entry;
            flow.client_start = pending->second.sequence;
            if (const auto via = data_centre_of(entry); via != data_centre_id())
                flow.via = via;
            pending_deliveries_.erase(pending);
        }
        if (!is_copy) {
            flow.client_data_end = flow.client_start + 1;
            flow.host_data_end = flow.host_start + 1;
        }
        hooks_.report(
            {.name = "flow_opened", .flow = packet.flow, .machine = entry});
        announce(packet.flow, flow, !is_copy, now, entry);
    } else {
        flow_state& flow = find_or_add_flow(packet, now);
        flow.used_at = now;
        flow.established_by_host = true;
        measure_host_data(flow, packet, now);
        // The FIN may overtake the answer, so it does not end the request yet.
        if (packet.fin && !std::exchange(flow.host_closed, true))
            flow.host_closed_at = now;
    }
    hooks_.to_client(packet.flow, packet.datagram);
}

// Returns the flow of a packet that the host sent, and adds it to the table if
// it is missing there.
host_relay::flow_state& host_relay::find_or_add_flow(const segment& packet,
                                                     time_point now) {
    const auto known = flows_.find(packet.flow);
    if (known != flows_.end())
        return known->second;
    flow_state& flow = flows_[packet.flow];
    flow = {.client_start = packet.acknowledged,
            .host_start = packet.sequence,
            .acknowledged = packet.sequence,
            .used_at = now,
            .confirmed = true,
            .client_data_end = packet.acknowledged,
            .host_data_end = packet.sequence};
    machine_address entry;
    if (const auto pending = pending_deliveries_.find(packet.flow);
        pending != pending_deliveries_.end()) {
        entry = pending->second.entry;
        flow.via = data_centre_of(entry);
        pending_deliveries_.erase(pending);
    }
    hooks_.report({.name = "flow_learned",
                   .reason = "host_sent",
                   .flow = packet.flow,
                   .machine = entry});
    announce(packet.flow, flow, false, now, entry);
    return flow;
}

// Handles a packet that the host returned because it does not own the flow or
// does not accept a new one.
void host_relay::on_returned(const segment& packet, time_point now) {
    const machine_address entry(packet.forwarding_entry);
    const auto pending = pending_deliveries_.find(packet.flow);
    if (packet.is_opening()) {
        if (pending != pending_deliveries_.end())
            pending_deliveries_.erase(pending);
        return_packet(entry, packet, return_reason::host_refused,
                      to_string(return_reason::host_refused));
        return;
    }
    if (pending != pending_deliveries_.end()) {
        segment rejected = packet;
        rejected.mark.kind = pending->second.searched
                                 ? forwarding_mode::search
                                 : forwarding_mode::forward;
        pending_deliveries_.erase(pending);
        reject_packet(entry, rejected, return_reason::unknown_flow);
        return;
    }
    const auto known = flows_.find(packet.flow);
    if (known == flows_.end()) {
        hooks_.report({.name = "dropped",
                       .reason = "returned_twice",
                       .flow = packet.flow});
        return;
    }
    const bool was_established = known->second.established_by_host;
    erase(packet.flow, now);
    if (!was_established) {
        return_packet(entry, packet, return_reason::unknown_flow,
                      to_string(return_reason::unknown_flow));
        return;
    }
    // The host owned this flow and has lost its state, so it has restarted.
    hooks_.report({.severity = event::level::info,
                   .name = "flow_reset",
                   .reason = "host_forgot_it",
                   .flow = packet.flow});
    hooks_.reset(packet.flow, packet.acknowledged);
}

void host_relay::reject_packet(machine_address to, const segment& packet,
                               return_reason reason) {
    if (packet.mark.kind == forwarding_mode::search)
        hooks_.send(to, flow_denial{.not_owned = {packet.flow}});
    else
        return_packet(to, packet, reason, to_string(reason));
}

void host_relay::return_packet(machine_address to, const segment& packet,
                               return_reason reason,
                               const char* logged_reason) {
    hooks_.report({.name = "packet_returned",
                   .reason = logged_reason,
                   .flow = packet.flow,
                   .machine = to});
    hooks_.send(
        to, packet_returned{reason,
                            {packet.datagram.begin(), packet.datagram.end()}});
}

void host_relay::on_host_accepted(time_point now) {
    // This process has missed no flow of a host that has just started.
    if (state_ != host_state::alive) {
        claim_all_flows("host_listens_again", machine_address(), 0, now);
        gate_.on_host_started(now);
    }
    set_state(host_state::alive, now);
}

void host_relay::on_host_refused(time_point now) {
    if (state_ != host_state::alive)
        return;
    if (has_no_flows(now))
        end_all_flows(now);
    else
        set_state(host_state::listener_closed, now);
}

// A draining host closes its listener and serves its flows, which a process
// that has just started does not know. It may have begun to drain before any
// entry knows.
bool host_relay::has_no_flows(time_point now) const {
    return flows_.empty() && knows_all_flows(now);
}

// The host has ended. Resets let clients open new flows at once.
void host_relay::end_all_flows(time_point now) {
    event ended{.severity = event::level::warning,
                .name = "host_ended",
                .value = flows_.size()};
    if (const auto& packet = silence_.first()) {
        ended.reason = "packet_unanswered";
        ended.flow = packet->flow;
        ended.inputs = {
            {{"silent_ms", silence_.length() / std::chrono::milliseconds(1)},
             {"payload", packet->payload_bytes},
             {"fin", packet->fin ? 1 : 0},
             {"registration", static_cast<std::int64_t>(registration_)}}};
    }
    hooks_.report(ended);
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
    pending_deliveries_.clear();
    work_.clear();
    update_load(now);
    set_state(host_state::dead, now);
}

void host_relay::set_state(host_state new_state, time_point now) {
    if (state_ == new_state)
        return;
    state_ = new_state;
    silence_.end();
    hooks_.report({.severity = event::level::info,
                   .name = new_state == host_state::alive ? "host_back"
                           : new_state == host_state::listener_closed
                               ? "host_leaving"
                               : "host_dead"});
    send_report_to_all(now);
}

// Packets that are delivered while no process runs are lost, so the fewer
// requests have just started the better.
void host_relay::begin_stop(time_point now) {
    is_stopping_ = true;
    send_report_to_all(now);
}

void host_relay::deliver(machine_address via, const segment& packet,
                         time_point now) {
    if (state_ == host_state::listener_closed)
        silence_.on_delivered(packet, now);
    hooks_.deliver(via, packet.datagram);
}

} // namespace arbutusport::relay
