// Picks gossip peers and ranks readers.

#include "peer_set.hpp"

#include <arbutusport/base/hash.hpp>

#include <algorithm>

namespace arbutusport::config {

namespace {

constexpr std::uint64_t down_peer_interval_rounds = 10;
constexpr std::uint64_t remote_peer_interval_rounds = 5;
constexpr int max_pick_attempts = 16;

std::uint64_t reader_score(process_id id) {
    // Makes the order of readers independent of the order of ids, which ranks
    // members elsewhere.
    constexpr std::uint64_t salt = 0x726561646572;
    return hash_combine(id.value(), salt);
}

} // namespace

peer_set::peer_set(process_id self, std::string data_centre,
                   std::vector<endpoint> seeds)
    : self_(self), data_centre_(std::move(data_centre)),
      seeds_(std::move(seeds)) {}

void peer_set::update(const records::snapshot& snapshot) {
    local_peers_.clear();
    remote_peers_.clear();
    preferred_readers_.clear();
    is_listed_ = false;
    const bool self_is_host =
        std::ranges::find(snapshot.entries, self_, &records::entry::id) ==
        snapshot.entries.end();
    const auto add = [&](process_id id, const std::string& data_centre,
                         const endpoint& control, bool is_host) {
        const bool is_local = data_centre == data_centre_;
        if (id == self_)
            is_listed_ = is_local;
        else
            (is_local ? local_peers_ : remote_peers_).push_back({id, control});
        const auto rank = std::pair(is_host, reader_score(id));
        if (is_local && id != self_ &&
            rank < std::pair(self_is_host, reader_score(self_)))
            preferred_readers_.push_back(id);
    };
    for (const records::entry& member : snapshot.entries)
        add(member.id, member.data_centre, member.control, false);
    for (const records::service& service : snapshot.services)
        for (const records::host& member : service.hosts)
            if (member.state != records::host_state::out || member.id == self_)
                add(member.id, member.data_centre, member.control, true);
}

std::optional<endpoint>
peer_set::pick(std::mt19937_64& random,
               const std::function<bool(process_id)>& is_down) const {
    const bool includes_down = random() % down_peer_interval_rounds == 0;
    if (includes_down && !seeds_.empty() &&
        random() % down_peer_interval_rounds == 0)
        return seeds_[random() % seeds_.size()];
    const bool is_remote =
        local_peers_.empty() ||
        (!remote_peers_.empty() && random() % remote_peer_interval_rounds == 0);
    const auto& peers = is_remote ? remote_peers_ : local_peers_;
    if (peers.empty())
        return seeds_.empty() ? std::nullopt
                              : std::optional(seeds_[random() % seeds_.size()]);
    const peer* picked = nullptr;
    for (int i = 0; i < max_pick_attempts; ++i) {
        picked = &peers[random() % peers.size()];
        if (includes_down || !is_down || !is_down(picked->id))
            break;
    }
    return picked->control;
}

std::vector<endpoint> peer_set::startup_order(std::mt19937_64& random) const {
    std::vector<endpoint> out = seeds_;
    for (const auto* list : {&local_peers_, &remote_peers_})
        for (const peer& it : *list)
            out.push_back(it.control);
    std::shuffle(out.begin() + static_cast<std::ptrdiff_t>(seeds_.size()),
                 out.end(), random);
    return out;
}

bool peer_set::is_reader(std::size_t limit,
                         const std::function<bool(process_id)>& is_down) const {
    if (!is_listed_)
        return false;
    std::size_t live = 0;
    for (const process_id id : preferred_readers_)
        if ((!is_down || !is_down(id)) && ++live >= limit)
            return false;
    return true;
}

} // namespace arbutusport::config
