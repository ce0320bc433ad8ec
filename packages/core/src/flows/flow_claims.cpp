// Claims: queries a flow's owner, and places new flows.

#include "flow_owner_impl.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace arbutusport::flows {

namespace {

constexpr std::size_t placement_choices = 2;
// Added to the lifetime of permits. In units of query_timeout: a claim
// queries and places for up to 2 * (query_retries + 1) of them.
constexpr int permit_margin_timeouts = 2;
// In units of query_timeout: the longest interval between queries to an
// unresponsive peer that may own the flow.
constexpr int max_query_interval_timeouts = 16;
// Time after which a peer that left the configuration is assumed dead. The
// membership drops such peers, so that it may never report them as down.
// Longer than the detection of a dead host.
constexpr duration unconfigured_peer_wait = std::chrono::seconds(6);

template <class Body>
std::optional<Body> try_decode(result<Body> (*decode)(byte_view),
                               byte_view data) {
    return handle_failure(
        [&]() -> result<std::optional<Body>> {
            BOOST_LEAF_AUTO(body, decode(data));
            return std::optional<Body>(body);
        },
        [](const failure&) { return std::optional<Body>(); });
}

} // namespace

// Holds the packet until the flow's owner is known.
void flow_owner::impl::hold_packet(wire::packet message, time_point now) {
    const auto position = claims_.find(message.flow);
    if (held_packets_ >= options_.max_held_packets ||
        (position != claims_.end() &&
         position->second.held_packets.size() >= options_.max_held_per_flow))
        return drop(drop_reason::held_full, message.sender);
    ++held_packets_;
    if (position != claims_.end()) {
        position->second.held_packets.push_back(std::move(message));
        return;
    }
    start_claim(message, now);
    const auto started = claims_.find(message.flow);
    started->second.held_packets.push_back(std::move(message));
    place_if_all_answered(started, now);
}

// Adds the possible owners and the ranked hosts to the queried peers. Returns
// the number of new peers.
std::size_t flow_owner::impl::add_possible_owners(const flow_key& flow,
                                                  claim& pending) const {
    if (!options_.checks.query_owners)
        return 0;
    auto peers = peer_slots_.possible_owners(routing::slot_of(flow));
    for (const auto& ranked : pending.ranked)
        if (ranked.id != options_.self && !is_down(ranked.id))
            peers.push_back(ranked);
    const std::size_t known_peers = pending.queried_peers.size();
    for (const auto& peer : peers)
        if (std::ranges::none_of(pending.queried_peers, [&](const auto& entry) {
                return entry.address.id == peer.id;
            }))
            pending.queried_peers.push_back({peer, std::nullopt, false});
    return pending.queried_peers.size() - known_peers;
}

void flow_owner::impl::start_claim(const wire::packet& first, time_point now) {
    const slot_index slot = routing::slot_of(first.flow);
    claim pending;
    pending.id = ++last_claim_id_;
    pending.started = now;
    pending.round_started = now;
    pending.score = routing::score(slot, options_.self, weight_);
    pending.ranked = live_candidates(first.candidates);
    add_possible_owners(first.flow, pending);
    send_queries(first.flow, pending, now);
    claims_.emplace(first.flow, std::move(pending));
}

void flow_owner::impl::send_queries(const flow_key& flow, claim& pending,
                                    time_point now) {
    const bytes body =
        wire::encode(wire::query_body{pending.id, pending.score});
    for (const auto& peer : pending.queried_peers)
        if (!peer.answer)
            send(wire::message_type::query, flow, peer.address, body);
    pending.deadline = now + options_.query_timeout;
}

void flow_owner::impl::on_query(const wire::packet& message, time_point now) {
    const auto body = try_decode(wire::decode_query, message.body);
    if (!body || message.candidates.empty() ||
        message.candidates.front().id != message.sender)
        return drop(drop_reason::malformed_body, message.sender);
    const wire::candidate claimant = message.candidates.front();
    const slot_index slot = routing::slot_of(message.flow);
    peer_slots_.on_claim(slot);
    auto reply = reply_body(slot, body->claim, now);
    if (flows_.contains(message.flow)) {
        reply.status = wire::ownership::owns;
        return send_reply(message, reply);
    }
    if (const auto own = claims_.find(message.flow); own != claims_.end()) {
        const auto own_rank = std::tuple(own->second.score, options_.self);
        if (own->second.placement_peer ||
            own_rank > std::tuple(body->score, message.sender)) {
            reply.status = wire::ownership::claims;
            return send_reply(message, reply);
        }
        finish_claim(own, claimant);
    }
    grant_permit(message, *body, reply, now);
    send_reply(message, reply);
}

