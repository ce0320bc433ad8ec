// Exchanges generations with peers.

#include "config_sync_impl.hpp"

#include <algorithm>

namespace arbutusport::config {

namespace {

constexpr std::size_t max_pulls = 3;
// A thousand years of changes at the target of 930 a day. The platform cannot
// have made a set that is further ahead of the set in force.
constexpr std::uint64_t max_revision_step = 340'000'000;

} // namespace

sync_message config_sync::impl::make_message() {
    sync_message it;
    it.gen = base_gen();
    it.digest = base_digest_;
    if (options_.take_events)
        it.events = options_.take_events();
    return it;
}

records::record_delta config_sync::impl::delta_from(generation gen) const {
    const auto it = std::ranges::find(history_, gen, &records::outline::gen);
    return it == history_.end() ? records::make_full(*base())
                                : records::make_delta(*it, *base());
}

void config_sync::impl::round(std::size_t peers, time_point now,
                              sync_actions& out) {
    std::set<endpoint> chosen;
    // Two attempts for each peer; a small fleet may yield fewer peers.
    for (std::size_t i = 0; i < 2 * peers && chosen.size() < peers; ++i)
        if (const auto it = peers_.pick(random_, options_.is_down);
            it && chosen.insert(*it).second)
            ask(*it, true, now, out);
}

void config_sync::impl::ask(const endpoint& peer, bool wants, time_point now,
                            sync_actions& out) {
    sync_message it = make_message();
    it.wants = wants;
    waiting_[peer] = now;
    send(peer, std::move(it), now, out);
}

// Before a set is in force, requests to seeds are untagged: the candidate may
// be out of date, so that the seeds have newer keys.
void config_sync::impl::send(const endpoint& peer, sync_message it,
                             time_point now, sync_actions& out) {
    it.nonce = random_() | 1;
    nonces_[it.nonce] = {peer, now};
    const bool untagged = !current_ && is_seed(peer);
    out.push_back(sync_with{
        peer, untagged ? encode_sync(it)
                       : seal_sync(it, sync_direction::request, *keys_)});
}

bool config_sync::impl::is_seed(const endpoint& peer) const {
    return std::ranges::find(options_.seeds, peer) != options_.seeds.end();
}

bool config_sync::impl::admits_reply(const endpoint& peer,
                                     const opened_sync& it) {
    const auto asked = nonces_.find(it.message.nonce);
    if (asked == nonces_.end() || asked->second.first != peer)
        return false;
    if (!it.is_authentic && (current_ || !is_seed(peer)))
        return false;
    nonces_.erase(asked);
    return true;
}

bool config_sync::impl::is_plausible(generation gen) const {
    return !current_ || gen.epoch != current_->gen.epoch ||
           gen.revision <= current_->gen.revision + max_revision_step;
}

void config_sync::impl::pull(const endpoint& peer, time_point now,
                             sync_actions& out) {
    if (pulling_)
        return;
    pulling_ = peer;
    ask(peer, true, now, out);
}

void config_sync::impl::expire_requests(time_point now, sync_actions& out) {
    std::vector<endpoint> expired;
    for (const auto& [peer, since] : waiting_)
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
    waiting_.erase(peer);
    claims_.erase(peer);
    pushed_.erase(peer);
    // The answers of the other peers are stale by now.
    if (answered_.erase(peer) > 0)
        is_confirming_ = false;
    if (pulling_ == peer)
        pulling_.reset();
    try_to_serve(now, out);
}

bool config_sync::impl::is_news(const sync_message& it) const {
    return it.gen > base_gen() && is_plausible(it.gen) &&
           !is_refused(it.gen, it.digest);
}

void config_sync::impl::learn(const sync_message& it, time_point now,
                              sync_actions& out) {
    start(now);
    if (options_.on_events && !it.events.empty())
        options_.on_events(it.events, now);
    if (it.delta)
        apply(*it.delta, now, out);
}

void config_sync::impl::apply(const records::record_delta& it, time_point now,
                              sync_actions& out) {
    if (it.to <= base_gen() || !is_plausible(it.to) ||
        is_refused(it.to, it.digest))
        return;
    auto set = handle_failure(
        [&]() -> result<std::vector<records::raw_record>> {
            return records::apply_delta(base(), it);
        },
        // The base has changed since the peer made the delta, or the delta is
        // damaged. The next round requests another one.
        [](const failure&) { return std::vector<records::raw_record>(); });
    if (!set.empty())
        build(it.to, std::move(set), now, out);
}

// The sender has no keys yet. It receives the set, but its message changes no
// state here. The reply is untagged, so it is not accepted as the reply to a
// tagged request.
bytes config_sync::impl::answer_newcomer(const sync_message& it) const {
    sync_message reply;
    reply.gen = base_gen();
    reply.digest = base_digest_;
    reply.nonce = it.nonce;
    if (it.wants && base_gen() > it.gen)
        reply.delta = delta_from(it.gen);
    return encode_sync(reply);
}

bytes config_sync::impl::on_request(byte_view request, time_point now,
                                    sync_actions& out) {
    const auto opened = handle_failure(
        [&]() -> result<std::optional<opened_sync>> {
            BOOST_LEAF_AUTO(
                it, open_sync(request, sync_direction::request, *keys_));
            return std::optional(std::move(it));
        },
        [](const failure&) { return std::optional<opened_sync>(); });
    if (!opened)
        return {};
    const sync_message& it = opened->message;
    if (!opened->is_authentic)
        return answer_newcomer(it);
    learn(it, now, out);
    sync_message reply = make_message();
    reply.nonce = it.nonce;
    // Several peers may announce the same generation at once; one delta is
    // enough.
    if (is_news(it) && (it.gen > expected_ || now >= expected_until_)) {
        reply.wants = true;
        expected_ = it.gen;
        expected_until_ = now + options_.sync_timeout / 4;
    }
    if (it.wants && base_gen() > it.gen)
        reply.delta = delta_from(it.gen);
    return seal_sync(reply, sync_direction::reply, *keys_);
}

void config_sync::impl::on_reply(const endpoint& peer, byte_view reply,
                                 time_point now, sync_actions& out) {
    const auto opened = handle_failure(
        [&]() -> result<std::optional<opened_sync>> {
            BOOST_LEAF_AUTO(message,
                            open_sync(reply, sync_direction::reply, *keys_));
            return std::optional(std::move(message));
        },
        [](const failure&) { return std::optional<opened_sync>(); });
    if (!opened || !admits_reply(peer, *opened))
        return on_peer_error(peer, now, out);
    const sync_message& it = opened->message;
    waiting_.erase(peer);
    if (!current_)
        answered_.insert(peer);
    const bool was_push = pushed_.erase(peer) > 0;
    if (pulling_ == peer)
        pulling_.reset();
    // Only a reply postpones the direct read: a recorded request may be a
    // replay and is no evidence of contact with a peer.
    next_direct_read_ = now + options_.direct_read_after +
                        jitter(options_.direct_read_after / 2);
    learn(it, now, out);
    if (is_news(it))
        follow_claim(peer, it.gen, now, out);
    else
        claims_.erase(peer);
    // A peer that still requests the set in reply to a push could not use it,
    // so there is no second push.
    if (it.wants && base_gen() > it.gen && !was_push) {
        sync_message push = make_message();
        push.delta = delta_from(it.gen);
        pushed_.insert(peer);
        send(peer, std::move(push), now, out);
    }
    try_to_serve(now, out);
}

// Pulls a claimed generation. A pull may yield nothing usable, for example
// because the peer's set changed in between; the claim is dropped after
// max_pulls pulls.
void config_sync::impl::follow_claim(const endpoint& peer, generation gen,
                                     time_point now, sync_actions& out) {
    claim& it = claims_[peer];
    it.gen = gen;
    if (it.pulls >= max_pulls)
        claims_.erase(peer);
    else if (!pulling_) {
        ++it.pulls;
        pull(peer, now, out);
    }
}

} // namespace arbutusport::config
