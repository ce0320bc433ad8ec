// Bitmaps of the peers, announcements of the own one, and covers.

#include "peer_cover.hpp"

#include <algorithm>

namespace arbutusport::flows {

namespace {

using std::chrono::milliseconds;

constexpr duration announcement_retry = milliseconds(40);
// After this time a peer that took no announcement is held to be dead until
// the membership says so, so that it does not block new flows. Covers a
// round trip between data centres with several losses.
constexpr duration announcement_timeout = milliseconds(500);
// Counted in announcements, so that a pause of this process is not taken for
// the silence of its peers.
constexpr auto announcement_tries = announcement_timeout / announcement_retry;
constexpr duration late_announcement_retry = milliseconds(1000);
// Peers that sent a bitmap but are not in this process's configuration.
constexpr std::size_t max_unconfigured = 1024;

} // namespace

void peer_cover::set_service(const records::service& service, generation gen,
                             time_point now) {
    const std::uint64_t digest = routing::hosts_digest(service);
    if (digest == digest_)
        return;
    digest_ = digest;
    claimed_before_ = std::exchange(claimed_, {});
    auto next = std::make_shared<ranking>();
    next->table = routing::shared_slot_table(service);
    for (auto& [id, it] : peers_)
        it.is_configured = false;
    for (const auto& host : service.hosts) {
        next->hosts.push_back({host.id, host.packets});
        if (host.id == self_)
            continue;
        auto& it = peers_[host.id];
        it.address = next->hosts.back();
        it.is_configured = host.state != records::host_state::out;
    }
    current_ = std::move(next);
    announce(gen, now);
}

void peer_cover::announce(generation gen, time_point now) {
    announced_gen_ = gen;
    announcements_ = 0;
    next_announcement_ = now;
    for (auto& [id, it] : peers_)
        it.has_taken = false;
    settle();
}

void peer_cover::forget_bitmaps() {
    for (auto& [id, it] : peers_)
        it.gen.reset();
}

peer_cover::peer* peer_cover::add_unconfigured(const wire::candidate& it) {
    const auto n = std::ranges::count_if(
        peers_, [](const auto& entry) { return !entry.second.is_configured; });
    if (static_cast<std::size_t>(n) >= max_unconfigured)
        return nullptr;
    peer& added = peers_[it.id];
    added.address = it;
    added.is_configured = false;
    return &added;
}

void peer_cover::on_mentioned(const wire::candidate& it) {
    if (it.id != self_ && it.packets.port != 0 && !peers_.contains(it.id))
        add_unconfigured(it);
}

std::vector<wire::candidate> peer_cover::unconfigured(std::size_t limit) const {
    std::vector<wire::candidate> out;
    for (const auto& [id, it] : peers_)
        if (!it.is_configured && !is_down(id) && out.size() < limit)
            out.push_back(it.address);
    return out;
}

bool peer_cover::on_holders(const wire::candidate& from,
                            const wire::holders_body& body) {
    const auto found = peers_.find(from.id);
    peer* known =
        found == peers_.end() ? add_unconfigured(from) : &found->second;
    if (known == nullptr)
        return false;
    peer& it = *known;
    if (body.is_reply && body.taken >= announced_gen_)
        it.has_taken = true;
    if (!it.gen || body.gen > *it.gen) {
        it.gen = body.gen;
        it.digest = body.hosts_digest;
        it.slots = body.slots;
    } else if (body.gen == *it.gen) {
        // Within a generation bits are only added, so that a late copy of
        // an earlier bitmap removes nothing.
        it.slots |= body.slots;
    }
    settle();
    return true;
}

std::vector<wire::candidate> peer_cover::due(time_point now) {
    std::vector<wire::candidate> out;
    if (!current_ || now < next_announcement_)
        return out;
    const bool late = announcements_ >= announcement_tries;
    announcements_ += late ? 0 : 1;
    next_announcement_ =
        now + (late ? late_announcement_retry : announcement_retry);
    if (late)
        settled_ = current_;
    for (const auto& [id, it] : peers_)
        if (!it.has_taken && !is_down(id))
            out.push_back(it.address);
    settle();
    return out;
}

std::vector<wire::candidate> peer_cover::cover(slot_index slot) const {
    std::vector<wire::candidate> out;
    for (const auto& [id, it] : peers_) {
        if (is_down(id))
            continue;
        const bool may_hold =
            use_bitmaps_ &&
            (!it.gen || it.digest != digest_ || it.slots[slot.value()]);
        if (may_hold || (current_ && ranks(*current_, slot, id)))
            out.push_back(it.address);
    }
    return out;
}

bool peer_cover::may_hold(slot_index slot, process_id peer) const {
    const auto found = peers_.find(peer);
    if (found == peers_.end())
        return true;
    const auto& it = found->second;
    const auto n = slot.value();
    if (!it.gen || it.digest != digest_ || it.slots[n])
        return true;
    return (claimed_[n] || claimed_before_[n]) && current_ &&
           ranks(*current_, slot, peer);
}

bool peer_cover::is_configured(process_id peer) const {
    const auto it = peers_.find(peer);
    return it != peers_.end() && it->second.is_configured;
}

void peer_cover::on_silent(process_id peer) {
    const auto it = peers_.find(peer);
    if (it != peers_.end() && !it->second.is_configured)
        peers_.erase(it);
}

bool peer_cover::may_open(slot_index slot) const {
    return is_ranked(slot) && settled_ &&
           (settled_ == current_ || ranks(*settled_, slot, self_));
}

bool peer_cover::is_ranked(slot_index slot) const {
    return current_ && ranks(*current_, slot, self_);
}

wire::candidate_list peer_cover::ranked(slot_index slot) const {
    wire::candidate_list out;
    if (current_)
        for (const auto index : current_->table->ranks(slot))
            out.push_back(current_->hosts[index]);
    return out;
}

bool peer_cover::ranks(const ranking& it, slot_index slot,
                       process_id id) const {
    return std::ranges::any_of(it.table->ranks(slot), [&](auto index) {
        return it.hosts[index].id == id;
    });
}

bool peer_cover::all_have_taken() const {
    return std::ranges::all_of(peers_, [&](const auto& it) {
        return it.second.has_taken || !it.second.is_configured ||
               is_down(it.first);
    });
}

void peer_cover::settle() {
    if (current_ && all_have_taken())
        settled_ = current_;
}

} // namespace arbutusport::flows
