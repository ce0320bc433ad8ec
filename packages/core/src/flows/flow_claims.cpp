// Claims: queries for a flow's owner, and placement of new flows.

#include "flow_owner_impl.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace arbutusport::flows {

namespace {

constexpr std::size_t placement_choices = 2;
// Counted in query_timeout: a claim asks and places for up to
// 2 * (query_retries + 1) of them.
constexpr int permit_margin = 2;
// Counted in query_timeout: the longest interval at which a silent peer that
// may own the flow is asked again.
constexpr int max_repeat_interval = 16;
// The membership drops hosts that left the configuration, so that it may
// never report them as down. Longer than the detection of a dead host.
constexpr duration unconfigured_wait = std::chrono::seconds(6);

template <class Body>
std::optional<Body> try_decode(result<Body> (*decode)(byte_view),
                               byte_view data) {
    return handle_failure(
        [&]() -> result<std::optional<Body>> {
            BOOST_LEAF_AUTO(it, decode(data));
            return std::optional<Body>(it);
        },
        [](const failure&) { return std::optional<Body>(); });
}

} // namespace

// Keeps the packet until the flow's owner is known.
void flow_owner::impl::hold(wire::packet message, time_point now) {
    const auto it = claims_.find(message.flow);
    if (held_packets_ >= options_.max_held_packets ||
        (it != claims_.end() &&
         it->second.held.size() >= options_.max_held_per_flow))
        return drop(drop_reason::held_full, message.sender);
    ++held_packets_;
    if (it != claims_.end()) {
        it->second.held.push_back(std::move(message));
        return;
    }
    start_claim(message, now);
    const auto started = claims_.find(message.flow);
    started->second.held.push_back(std::move(message));
    conclude_if_answered(started, now);
}

// Adds the cover and the ranked hosts to those asked, and returns how many
// are new.
std::size_t flow_owner::impl::ask_cover(const flow_key& flow, claim& it) const {
    if (!options_.enabled.query_owners)
        return 0;
    auto peers = cover_.cover(routing::slot_of(flow));
    for (const auto& ranked : it.ranked)
        if (ranked.id != options_.self && !is_down(ranked.id))
            peers.push_back(ranked);
    const std::size_t n = it.asked.size();
    for (const auto& peer : peers)
        if (std::ranges::none_of(it.asked, [&](const auto& entry) {
                return entry.address.id == peer.id;
            }))
            it.asked.push_back({peer, std::nullopt, false});
    return it.asked.size() - n;
}

void flow_owner::impl::start_claim(const wire::packet& first, time_point now) {
    const slot_index slot = routing::slot_of(first.flow);
    claim it;
    it.id = ++last_claim_;
    it.started = now;
    it.round_started = now;
    it.score = routing::score(slot, options_.self, weight_);
    it.ranked = live(first.candidates);
    ask_cover(first.flow, it);
    send_queries(first.flow, it, now);
    claims_.emplace(first.flow, std::move(it));
}

void flow_owner::impl::send_queries(const flow_key& flow, claim& it,
                                    time_point now) {
    const bytes body = wire::encode(wire::query_body{it.id, it.score});
    for (const auto& peer : it.asked)
        if (!peer.answer)
            send(wire::message_type::query, flow, peer.address, body);
    it.deadline = now + options_.query_timeout;
}

void flow_owner::impl::on_query(const wire::packet& message, time_point now) {
    const auto body = try_decode(wire::decode_query, message.body);
    if (!body || message.candidates.empty() ||
        message.candidates.front().id != message.sender)
        return drop(drop_reason::malformed_body, message.sender);
    const wire::candidate claimant = message.candidates.front();
    const slot_index slot = routing::slot_of(message.flow);
    cover_.on_claim(slot);
    auto reply = reply_body(slot, body->claim, now);
    if (flows_.contains(message.flow)) {
        reply.status = wire::ownership::owns;
        return send_reply(message, reply);
    }
    if (const auto own = claims_.find(message.flow); own != claims_.end()) {
        const auto mine = std::tuple(own->second.score, options_.self);
        if (own->second.placing ||
            mine > std::tuple(body->score, message.sender)) {
            reply.status = wire::ownership::claims;
            return send_reply(message, reply);
        }
        settle(own, claimant);
    }
    admit(message, *body, reply, now);
    send_reply(message, reply);
}