// Redirects the flow to the claimant. The reply names the host to which the
// flow was redirected before and grants a permit to place the flow. Every
// retry of a query gets the same reply, since the first may be lost.
void flow_owner::impl::grant_permit(const wire::packet& message,
                                    const wire::query_body& body,
                                    wire::query_reply_body& reply,
                                    time_point now) {
    const wire::candidate claimant = message.candidates.front();
    redirect next{claimant, body.claim, 0, time_point(), {}};
    if (const redirect* known = redirects_.find(message.flow)) {
        const bool same = known->target.id == claimant.id;
        next.previous_target = same ? known->previous_target : known->target;
        if (same && known->claim == body.claim)
            next.permit = known->permit;
    }
    if (next.permit == 0)
        next.permit = ++last_permit_;
    next.permit_expires =
        now + options_.query_timeout *
                  (2 * (static_cast<int>(options_.query_retries) + 1) +
                   permit_margin_timeouts);
    if (next.previous_target.packets.port != 0 &&
        !is_down(next.previous_target.id)) {
        reply.status = wire::ownership::redirects;
        reply.owner = next.previous_target;
    }
    reply.permit = next.permit;
    redirects_.put(message.flow, next);
}

wire::query_reply_body flow_owner::impl::reply_body(slot_index slot,
                                                    std::uint64_t claim,
                                                    time_point now) const {
    const host_load own = load(now);
    wire::query_reply_body reply;
    reply.claim = claim;
    reply.flows = own.flows;
    reply.weight = own.weight;
    reply.eligible = own.eligible;
    reply.draining = is_draining_ || !is_published_active_;
    reply.can_open =
        peer_slots_.can_open(slot) && flows_.size() < options_.max_flows;
    return reply;
}

void flow_owner::impl::send_reply(const wire::packet& to,
                                  const wire::query_reply_body& reply) {
    send(wire::message_type::query_reply, to.flow, to.candidates.front(),
         wire::encode(reply));
}

void flow_owner::impl::on_query_reply(const wire::packet& message,
                                      time_point now) {
    const auto body = try_decode(wire::decode_query_reply, message.body);
    if (!body)
        return drop(drop_reason::malformed_body, message.sender);
    const auto position = claims_.find(message.flow);
    if (position == claims_.end() || position->second.id != body->claim)
        return;
    auto& queried = position->second.queried_peers;
    const auto peer = std::ranges::find_if(queried, [&](const auto& entry) {
        return entry.address.id == message.sender;
    });
    if (peer == queried.end())
        return;
    if (position->second.placement_peer) {
        if (&queried[*position->second.placement_peer] == &*peer)
            on_place_reply(position, *body, now);
        return;
    }
    switch (body->status) {
    case wire::ownership::owns:
    case wire::ownership::claims: {
        const wire::candidate owner = peer->address;
        return finish_claim(position, owner);
    }
    case wire::ownership::redirects:
        peer->answer = *body;
        if (query_reported_owner(position, body->owner))
            return;
        break;
    case wire::ownership::none:
        peer->answer = *body;
        break;
    case wire::ownership::refuses:
        return;
    }
    place_if_all_answered(position, now);
}

// Queries the host that a peer named as the owner. False if that host was
// queried before, is down or is this host.
bool flow_owner::impl::query_reported_owner(claim_iterator position,
                                            const wire::candidate& owner) {
    auto& queried = position->second.queried_peers;
    if (owner.id == options_.self || is_down(owner.id))
        return false;
    for (auto& peer : queried)
        if (peer.address.id == owner.id) {
            peer.is_reported_owner = true;
            return false;
        }
    queried.push_back({owner, std::nullopt, false, true});
    send(wire::message_type::query, position->first, owner,
         wire::encode(
             wire::query_body{position->second.id, position->second.score}));
    return true;
}

void flow_owner::impl::on_claim_timeout(claim_iterator position,
                                        time_point now) {
    claim& own = position->second;
    const bool retries = own.attempts++ < options_.query_retries;
    if (own.placement_peer) {
        if (!retries)
            // It is unknown whether the peer opened the flow. The client's next
            // packet starts a new claim, whose queries find the owner.
            return abandon_claim(position, drop_reason::stale_generation);
        const auto& peer = own.queried_peers[*own.placement_peer];
        send(wire::message_type::place, position->first, peer.address,
             wire::encode(wire::place_body{own.id, peer.answer->permit,
                                           own.ignores_eligibility}));
        own.deadline = now + options_.query_timeout;
        return;
    }
    if (retries)
        return send_queries(position->first, own, now);
    if (std::ranges::any_of(own.queried_peers, [&](const auto& peer) {
            return may_still_answer(position->first, own, peer, now);
        }))
        return wait_for_owner(position->first, own, now);
    // A peer that cannot own flows of this slot may own flows of others. It is
    // removed only if it did not answer for unconfigured_peer_wait.
    for (const auto& peer : own.queried_peers)
        if (!peer.answer && now - own.started >= unconfigured_peer_wait)
            peer_slots_.on_unresponsive(peer.address.id);
    place_flow(position, now);
}

