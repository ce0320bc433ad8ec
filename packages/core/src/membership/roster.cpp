// Builds the members and the probe group from a configuration.

#include "roster.hpp"

#include <algorithm>

namespace arbutusport::membership {

namespace {

bool is_probed(const records::host& it) {
    return it.state != records::host_state::out;
}

std::vector<process_id> probed_hosts(const records::service& it) {
    std::vector<process_id> ids;
    for (const records::host& member : it.hosts)
        if (is_probed(member))
            ids.push_back(member.id);
    return ids;
}

} // namespace

std::vector<process_id> roster::update(const records::snapshot& snapshot) {
    auto old = std::move(members_);
    members_.clear();
    const auto add = [&](process_id id, const endpoint& packets, bool leaving) {
        const auto known = old.find(id);
        member next;
        if (known != old.end()) {
            next = known->second;
            old.erase(known);
        }
        next.event.id = id;
        next.packets = packets;
        next.config_leaving = leaving;
        members_.emplace(id, next);
    };
    for (const records::entry& member : snapshot.entries)
        add(member.id, member.packets, false);
    for (const records::service& service : snapshot.services)
        for (const records::host& member : service.hosts)
            add(member.id, member.packets,
                member.state != records::host_state::active);
    update_probe_group(snapshot);

    other_members_.clear();
    for (const auto& [id, member] : members_)
        if (id != self_)
            other_members_.push_back(id);
    std::ranges::sort(other_members_);
    std::vector<process_id> removed;
    for (const auto& [id, member] : old)
        removed.push_back(id);
    return removed;
}

// Hosts probe the other hosts of their service. Entries, and hosts that are the
// only one of their service, probe one another.
void roster::update_probe_group(const records::snapshot& snapshot) {
    probe_group_.clear();
    probes_all_services_ = true;
    std::vector<process_id> shared_group;
    for (const records::entry& member : snapshot.entries)
        shared_group.push_back(member.id);
    for (const records::service& service : snapshot.services) {
        auto ids = probed_hosts(service);
        if (ids.size() == 1) {
            shared_group.push_back(ids.front());
        } else if (std::ranges::find(ids, self_) != ids.end()) {
            probe_group_ = std::move(ids);
            probes_all_services_ = false;
        }
    }
    if (probes_all_services_)
        probe_group_ = std::move(shared_group);
    std::ranges::sort(probe_group_);
}

member* roster::find(process_id id) {
    const auto it = members_.find(id);
    return it == members_.end() ? nullptr : &it->second;
}

const member* roster::find(process_id id) const {
    const auto it = members_.find(id);
    return it == members_.end() ? nullptr : &it->second;
}

member* roster::successor() {
    const auto start = static_cast<std::size_t>(
        std::ranges::upper_bound(probe_group_, self_) - probe_group_.begin());
    for (std::size_t i = 0; i < probe_group_.size(); ++i) {
        const process_id id = probe_group_[(start + i) % probe_group_.size()];
        member* it = find(id);
        if (id != self_ && it && !it->is_down() && !it->unanswered_since)
            return it;
    }
    return nullptr;
}

std::vector<process_id> roster::sample(std::size_t n, process_id except,
                                       std::mt19937_64& random) const {
    std::vector<process_id> out;
    if (other_members_.empty())
        return out;
    // The number of attempts is bounded: with most members down, the sample may
    // be shorter than `n`.
    for (std::size_t i = 0; out.size() < n && i < 4 * n + 8; ++i) {
        const process_id id = other_members_[random() % other_members_.size()];
        if (id != except && !find(id)->is_down() &&
            std::ranges::find(out, id) == out.end())
            out.push_back(id);
    }
    return out;
}

} // namespace arbutusport::membership