// Redirects the flow to the claimant, names the host to which it was
// redirected before, and gives a permit to place the flow. Every retry of a
// query gets the same answer, since the first reply may be lost.
void flow_owner::impl::admit(const wire::packet& message,
                             const wire::query_body& body,
                             wire::query_reply_body& reply, time_point now) {
    const wire::candidate claimant = message.candidates.front();
    redirect next{claimant, body.claim, 0, time_point(), {}};
    if (const redirect* known = redirects_.find(message.flow)) {
        const bool same = known->to.id == claimant.id;
        next.before = same ? known->before : known->to;
        if (same && known->claim == body.claim)
            next.permit = known->permit;
    }
    if (next.permit == 0)
        next.permit = ++last_permit_;
    next.permit_expires =
        now + options_.query_timeout *
                  (2 * (static_cast<int>(options_.query_retries) + 1) +
                   permit_margin);
    if (next.before.packets.port != 0 && !is_down(next.before.id)) {
        reply.status = wire::ownership::redirects;
        reply.owner = next.before;
    }
    reply.permit = next.permit;
    redirects_.put(message.flow, next);
}

wire::query_reply_body flow_owner::impl::reply_body(slot_index slot,
                                                    std::uint64_t claim,
                                                    time_point now) const {
    const host_load own = load(now);
    wire::query_reply_body it;
    it.claim = claim;
    it.flows = own.flows;
    it.weight = own.weight;
    it.eligible = own.eligible;
    it.draining = is_draining_ || !is_published_active_;
    it.may_open = cover_.may_open(slot) && flows_.size() < options_.max_flows;
    return it;
}

void flow_owner::impl::send_reply(const wire::packet& to,
                                  const wire::query_reply_body& it) {
    send(wire::message_type::query_reply, to.flow, to.candidates.front(),
         wire::encode(it));
}

void flow_owner::impl::on_query_reply(const wire::packet& message,
                                      time_point now) {
    const auto body = try_decode(wire::decode_query_reply, message.body);
    if (!body)
        return drop(drop_reason::malformed_body, message.sender);
    const auto it = claims_.find(message.flow);
    if (it == claims_.end() || it->second.id != body->claim)
        return;
    auto& asked = it->second.asked;
    const auto peer = std::ranges::find_if(asked, [&](const auto& entry) {
        return entry.address.id == message.sender;
    });
    if (peer == asked.end())
        return;
    if (it->second.placing) {
        if (&asked[*it->second.placing] == &*peer)
            on_placed(it, *body, now);
        return;
    }
    switch (body->status) {
    case wire::ownership::owns:
    case wire::ownership::claims: {
        const wire::candidate owner = peer->address;
        return settle(it, owner);
    }
    case wire::ownership::redirects:
        peer->answer = *body;
        if (follow_reference(it, body->owner))
            return;
        break;
    case wire::ownership::none:
        peer->answer = *body;
        break;
    case wire::ownership::refuses:
        return;
    }
    conclude_if_answered(it, now);
}

// Asks the host that a peer takes for the owner. False if it is already
// among those asked.
bool flow_owner::impl::follow_reference(claim_iterator it,
                                        const wire::candidate& owner) {
    auto& asked = it->second.asked;
    if (owner.id == options_.self || is_down(owner.id))
        return false;
    for (auto& peer : asked)
        if (peer.address.id == owner.id) {
            peer.is_named = true;
            return false;
        }
    asked.push_back({owner, std::nullopt, false, true});
    send(wire::message_type::query, it->first, owner,
         wire::encode(wire::query_body{it->second.id, it->second.score}));
    return true;
}

