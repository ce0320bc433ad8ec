// Handles bitmaps of peers, announcements to peers, and possible owners.

#include "peer_slot_tracker.hpp"

#include <algorithm>

namespace arbutusport::flows {

namespace {

using std::chrono::milliseconds;

constexpr duration announcement_retry = milliseconds(40);
// After this time, a peer that acknowledged no announcement is assumed dead
// before the membership reports it, so that it does not block new flows.
// Covers a round trip between data centres with several losses.
constexpr duration announcement_timeout = milliseconds(500);
// Counts announcements instead of time, so that a suspension of this process
// does not make its peers look unresponsive.
constexpr auto max_announcements = announcement_timeout / announcement_retry;
constexpr duration late_announcement_retry = milliseconds(1000);
// Limit for peers that are not in this process's configuration.
constexpr std::size_t max_unconfigured_peers = 1024;

} // namespace

void peer_slot_tracker::set_service(const records::service& service,
                                    generation gen, time_point now) {
    const std::uint64_t digest = routing::hosts_digest(service);
    if (digest == digest_)
        return;
    digest_ = digest;
    previously_claimed_slots_ = std::exchange(claimed_slots_, {});
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
    current_ranking_ = std::move(next);
    announce(gen, now);
}

void peer_slot_tracker::announce(generation gen, time_point now) {
    announced_gen_ = gen;
    announcement_count_ = 0;
    next_announcement_ = now;
    for (auto& [id, it] : peers_)
        it.has_acknowledged = false;
    update_acknowledged_ranking();
}

void peer_slot_tracker::clear_bitmaps() {
    for (auto& [id, it] : peers_)
        it.gen.reset();
}

peer_slot_tracker::peer*
peer_slot_tracker::add_unconfigured(const wire::candidate& address) {
    const auto unconfigured = std::ranges::count_if(
        peers_, [](const auto& entry) { return !entry.second.is_configured; });
    if (static_cast<std::size_t>(unconfigured) >= max_unconfigured_peers)
        return nullptr;
    peer& added = peers_[address.id];
    added.address = address;
    added.is_configured = false;
    return &added;
}

void peer_slot_tracker::add_mentioned_peer(const wire::candidate& address) {
    if (address.id != self_ && address.packets.port != 0 &&
        !peers_.contains(address.id))
        add_unconfigured(address);
}

std::vector<wire::candidate>
peer_slot_tracker::unconfigured_peers(std::size_t limit) const {
    std::vector<wire::candidate> out;
    for (const auto& [id, it] : peers_)
        if (!it.is_configured && !is_down(id) && out.size() < limit)
            out.push_back(it.address);
    return out;
}

bool peer_slot_tracker::on_holders(const wire::candidate& from,
                                   const wire::holders_body& body) {
    const auto found = peers_.find(from.id);
    peer* known =
        found == peers_.end() ? add_unconfigured(from) : &found->second;
    if (known == nullptr)
        return false;
    peer& sender = *known;
    if (body.is_reply && body.acknowledged_gen >= announced_gen_)
        sender.has_acknowledged = true;
    if (!sender.gen || body.gen > *sender.gen) {
        sender.gen = body.gen;
        sender.digest = body.hosts_digest;
        sender.slots = body.slots;
    } else if (body.gen == *sender.gen) {
        // Within a generation, bits are only added, so that a delayed copy of
        // an earlier bitmap removes none.
        sender.slots |= body.slots;
    }
    update_acknowledged_ranking();
    return true;
}

std::vector<wire::candidate>
peer_slot_tracker::take_due_announcements(time_point now) {
    std::vector<wire::candidate> out;
    if (!current_ranking_ || now < next_announcement_)
        return out;
    const bool late = announcement_count_ >= max_announcements;
    announcement_count_ += late ? 0 : 1;
    next_announcement_ =
        now + (late ? late_announcement_retry : announcement_retry);
    if (late)
        acknowledged_ranking_ = current_ranking_;
    for (const auto& [id, it] : peers_)
        if (!it.has_acknowledged && !is_down(id))
            out.push_back(it.address);
    update_acknowledged_ranking();
    return out;
}

std::vector<wire::candidate>
peer_slot_tracker::possible_owners(slot_index slot) const {
    std::vector<wire::candidate> out;
    for (const auto& [id, it] : peers_) {
        if (is_down(id))
            continue;
        const bool may_own = use_bitmaps_ && (!it.gen || it.digest != digest_ ||
                                              it.slots[slot.value()]);
        if (may_own ||
            (current_ranking_ && is_ranked_in(*current_ranking_, slot, id)))
            out.push_back(it.address);
    }
    return out;
}

bool peer_slot_tracker::may_own_flows(slot_index slot, process_id peer) const {
    const auto found = peers_.find(peer);
    if (found == peers_.end())
        return true;
    const auto& known = found->second;
    const auto index = slot.value();
    if (!known.gen || known.digest != digest_ || known.slots[index])
        return true;
    return (claimed_slots_[index] || previously_claimed_slots_[index]) &&
           current_ranking_ && is_ranked_in(*current_ranking_, slot, peer);
}

bool peer_slot_tracker::is_configured(process_id peer) const {
    const auto it = peers_.find(peer);
    return it != peers_.end() && it->second.is_configured;
}

void peer_slot_tracker::on_unresponsive(process_id peer) {
    const auto it = peers_.find(peer);
    if (it != peers_.end() && !it->second.is_configured)
        peers_.erase(it);
}

bool peer_slot_tracker::can_open(slot_index slot) const {
    return is_ranked(slot) && acknowledged_ranking_ &&
           (acknowledged_ranking_ == current_ranking_ ||
            is_ranked_in(*acknowledged_ranking_, slot, self_));
}

bool peer_slot_tracker::is_ranked(slot_index slot) const {
    return current_ranking_ && is_ranked_in(*current_ranking_, slot, self_);
}

wire::candidate_list peer_slot_tracker::ranked(slot_index slot) const {
    wire::candidate_list out;
    if (current_ranking_)
        for (const auto index : current_ranking_->table->ranks(slot))
            out.push_back(current_ranking_->hosts[index]);
    return out;
}

bool peer_slot_tracker::is_ranked_in(const ranking& hosts_ranking,
                                     slot_index slot, process_id id) const {
    return std::ranges::any_of(
        hosts_ranking.table->ranks(slot),
        [&](auto index) { return hosts_ranking.hosts[index].id == id; });
}

bool peer_slot_tracker::have_all_acknowledged() const {
    return std::ranges::all_of(peers_, [&](const auto& entry) {
        return entry.second.has_acknowledged || !entry.second.is_configured ||
               is_down(entry.first);
    });
}

void peer_slot_tracker::update_acknowledged_ranking() {
    if (current_ranking_ && have_all_acknowledged())
        acknowledged_ranking_ = current_ranking_;
}

} // namespace arbutusport::flows