// True if the peer did not answer and may own the flow. The peer may be
// suspended. A second owner would then break the flow, so the claim waits
// until the peer answers or the membership reports it as down.
bool flow_owner::impl::may_still_answer(const flow_key& flow,
                                        const claim& pending,
                                        const queried_peer& peer,
                                        time_point now) const {
    const process_id id = peer.address.id;
    if (peer.answer || is_down(id))
        return false;
    if (!peer_slots_.is_configured(id) &&
        now - pending.started >= unconfigured_peer_wait)
        return false;
    return peer.is_reported_owner ||
           peer_slots_.may_own_flows(routing::slot_of(flow), id);
}

// Checks the peers after each query_timeout, so that the wait ends soon after
// a peer is believed down, but repeats the queries at growing intervals.
void flow_owner::impl::wait_for_owner(const flow_key& flow, claim& pending,
                                      time_point now) {
    const duration limit = options_.query_timeout * max_query_interval_timeouts;
    if (pending.query_interval == duration(0) || now >= pending.next_query) {
        pending.query_interval = std::clamp(pending.query_interval * 2,
                                            options_.query_timeout, limit);
        pending.next_query = now + pending.query_interval;
        return send_queries(flow, pending, now);
    }
    pending.deadline = now + options_.query_timeout;
}

void flow_owner::impl::place_if_all_answered(claim_iterator position,
                                             time_point now) {
    const auto& queried = position->second.queried_peers;
    if (std::ranges::all_of(
            queried, [](const auto& peer) { return peer.answer.has_value(); }))
        place_flow(position, now);
}

// The ranked hosts at which the flow can be placed, in rank order.
std::vector<flow_owner::impl::placement>
flow_owner::impl::possible_placements(const claim& pending, slot_index slot,
                                      time_point now) const {
    std::vector<placement> out;
    for (const auto& ranked : pending.ranked) {
        if (ranked.id == options_.self) {
            const auto own = reply_body(slot, pending.id, now);
            if (own.can_open && !pending.self_rejected)
                out.push_back({std::nullopt, load(now), own.draining});
            continue;
        }
        const auto peer =
            std::ranges::find_if(pending.queried_peers, [&](const auto& entry) {
                return entry.address.id == ranked.id;
            });
        if (peer == pending.queried_peers.end() || !peer->answer ||
            !peer->answer->can_open || peer->has_rejected_placement)
            continue;
        const auto& answer = *peer->answer;
        out.push_back(
            {static_cast<std::size_t>(peer - pending.queried_peers.begin()),
             {answer.flows, answer.weight, answer.eligible},
             answer.draining});
    }
    return out;
}

// True if the answers are too old to place the flow: permits may have expired,
// or new peers became known, which were not queried and may own the flow.
// Adds these peers to the queried ones.
bool flow_owner::impl::is_outdated(const flow_key& flow, claim& pending,
                                   time_point now) const {
    if (add_possible_owners(flow, pending) > 0)
        return true;
    return now - pending.round_started >
           options_.query_timeout * (static_cast<int>(options_.query_retries) +
                                     permit_margin_timeouts);
}

void flow_owner::impl::restart_queries(const flow_key& flow, claim& pending,
                                       time_point now) {
    std::erase_if(pending.queried_peers,
                  [&](const auto& peer) { return is_down(peer.address.id); });
    for (auto& peer : pending.queried_peers)
        peer.answer.reset();
    pending.attempts = 0;
    pending.round_started = now;
    send_queries(flow, pending, now);
}