void flow_owner::impl::on_claim_timeout(claim_iterator it, time_point now) {
    claim& own = it->second;
    const bool retries = own.tries++ < options_.query_retries;
    if (own.placing) {
        if (!retries)
            // Whether the flow was opened there is unknown. The client's
            // next packet causes a query that finds out.
            return refuse_claim(it, drop_reason::stale_generation);
        const auto& peer = own.asked[*own.placing];
        send(wire::message_type::place, it->first, peer.address,
             wire::encode(
                 wire::place_body{own.id, peer.answer->permit, own.is_floor}));
        own.deadline = now + options_.query_timeout;
        return;
    }
    if (retries)
        return send_queries(it->first, own, now);
    if (std::ranges::any_of(own.asked, [&](const auto& peer) {
            return may_still_answer(it->first, own, peer, now);
        }))
        return wait_for_owner(it->first, own, now);
    // A peer that cannot hold this slot may hold others, and is not forgotten
    // for its silence here.
    for (const auto& peer : own.asked)
        if (!peer.answer && now - own.started >= unconfigured_wait)
            cover_.on_silent(peer.address.id);
    place(it, now);
}

// A silent peer that may own the flow. It may be paused, and a second owner
// would then break the flow, so the claim waits until the membership decides.
bool flow_owner::impl::may_still_answer(const flow_key& flow, const claim& it,
                                        const asked_peer& peer,
                                        time_point now) const {
    const process_id id = peer.address.id;
    if (peer.answer || is_down(id))
        return false;
    if (!cover_.is_configured(id) && now - it.started >= unconfigured_wait)
        return false;
    return peer.is_named || cover_.may_hold(routing::slot_of(flow), id);
}

// Looks again after each query_timeout, so that a peer that is believed down
// ends the wait at once, but repeats the queries at growing intervals.
void flow_owner::impl::wait_for_owner(const flow_key& flow, claim& it,
                                      time_point now) {
    const duration limit = options_.query_timeout * max_repeat_interval;
    if (it.repeat_interval == duration(0) || now >= it.next_repeat) {
        it.repeat_interval =
            std::clamp(it.repeat_interval * 2, options_.query_timeout, limit);
        it.next_repeat = now + it.repeat_interval;
        return send_queries(flow, it, now);
    }
    it.deadline = now + options_.query_timeout;
}

void flow_owner::impl::conclude_if_answered(claim_iterator it, time_point now) {
    const auto& asked = it->second.asked;
    if (std::ranges::all_of(
            asked, [](const auto& peer) { return peer.answer.has_value(); }))
        place(it, now);
}

// The ranked hosts that could own the flow, in rank order.
std::vector<flow_owner::impl::placement>
flow_owner::impl::placements(const claim& it, slot_index slot,
                             time_point now) const {
    std::vector<placement> out;
    for (const auto& ranked : it.ranked) {
        if (ranked.id == options_.self) {
            const auto own = reply_body(slot, it.id, now);
            if (own.may_open && !it.self_refused)
                out.push_back({std::nullopt, load(now), own.draining});
            continue;
        }
        const auto peer =
            std::ranges::find_if(it.asked, [&](const auto& entry) {
                return entry.address.id == ranked.id;
            });
        if (peer == it.asked.end() || !peer->answer ||
            !peer->answer->may_open || peer->has_refused)
            continue;
        const auto& answer = *peer->answer;
        out.push_back({static_cast<std::size_t>(peer - it.asked.begin()),
                       {answer.flows, answer.weight, answer.eligible},
                       answer.draining});
    }
    return out;
}

// Peers that became known while the claim waited do not know of it and may
// own the flow, and permits expire.
bool flow_owner::impl::is_outdated(const flow_key& flow, claim& it,
                                   time_point now) const {
    if (ask_cover(flow, it) > 0)
        return true;
    return now - it.round_started >
           options_.query_timeout *
               (static_cast<int>(options_.query_retries) + permit_margin);
}

void flow_owner::impl::ask_again(const flow_key& flow, claim& it,
                                 time_point now) {
    std::erase_if(it.asked,
                  [&](const auto& peer) { return is_down(peer.address.id); });
    for (auto& peer : it.asked)
        peer.answer.reset();
    it.tries = 0;
    it.round_started = now;
    send_queries(flow, it, now);
}

