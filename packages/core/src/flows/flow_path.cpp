// The path of packets through a host, and its tables of flows.

#include "flow_owner_impl.hpp"

#include <algorithm>

namespace arbutusport::flows {

namespace {

constexpr duration idle_scan_interval = std::chrono::seconds(10);
// A new host starts at this share of its weight.
constexpr double slow_start_floor = 0.1;
constexpr std::size_t max_bound_entries = 1024;
// A packet passed on this often may be in a loop of outdated redirects.
constexpr std::uint8_t distrust_redirects_at = wire::max_hops - 1;

} // namespace

flow_owner::impl::impl(flow_options options)
    : options_(std::move(options)),
      cover_(options_.self, options_.is_down, options_.enabled.use_bitmaps),
      flows_in_slot_(routing::slot_count), redirects_(options_.max_redirects),
      bound_entries_(max_bound_entries), random_(options_.seed) {}

flow_actions flow_owner::impl::set_snapshot(records::snapshot_ptr snapshot,
                                            time_point now) {
    if (!snapshot || (snapshot_ && snapshot->gen <= snapshot_->gen))
        return {};
    snapshot_ = std::move(snapshot);
    service_ = snapshot_->find_service(options_.service);
    entry_ids_.clear();
    for (const auto& it : snapshot_->entries)
        entry_ids_.try_emplace(it.packets, it.id);
    if (!started_)
        started_ = now;
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
    cover_.set_service(*service_, snapshot_->gen, now);
    return on_tick(now);
}

flow_actions flow_owner::impl::on_packet(wire::packet message, time_point now) {
    if (const auto reason = refusal(message)) {
        drop(*reason, message.sender);
        return take();
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
    return take();
}

std::optional<drop_reason>
flow_owner::impl::refusal(const wire::packet& message) const {
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
        // Bound to a session here by pass_to() of the sender.
        bound_entries_.put(message.flow, message.reply_entry);
        out_.emplace_back(deliver{message.flow, std::move(message.body)});
        return;
    }
    if (claims_.contains(message.flow))
        return hold(std::move(message), now);
    if (follow_redirect(message))
        return;
    refresh_candidates(message);
    const auto ranked = live(message.candidates);
    if (ranked.empty() || ranked.front().id == options_.self)
        return hold(std::move(message), now);
    const wire::candidate home = ranked.front();
    forward(std::move(message), home);
}

// Puts this host's candidates into the packet if they are newer.
void flow_owner::impl::refresh_candidates(wire::packet& message) const {
    if (message.gen > snapshot_->gen && !message.candidates.empty())
        return;
    message.gen = snapshot_->gen;
    message.candidates = cover_.ranked(routing::slot_of(message.flow));
}

wire::candidate_list
flow_owner::impl::live(const wire::candidate_list& all) const {
    wire::candidate_list out;
    for (const auto& it : all)
        if (!is_down(it.id))
            out.push_back(it);
    return out.empty() ? all : out;
}

// Drops a redirect that leads nowhere: to a host that is down, back to the
// host that passed the packet on, or round in a loop.
bool flow_owner::impl::follow_redirect(wire::packet& message) {
    const redirect* found = redirects_.find(message.flow);
    if (found == nullptr)
        return false;
    const bool returned = message.type == wire::message_type::relay &&
                          found->to.id == message.sender;
    if (returned || is_down(found->to.id) ||
        message.hops >= distrust_redirects_at) {
        redirects_.erase(message.flow);
        return false;
    }
    const wire::candidate to = found->to;
    refresh_candidates(message);
    forward(std::move(message), to);
    return true;
}

void flow_owner::impl::deliver_owned(flow_state& state, wire::packet message,
                                     time_point now) {
    state.reply_entry = message.reply_entry;
    state.last_packet = now;
    out_.emplace_back(deliver{message.flow, std::move(message.body)});
}

void flow_owner::impl::forward(wire::packet message,
                               const wire::candidate& to) {
    if (message.hops >= wire::max_hops)
        return drop(drop_reason::too_many_hops, message.sender);
    ++message.hops;
    message.type = wire::message_type::relay;
    message.sender = options_.self;
    message.target = to.id;
    out_.emplace_back(send_packet{to.packets, std::move(message)});
}

void flow_owner::impl::open(const flow_key& flow, const endpoint& entry,
                            time_point now) {
    if (!flows_.insert_or_assign(flow, flow_state{entry, now}).second)
        return;
    ++flows_in_slot_[routing::slot_of(flow).value()];
    redirects_.erase(flow);
}

void flow_owner::impl::close(const flow_key& flow) {
    if (flows_.erase(flow) > 0)
        --flows_in_slot_[routing::slot_of(flow).value()];
}

void flow_owner::impl::close_idle(time_point now) {
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
    close(flow);
    closed_.push_back(flow);
}

void flow_owner::impl::drop(drop_reason reason, process_id peer) {
    out_.emplace_back(drop_packet{reason, peer});
}

void flow_owner::impl::send(wire::message_type type, const flow_key& flow,
                            const wire::candidate& to, bytes body) {
    wire::packet it;
    it.type = type;
    it.gen = snapshot_->gen;
    it.service = options_.service;
    it.sender = options_.self;
    it.target = to.id;
    it.flow = flow;
    it.candidates.push_back(self_);
    it.body = std::move(body);
    out_.emplace_back(send_packet{to.packets, std::move(it)});
}

void flow_owner::impl::send_holders(const wire::candidate& to, bool is_reply,
                                    generation taken) {
    wire::holders_body body;
    body.is_reply = is_reply;
    body.gen = cover_.announced_gen();
    body.hosts_digest = cover_.hosts_digest();
    body.taken = taken;
    for (std::size_t i = 0; i < flows_in_slot_.size(); ++i)
        body.slots[i] = flows_in_slot_[i] > 0;
    send(wire::message_type::holders, {}, to, wire::encode(body));
    // Mentions hosts that left the configuration, behind the own address.
    auto& candidates = std::get<send_packet>(out_.back()).message.candidates;
    for (const auto& it : cover_.unconfigured(wire::max_candidates - 1))
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
            cover_.on_mentioned(it);
    if (cover_.on_holders(from, *body) && !body->is_reply &&
        cover_.hosts_digest() != 0)
        send_holders(from, true, body->gen);
}

bool flow_owner::impl::is_down(process_id id) const {
    return options_.is_down && options_.is_down(id);
}

flow_actions flow_owner::impl::on_tick(time_point now) {
    if (!snapshot_)
        return {};
    if (self_.packets.port != 0)
        for (const auto& peer : cover_.due(now))
            send_holders(peer, false, {});
    std::vector<flow_key> due;
    for (const auto& [flow, it] : claims_)
        if (now >= it.deadline)
            due.push_back(flow);
    for (const auto& flow : due)
        on_claim_timeout(claims_.find(flow), now);
    close_idle(now);
    return take();
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
        return options_.entry_is_down && options_.entry_is_down(it);
    };
    if (avoid_last || down(entry)) {
        std::vector<endpoint> others;
        for (const auto& it : snapshot_->entries)
            if (it.packets != entry && !down(it.packets))
                others.push_back(it.packets);
        if (!others.empty())
            entry = others[random_() % others.size()];
        // Kept, since the last entry may be dead and not yet known to be.
        if (owned != flows_.end())
            owned->second.reply_entry = entry;
    }
    wire::candidate to{process_id(), entry};
    // An entry that this configuration does not have is known by address
    // only; it accepts an empty target.
    if (const auto it = entry_ids_.find(entry); it != entry_ids_.end())
        to.id = it->second;
    send(wire::message_type::answer, flow, to,
         {datagram.begin(), datagram.end()});
    return take();
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
    close(from);
    open(to, entry, now);
    // No claim told the peers that this host holds the new slot.
    const slot_index slot = routing::slot_of(to);
    if (!cover_.is_ranked(slot) || flows_in_slot_[slot.value()] == 1)
        cover_.announce(snapshot_->gen, now);
    return true;
}

