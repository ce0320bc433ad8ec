// Exchanges generations with peers.

#include "config_sync_impl.hpp"

#include <algorithm>

namespace arbutusport::config {

namespace {

constexpr std::size_t max_pulls_per_claim = 3;
// A thousand years of changes at the target of 930 a day. The platform cannot
// have made a set that is further ahead of the set in force.
constexpr std::uint64_t max_revision_step = 340'000'000;

} // namespace

sync_message config_sync::impl::make_message() {
    sync_message message;
    message.gen = base_gen();
    message.digest = base_digest_;
    if (options_.take_events)
        message.events = options_.take_events();
    return message;
}

records::record_delta config_sync::impl::delta_from(generation gen) const {
    const auto it = std::ranges::find(outlines_, gen, &records::outline::gen);
    return it == outlines_.end() ? records::make_full_delta(*base())
                                 : records::make_delta(*it, *base());
}

void config_sync::impl::run_gossip_round(std::size_t peers, time_point now,
                                         sync_actions& out) {
    std::set<endpoint> chosen;
    // Two attempts for each peer; a small fleet may yield fewer peers.
    for (std::size_t i = 0; i < 2 * peers && chosen.size() < peers; ++i)
        if (const auto it = peers_.pick(random_, options_.is_down);
            it && chosen.insert(*it).second)
            request_sync(*it, true, now, out);
}

void config_sync::impl::request_sync(const endpoint& peer, bool wants_delta,
                                     time_point now, sync_actions& out) {
    sync_message message = make_message();
    message.wants_delta = wants_delta;
    outstanding_requests_[peer] = now;
    send_request(peer, std::move(message), now, out);
}

// Before a set is in force, requests to seeds are untagged: the candidate may
// be out of date, so that the seeds have newer keys.
void config_sync::impl::send_request(const endpoint& peer, sync_message message,
                                     time_point now, sync_actions& out) {
    message.nonce = random_() | 1;
    nonces_[message.nonce] = {peer, now};
    const bool untagged = !current_ && is_seed(peer);
    out.push_back(send_sync_request{
        peer, untagged
                  ? encode_sync(message)
                  : seal_sync(message, sync_direction::request, *keyring_)});
}

bool config_sync::impl::is_seed(const endpoint& peer) const {
    return std::ranges::find(options_.seeds, peer) != options_.seeds.end();
}

bool config_sync::impl::accept_reply(const endpoint& peer,
                                     const opened_sync& reply) {
    const auto request = nonces_.find(reply.message.nonce);
    if (request == nonces_.end() || request->second.first != peer)
        return false;
    if (!reply.is_authentic && (current_ || !is_seed(peer)))
        return false;
    nonces_.erase(request);
    return true;
}

bool config_sync::impl::is_plausible(generation gen) const {
    return !current_ || gen.epoch != current_->gen.epoch ||
           gen.revision <= current_->gen.revision + max_revision_step;
}

void config_sync::impl::pull_from(const endpoint& peer, time_point now,
                                  sync_actions& out) {
    if (pull_peer_)
        return;
    pull_peer_ = peer;
    request_sync(peer, true, now, out);
}

void config_sync::impl::expire_requests(time_point now, sync_actions& out) {
    std::vector<endpoint> expired;
    for (const auto& [peer, since] : outstanding_requests_)
        if (now - since >= options_.sync_timeout)
            expired.push_back(peer);
    for (const endpoint& peer : expired)
        on_peer_error(peer, now, out);
    std::erase_if(nonces_, [&](const auto& it) {
        return now - it.second.second >= 2 * options_.sync_timeout;
    });
}

void config_sync::impl::on_peer_error(const endpoint& peer, time_point now,
                                      sync_actions& out) {
    outstanding_requests_.erase(peer);
    claims_.erase(peer);
    pushed_peers_.erase(peer);
    // The answers of the other peers are stale by now.
    if (replied_peers_.erase(peer) > 0)
        is_confirming_ = false;
    if (pull_peer_ == peer)
        pull_peer_.reset();
    try_adopt_candidate(now, out);
}

bool config_sync::impl::is_usable_update(const sync_message& message) const {
    return message.gen > base_gen() && is_plausible(message.gen) &&
           !is_refused(message.gen, message.digest);
}

void config_sync::impl::apply_message(const sync_message& message,
                                      time_point now, sync_actions& out) {
    begin_startup(now);
    if (options_.on_events && !message.events.empty())
        options_.on_events(message.events, now);
    if (message.delta)
        adopt_delta(*message.delta, now, out);
}

void config_sync::impl::adopt_delta(const records::record_delta& delta,
                                    time_point now, sync_actions& out) {
    if (delta.to <= base_gen() || !is_plausible(delta.to) ||
        is_refused(delta.to, delta.digest))
        return;
    auto set = handle_failure(
        [&]() -> result<std::vector<records::raw_record>> {
            return records::apply_delta(base(), delta);
        },
        // The base has changed since the peer made the delta, or the delta is
        // damaged. The next round requests another one.
        [](const failure&) { return std::vector<records::raw_record>(); });
    if (!set.empty())
        build_and_adopt(delta.to, std::move(set), now, out);
}

// The sender has no keys yet. It receives the set, but its message changes no
// state here. The reply is untagged, so it is not accepted as the reply to a
// tagged request.
bytes config_sync::impl::answer_untagged_request(
    const sync_message& request) const {
    sync_message reply;
    reply.gen = base_gen();
    reply.digest = base_digest_;
    reply.nonce = request.nonce;
    if (request.wants_delta && base_gen() > request.gen)
        reply.delta = delta_from(request.gen);
    return encode_sync(reply);
}

bytes config_sync::impl::on_request(byte_view request, time_point now,
                                    sync_actions& out) {
    const auto opened = handle_failure(
        [&]() -> result<std::optional<opened_sync>> {
            BOOST_LEAF_AUTO(decoded, open_sync(request, sync_direction::request,
                                               *keyring_));
            return std::optional(std::move(decoded));
        },
        [](const failure&) { return std::optional<opened_sync>(); });
    if (!opened)
        return {};
    const sync_message& message = opened->message;
    if (!opened->is_authentic)
        return answer_untagged_request(message);
    apply_message(message, now, out);
    sync_message reply = make_message();
    reply.nonce = message.nonce;
    // Several peers may announce the same generation at once; one delta is
    // enough.
    if (is_usable_update(message) &&
        (message.gen > requested_gen_ || now >= requested_until_)) {
        reply.wants_delta = true;
        requested_gen_ = message.gen;
        requested_until_ = now + options_.sync_timeout / 4;
    }
    if (message.wants_delta && base_gen() > message.gen)
        reply.delta = delta_from(message.gen);
    return seal_sync(reply, sync_direction::reply, *keyring_);
}

void config_sync::impl::on_reply(const endpoint& peer, byte_view reply,
                                 time_point now, sync_actions& out) {
    const auto opened = handle_failure(
        [&]() -> result<std::optional<opened_sync>> {
            BOOST_LEAF_AUTO(decoded,
                            open_sync(reply, sync_direction::reply, *keyring_));
            return std::optional(std::move(decoded));
        },
        [](const failure&) { return std::optional<opened_sync>(); });
    if (!opened || !accept_reply(peer, *opened))
        return on_peer_error(peer, now, out);
    const sync_message& message = opened->message;
    outstanding_requests_.erase(peer);
    if (!current_)
        replied_peers_.insert(peer);
    const bool was_push = pushed_peers_.erase(peer) > 0;
    if (pull_peer_ == peer)
        pull_peer_.reset();
    // Only a reply postpones the direct read: a recorded request may be a
    // replay and is no evidence of contact with a peer.
    next_direct_read_at_ = now + options_.direct_read_after +
                           jitter(options_.direct_read_after / 2);
    apply_message(message, now, out);
    if (is_usable_update(message))
        pull_claimed_set(peer, message.gen, now, out);
    else
        claims_.erase(peer);
    // A peer that still requests the set in reply to a push could not use it,
    // so there is no second push.
    if (message.wants_delta && base_gen() > message.gen && !was_push) {
        sync_message push = make_message();
        push.delta = delta_from(message.gen);
        pushed_peers_.insert(peer);
        send_request(peer, std::move(push), now, out);
    }
    try_adopt_candidate(now, out);
}

// Pulls a claimed generation. A pull may yield nothing usable, for example
// because the peer's set changed in between; the claim is dropped after
// max_pulls_per_claim pulls.
void config_sync::impl::pull_claimed_set(const endpoint& peer, generation gen,
                                         time_point now, sync_actions& out) {
    claim& peer_claim = claims_[peer];
    peer_claim.gen = gen;
    if (peer_claim.pull_count >= max_pulls_per_claim)
        claims_.erase(peer);
    else if (!pull_peer_) {
        ++peer_claim.pull_count;
        pull_from(peer, now, out);
    }
}

} // namespace arbutusport::config