// Chooses between the first two eligible hosts, or if there is none, between
// the first two that do not drain, and then between the first two.
void flow_owner::impl::place(claim_iterator it, time_point now) {
    if (is_outdated(it->first, it->second, now)) {
        ask_again(it->first, it->second, now);
        if (!it->second.asked.empty())
            return;
    }
    auto all = placements(it->second, routing::slot_of(it->first), now);
    std::vector<placement> eligible;
    std::ranges::copy_if(all, std::back_inserter(eligible),
                         [](const auto& host) { return host.load.eligible; });
    it->second.is_floor = eligible.empty();
    if (eligible.empty()) {
        std::ranges::copy_if(
            all, std::back_inserter(eligible),
            [](const auto& host) { return !host.is_draining; });
    }
    if (eligible.empty() && all.size() == it->second.ranked.size())
        eligible = std::move(all);
    if (eligible.empty())
        return refuse_claim(it, flows_.size() >= options_.max_flows
                                    ? drop_reason::table_full
                                    : drop_reason::stale_generation);
    std::size_t chosen = 0;
    if (eligible.size() >= placement_choices &&
        eligible[1].load.normalised() < eligible[0].load.normalised())
        chosen = 1;
    place_at(it, eligible[chosen], now);
}

void flow_owner::impl::place_at(claim_iterator it, const placement& chosen,
                                time_point now) {
    claim& own = it->second;
    if (chosen.asked) {
        own.placing = chosen.asked;
        own.tries = 0;
        cover_.on_claim(routing::slot_of(it->first));
        own.deadline = now + options_.query_timeout;
        const auto& peer = own.asked[*chosen.asked];
        return send(wire::message_type::place, it->first, peer.address,
                    wire::encode(wire::place_body{own.id, peer.answer->permit,
                                                  own.is_floor}));
    }
    const flow_key flow = it->first;
    auto held = std::move(own.held);
    claims_.erase(it);
    held_packets_ -= held.size();
    open(flow, held.front().reply_entry, now);
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
            known != nullptr && known->to.id == message.sender &&
            known->claim == body->claim && known->permit == body->permit &&
            body->permit != 0 && now < known->permit_expires;
        const bool accepts = body->is_floor || reply.eligible;
        if (permitted && accepts && reply.may_open &&
            !claims_.contains(message.flow))
            open(message.flow, {}, now);
        else
            refuse_place(message.flow, *body, reply);
    }
    send_reply(message, reply);
}

// The claimant opens the flow elsewhere from now on, so the permit must not
// come to life again through late copies of the query and the place.
void flow_owner::impl::refuse_place(const flow_key& flow,
                                    const wire::place_body& body,
                                    wire::query_reply_body& reply) {
    reply.status = wire::ownership::refuses;
    redirect* known = redirects_.find(flow);
    if (known != nullptr && known->claim == body.claim &&
        known->permit == body.permit)
        known->permit = 0;
}

void flow_owner::impl::on_placed(claim_iterator it,
                                 const wire::query_reply_body& body,
                                 time_point now) {
    claim& own = it->second;
    auto& peer = own.asked[*own.placing];
    if (body.status == wire::ownership::owns) {
        const wire::candidate owner = peer.address;
        return settle(it, owner);
    }
    // A late reply to the query is not one to the placement.
    if (body.status != wire::ownership::refuses)
        return;
    peer.has_refused = true;
    own.placing.reset();
    place(it, now);
}

// Ends the claim: `owner` has the flow, or has the claim that takes
// precedence.
void flow_owner::impl::settle(claim_iterator it, const wire::candidate& owner) {
    auto held = std::move(it->second.held);
    held_packets_ -= held.size();
    redirects_.put(it->first, {owner});
    claims_.erase(it);
    for (auto& message : held)
        forward(std::move(message), owner);
}

void flow_owner::impl::refuse_claim(claim_iterator it, drop_reason reason) {
    const auto held = std::move(it->second.held);
    held_packets_ -= held.size();
    claims_.erase(it);
    for (const auto& message : held)
        drop(reason, message.sender);
}

} // namespace arbutusport::flows