// Places the flow at the less loaded of the first two eligible hosts. If no
// host is eligible, chooses between the first two that are not draining. If all
// ranked hosts are draining, chooses between the first two.
void flow_owner::impl::place_flow(claim_iterator position, time_point now) {
    if (is_outdated(position->first, position->second, now)) {
        restart_queries(position->first, position->second, now);
        if (!position->second.queried_peers.empty())
            return;
    }
    auto hosts = possible_placements(position->second,
                                     routing::slot_of(position->first), now);
    std::vector<placement> eligible;
    std::ranges::copy_if(hosts, std::back_inserter(eligible),
                         [](const auto& host) { return host.load.eligible; });
    position->second.ignores_eligibility = eligible.empty();
    if (eligible.empty()) {
        std::ranges::copy_if(
            hosts, std::back_inserter(eligible),
            [](const auto& host) { return !host.is_draining; });
    }
    if (eligible.empty() && hosts.size() == position->second.ranked.size())
        eligible = std::move(hosts);
    if (eligible.empty())
        return abandon_claim(position, flows_.size() >= options_.max_flows
                                           ? drop_reason::table_full
                                           : drop_reason::stale_generation);
    std::size_t chosen = 0;
    if (eligible.size() >= placement_choices &&
        eligible[1].load.normalised() < eligible[0].load.normalised())
        chosen = 1;
    place_flow_at(position, eligible[chosen], now);
}

void flow_owner::impl::place_flow_at(claim_iterator position,
                                     const placement& chosen, time_point now) {
    claim& own = position->second;
    if (chosen.peer_index) {
        own.placement_peer = chosen.peer_index;
        own.attempts = 0;
        peer_slots_.on_claim(routing::slot_of(position->first));
        own.deadline = now + options_.query_timeout;
        const auto& peer = own.queried_peers[*chosen.peer_index];
        return send(wire::message_type::place, position->first, peer.address,
                    wire::encode(wire::place_body{own.id, peer.answer->permit,
                                                  own.ignores_eligibility}));
    }
    const flow_key flow = position->first;
    auto held = std::move(own.held_packets);
    claims_.erase(position);
    held_packets_ -= held.size();
    open_flow(flow, held.front().reply_entry, now);
    for (auto& message : held)
        deliver_owned(flows_.find(flow)->second, std::move(message), now);
}

void flow_owner::impl::on_place(const wire::packet& message, time_point now) {
    const auto body = try_decode(wire::decode_place, message.body);
    if (!body || message.candidates.empty() ||
        message.candidates.front().id != message.sender)
        return drop(drop_reason::malformed_body, message.sender);
    auto reply = reply_body(routing::slot_of(message.flow), body->claim, now);
    reply.status = wire::ownership::owns;
    if (!flows_.contains(message.flow)) {
        const redirect* known = redirects_.find(message.flow);
        const bool permitted =
            known != nullptr && known->target.id == message.sender &&
            known->claim == body->claim && known->permit == body->permit &&
            body->permit != 0 && now < known->permit_expires;
        const bool accepts = body->ignores_eligibility || reply.eligible;
        if (permitted && accepts && reply.can_open &&
            !claims_.contains(message.flow))
            open_flow(message.flow, {}, now);
        else
            reject_placement(message.flow, *body, reply);
    }
    send_reply(message, reply);
}

// The claimant will open the flow at another host, so the permit is revoked.
// Delayed copies of the query and the place must not make it valid again.
void flow_owner::impl::reject_placement(const flow_key& flow,
                                        const wire::place_body& body,
                                        wire::query_reply_body& reply) {
    reply.status = wire::ownership::refuses;
    redirect* known = redirects_.find(flow);
    if (known != nullptr && known->claim == body.claim &&
        known->permit == body.permit)
        known->permit = 0;
}

void flow_owner::impl::on_place_reply(claim_iterator position,
                                      const wire::query_reply_body& body,
                                      time_point now) {
    claim& own = position->second;
    auto& peer = own.queried_peers[*own.placement_peer];
    if (body.status == wire::ownership::owns) {
        const wire::candidate owner = peer.address;
        return finish_claim(position, owner);
    }
    // Ignores a delayed reply to the query.
    if (body.status != wire::ownership::refuses)
        return;
    peer.has_rejected_placement = true;
    own.placement_peer.reset();
    place_flow(position, now);
}

// Ends the claim and forwards its packets to `owner`, which owns the flow or
// has a claim that takes precedence.
void flow_owner::impl::finish_claim(claim_iterator position,
                                    const wire::candidate& owner) {
    auto held = std::move(position->second.held_packets);
    held_packets_ -= held.size();
    redirects_.put(position->first, {owner});
    claims_.erase(position);
    for (auto& message : held)
        forward(std::move(message), owner);
}

void flow_owner::impl::abandon_claim(claim_iterator position,
                                     drop_reason reason) {
    const auto held = std::move(position->second.held_packets);
    held_packets_ -= held.size();
    claims_.erase(position);
    for (const auto& message : held)
        drop(reason, message.sender);
}

} // namespace arbutusport::flows