flow_actions flow_owner::impl::pass_to(process_id host, const flow_key& flow,
                                       byte_view datagram, bool keep_flow,
                                       time_point) {
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
    return take();
}

flow_actions flow_owner::impl::on_resumed(time_point now) {
    if (!snapshot_)
        return {};
    claims_.clear();
    held_packets_ = 0;
    redirects_.clear();
    cover_.forget_bitmaps();
    cover_.announce(snapshot_->gen, now);
    return on_tick(now);
}

std::size_t flow_owner::impl::memory() const {
    using slot = std::pair<const flow_key, flow_state>;
    return flows_.bucket_count() * (sizeof(slot) + 1) + redirects_.memory() +
           flows_in_slot_.size() * sizeof(flows_in_slot_[0]);
}

host_load flow_owner::impl::load(time_point now) const {
    host_load it;
    it.flows = static_cast<std::uint32_t>(flows_.size());
    it.weight = weight_;
    const std::size_t limit =
        service_ ? std::min<std::size_t>(options_.max_flows,
                                         service_->limits.connections)
                 : options_.max_flows;
    it.eligible = is_accepting_ && !is_draining_ && is_published_active_ &&
                  flows_.size() < limit;
    const double full =
        service_ ? static_cast<double>(service_->slow_start.count()) : 0;
    if (started_ && full > 0) {
        const auto age = static_cast<double>((now - *started_).count());
        it.weight *=
            std::clamp(slow_start_floor + (1 - slow_start_floor) * age / full,
                       slow_start_floor, 1.0);
    }
    return it;
}

std::vector<flow_key> flow_owner::impl::owned() const {
    std::vector<flow_key> out;
    out.reserve(flows_.size());
    for (const auto& [flow, state] : flows_)
        out.push_back(flow);
    return out;
}

} // namespace arbutusport::flows
