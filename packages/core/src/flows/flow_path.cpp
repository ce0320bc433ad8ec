// Handles packets at a host and maintains its tables of flows.

#include "flow_owner_impl.hpp"

#include <algorithm>

namespace arbutusport::flows {

namespace {

constexpr duration idle_scan_interval = std::chrono::seconds(10);
// Share of its weight at which a new host starts.
constexpr double slow_start_floor = 0.1;
constexpr std::size_t max_bound_entries = 1024;
// A packet with this many hops may be in a loop of outdated redirects.
constexpr std::uint8_t redirect_hop_limit = wire::max_hops - 1;

} // namespace

flow_owner::impl::impl(flow_options options)
    : options_(std::move(options)),
      peer_slots_(options_.self, options_.is_down, options_.checks.use_bitmaps),
      flows_in_slot_(routing::slot_count), redirects_(options_.max_redirects),
      bound_entries_(max_bound_entries), random_(options_.seed) {}

flow_actions flow_owner::impl::set_snapshot(records::snapshot_ptr snapshot,
                                            time_point now) {
    if (!snapshot || (snapshot_ && snapshot->gen <= snapshot_->gen))
        return {};
    snapshot_ = std::move(snapshot);
    service_ = snapshot_->find_service(options_.service);
    entry_id_by_address_.clear();
    for (const auto& it : snapshot_->entries)
        entry_id_by_address_.try_emplace(it.packets, it.id);
    if (!first_snapshot_at_)
        first_snapshot_at_ = now;
    is_published_active_ = false;
    if (service_ == nullptr)
        return {};
    const auto self =
        std::ranges::find(service_->hosts, options_.self, &records::host::id);
    if (self != service_->hosts.end()) {
        self_ = {self->id, self->packets};
        weight_ = self->weight;
        is_published_active_ = self->state == records::host_state::active;
    }
    peer_slots_.set_service(*service_, snapshot_->gen, now);
    return on_tick(now);
}

flow_actions flow_owner::impl::on_packet(wire::packet message, time_point now) {
    if (const auto reason = find_drop_reason(message)) {
        drop(*reason, message.sender);
        return take_actions();
    }
    switch (message.type) {
    case wire::message_type::forward:
    case wire::message_type::relay:
        on_data(std::move(message), now);
        break;
    case wire::message_type::query:
        on_query(message, now);
        break;
    case wire::message_type::query_reply:
        on_query_reply(message, now);
        break;
    case wire::message_type::place:
        on_place(message, now);
        break;
    case wire::message_type::holders:
        on_holders(message);
        break;
    default:
        drop(drop_reason::unexpected_type, message.sender);
    }
    return take_actions();
}

std::optional<drop_reason>
flow_owner::impl::find_drop_reason(const wire::packet& message) const {
    if (!snapshot_)
        return drop_reason::no_configuration;
    if (message.service != options_.service)
        return drop_reason::wrong_service;
    if (message.target != options_.self)
        return drop_reason::wrong_target;
    if (message.hops > wire::max_hops)
        return drop_reason::too_many_hops;
    const bool is_data = message.type == wire::message_type::forward ||
                         message.type == wire::message_type::relay;
    // The address may have moved to another service since the sender's
    // generation.
    if (is_data && message.gen <= snapshot_->gen) {
        const auto* owner = snapshot_->find_service(message.flow.service);
        if (owner != nullptr && owner->id != options_.service)
            return drop_reason::wrong_service;
    }
    return std::nullopt;
}

void flow_owner::impl::on_data(wire::packet message, time_point now) {
    const auto found = flows_.find(message.flow);
    if (found != flows_.end())
        return deliver_owned(found->second, std::move(message), now);
    if (message.type == wire::message_type::relay &&
        message.candidates.empty()) {
        // The sender's forward_to_host() found that the session is at this
        // host.
        bound_entries_.put(message.flow, message.reply_entry);
        actions_.emplace_back(deliver{message.flow, std::move(message.body)});
        return;
    }
    if (claims_.contains(message.flow))
        return hold_packet(std::move(message), now);
    if (follow_redirect(message))
        return;
    update_candidates(message);
    const auto ranked = live_candidates(message.candidates);
    if (ranked.empty() || ranked.front().id == options_.self)
        return hold_packet(std::move(message), now);
    const wire::candidate home = ranked.front();
    forward(std::move(message), home);
}

// Replaces the packet's candidates by this host's unless the packet's are of
// a newer generation.
void flow_owner::impl::update_candidates(wire::packet& message) const {
    if (message.gen > snapshot_->gen && !message.candidates.empty())
        return;
    message.gen = snapshot_->gen;
    message.candidates = peer_slots_.ranked(routing::slot_of(message.flow));
}

wire::candidate_list
flow_owner::impl::live_candidates(const wire::candidate_list& all) const {
    wire::candidate_list out;
    for (const auto& it : all)
        if (!is_down(it.id))
            out.push_back(it);
    return out.empty() ? all : out;
}

// Forwards the packet by its redirect. Drops a redirect that cannot work: to a
// host that is down, to the host that forwarded the packet, or in a loop.
bool flow_owner::impl::follow_redirect(wire::packet& message) {
    const redirect* found = redirects_.find(message.flow);
    if (found == nullptr)
        return false;
    const bool returned = message.type == wire::message_type::relay &&
                          found->target.id == message.sender;
    if (returned || is_down(found->target.id) ||
        message.hops >= redirect_hop_limit) {
        redirects_.erase(message.flow);
        return false;
    }
    const wire::candidate to = found->target;
    update_candidates(message);
    forward(std::move(message), to);
    return true;
}

void flow_owner::impl::deliver_owned(flow_state& state, wire::packet message,
                                     time_point now) {
    state.reply_entry = message.reply_entry;
    state.last_packet = now;
    actions_.emplace_back(deliver{message.flow, std::move(message.body)});
}

void flow_owner::impl::forward(wire::packet message,
                               const wire::candidate& to) {
    if (message.hops >= wire::max_hops)
        return drop(drop_reason::too_many_hops, message.sender);
    ++message.hops;
    message.type = wire::message_type::relay;
    message.sender = options_.self;
    message.target = to.id;
    actions_.emplace_back(send_packet{to.packets, std::move(message)});
}

void flow_owner::impl::open_flow(const flow_key& flow, const endpoint& entry,
                                 time_point now) {
    if (!flows_.insert_or_assign(flow, flow_state{entry, now}).second)
        return;
    ++flows_in_slot_[routing::slot_of(flow).value()];
    redirects_.erase(flow);
}

void flow_owner::impl::close_flow(const flow_key& flow) {
    if (flows_.erase(flow) > 0)
        --flows_in_slot_[routing::slot_of(flow).value()];
}

void flow_owner::impl::close_idle_flows(time_point now) {
    if (now < next_idle_scan_)
        return;
    next_idle_scan_ = now + idle_scan_interval;
    std::vector<flow_key> idle;
    for (const auto& [flow, state] : flows_)
        if (now - state.last_packet >= options_.idle_timeout)
            idle.push_back(flow);
    for (const auto& flow : idle)
        release(flow);
}

void flow_owner::impl::release(const flow_key& flow) {
    if (!flows_.contains(flow))
        return;
    close_flow(flow);
    closed_flows_.push_back(flow);
}

void flow_owner::impl::drop(drop_reason reason, process_id peer) {
    actions_.emplace_back(drop_packet{reason, peer});
}

void flow_owner::impl::send(wire::message_type type, const flow_key& flow,
                            const wire::candidate& to, bytes body) {
    wire::packet message;
    message.type = type;
    message.gen = snapshot_->gen;
    message.service = options_.service;
    message.sender = options_.self;
    message.target = to.id;
    message.flow = flow;
    message.candidates.push_back(self_);
    message.body = std::move(body);
    actions_.emplace_back(send_packet{to.packets, std::move(message)});
}

void flow_owner::impl::send_holders(const wire::candidate& to, bool is_reply,
                                    generation acknowledged_gen) {
    wire::holders_body body;
    body.is_reply = is_reply;
    body.gen = peer_slots_.announced_gen();
    body.hosts_digest = peer_slots_.hosts_digest();
    body.acknowledged_gen = acknowledged_gen;
    for (std::size_t i = 0; i < flows_in_slot_.size(); ++i)
        body.slots[i] = flows_in_slot_[i] > 0;
    send(wire::message_type::holders, {}, to, wire::encode(body));
    // Appends hosts that left the configuration after this host's address, so
    // that the receiver knows of them.
    auto& candidates =
        std::get<send_packet>(actions_.back()).message.candidates;
    for (const auto& it :
         peer_slots_.unconfigured_peers(wire::max_candidates - 1))
        candidates.push_back(it);
}

void flow_owner::impl::on_holders(const wire::packet& message) {
    const auto body = handle_failure(
        [&]() -> result<std::optional<wire::holders_body>> {
            BOOST_LEAF_AUTO(it, wire::decode_holders(message.body));
            return std::optional(it);
        },
        [](const failure&) { return std::optional<wire::holders_body>(); });
    if (!body || message.candidates.empty() ||
        message.candidates.front().id != message.sender)
        return drop(drop_reason::malformed_body, message.sender);
    const wire::candidate from = message.candidates.front();
    for (const auto& it : message.candidates)
        if (it.id != from.id)
            peer_slots_.add_mentioned_peer(it);
    if (peer_slots_.on_holders(from, *body) && !body->is_reply &&
        peer_slots_.hosts_digest() != 0)
        send_holders(from, true, body->gen);
}

bool flow_owner::impl::is_down(process_id id) const {
    return options_.is_down && options_.is_down(id);
}

flow_actions flow_owner::impl::on_tick(time_point now) {
    if (!snapshot_)
        return {};
    if (self_.packets.port != 0)
        for (const auto& peer : peer_slots_.take_due_announcements(now))
            send_holders(peer, false, {});
    std::vector<flow_key> due;
    for (const auto& [flow, pending] : claims_)
        if (now >= pending.deadline)
            due.push_back(flow);
    for (const auto& flow : due)
        on_claim_timeout(claims_.find(flow), now);
    close_idle_flows(now);
    return take_actions();
}

flow_actions flow_owner::impl::answer(const flow_key& flow, byte_view datagram,
                                      bool avoid_last, time_point) {
    if (!snapshot_)
        return {};
    endpoint entry;
    const auto owned = flows_.find(flow);
    if (owned != flows_.end())
        entry = owned->second.reply_entry;
    else if (const auto* bound = bound_entries_.find(flow))
        entry = *bound;
    else
        return {};
    const auto down = [&](const endpoint& it) {
        return options_.is_entry_down && options_.is_entry_down(it);
    };
    if (avoid_last || down(entry)) {
        std::vector<endpoint> others;
        for (const auto& it : snapshot_->entries)
            if (it.packets != entry && !down(it.packets))
                others.push_back(it.packets);
        if (!others.empty())
            entry = others[random_() % others.size()];
        // Stored, since the last entry may be dead before it is reported down.
        if (owned != flows_.end())
            owned->second.reply_entry = entry;
    }
    wire::candidate to{process_id(), entry};
    // Only the address is known of an entry that this configuration does not
    // have. Entries accept an empty target.
    if (const auto it = entry_id_by_address_.find(entry);
        it != entry_id_by_address_.end())
        to.id = it->second;
    send(wire::message_type::answer, flow, to,
         {datagram.begin(), datagram.end()});
    return take_actions();
}

bool flow_owner::impl::migrate(const flow_key& from, const flow_key& to,
                               time_point now) {
    const auto found = flows_.find(from);
    if (found == flows_.end())
        return false;
    endpoint entry = found->second.reply_entry;
    if (const auto* bound = bound_entries_.find(to))
        entry = *bound;
    bound_entries_.erase(to);
    close_flow(from);
    open_flow(to, entry, now);
    // No claim informed the peers that this host may own flows of the slot.
    const slot_index slot = routing::slot_of(to);
    if (!peer_slots_.is_ranked(slot) || flows_in_slot_[slot.value()] == 1)
        peer_slots_.announce(snapshot_->gen, now);
    return true;
}

flow_actions flow_owner::impl::forward_to_host(process_id host,
                                               const flow_key& flow,
                                               byte_view datagram,
                                               bool keep_flow, time_point) {
    if (service_ == nullptr)
        return {};
    const auto found =
        std::ranges::find(service_->hosts, host, &records::host::id);
    if (found == service_->hosts.end() || host == options_.self)
        return {};
    const wire::candidate to{host, found->packets};
    wire::packet message;
    message.gen = snapshot_->gen;
    message.service = options_.service;
    message.flow = flow;
    if (const auto it = flows_.find(flow); it != flows_.end())
        message.reply_entry = it->second.reply_entry;
    message.body.assign(datagram.begin(), datagram.end());
    if (!keep_flow) {
        release(flow);
        redirects_.put(flow, {to});
    }
    forward(std::move(message), to);
    return take_actions();
}

flow_actions flow_owner::impl::on_resumed(time_point now) {
    if (!snapshot_)
        return {};
    claims_.clear();
    held_packets_ = 0;
    redirects_.clear();
    peer_slots_.clear_bitmaps();
    peer_slots_.announce(snapshot_->gen, now);
    return on_tick(now);
}

std::size_t flow_owner::impl::memory_bytes() const {
    using slot = std::pair<const flow_key, flow_state>;
    return flows_.bucket_count() * (sizeof(slot) + 1) +
           redirects_.memory_bytes() +
           flows_in_slot_.size() * sizeof(flows_in_slot_[0]);
}

host_load flow_owner::impl::load(time_point now) const {
    host_load own_load;
    own_load.flows = static_cast<std::uint32_t>(flows_.size());
    own_load.weight = weight_;
    const std::size_t limit =
        service_ ? std::min<std::size_t>(options_.max_flows,
                                         service_->limits.connections)
                 : options_.max_flows;
    own_load.eligible = is_accepting_ && !is_draining_ &&
                        is_published_active_ && flows_.size() < limit;
    const double ramp =
        service_ ? static_cast<double>(service_->slow_start.count()) : 0;
    if (first_snapshot_at_ && ramp > 0) {
        const auto age =
            static_cast<double>((now - *first_snapshot_at_).count());
        own_load.weight *=
            std::clamp(slow_start_floor + (1 - slow_start_floor) * age / ramp,
                       slow_start_floor, 1.0);
    }
    return own_load;
}

std::vector<flow_key> flow_owner::impl::owned() const {
    std::vector<flow_key> out;
    out.reserve(flows_.size());
    for (const auto& [flow, state] : flows_)
        out.push_back(flow);
    return out;
}

} // namespace arbutusport::flows
