// Picks gossip peers and ranks readers.

#include "peer_set.hpp"

#include <arbutusport/base/hash.hpp>

#include <algorithm>

namespace arbutusport::config {

namespace {

constexpr std::uint64_t any_peer_every = 10;
constexpr std::uint64_t far_peer_every = 5;
constexpr int max_tries = 16;

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

void peer_set::follow(const records::snapshot& it) {
    near_.clear();
    far_.clear();
    ahead_.clear();
    is_listed_ = false;
    const bool self_is_host =
        std::ranges::find(it.entries, self_, &records::entry::id) ==
        it.entries.end();
    const auto add = [&](process_id id, const std::string& data_centre,
                         const endpoint& control, bool is_host) {
        const bool is_near = data_centre == data_centre_;
        if (id == self_)
            is_listed_ = is_near;
        else
            (is_near ? near_ : far_).push_back({id, control});
        const auto rank = std::pair(is_host, reader_score(id));
        if (is_near && id != self_ &&
            rank < std::pair(self_is_host, reader_score(self_)))
            ahead_.push_back(id);
    };
    for (const records::entry& member : it.entries)
        add(member.id, member.data_centre, member.control, false);
    for (const records::service& service : it.services)
        for (const records::host& member : service.hosts)
            if (member.state != records::host_state::out || member.id == self_)
                add(member.id, member.data_centre, member.control, true);
}

std::optional<endpoint>
peer_set::pick(std::mt19937_64& random,
               const std::function<bool(process_id)>& is_down) const {
    const bool any = random() % any_peer_every == 0;
    if (any && !seeds_.empty() && random() % any_peer_every == 0)
        return seeds_[random() % seeds_.size()];
    const bool far =
        near_.empty() || (!far_.empty() && random() % far_peer_every == 0);
    const auto& list = far ? far_ : near_;
    if (list.empty())
        return seeds_.empty() ? std::nullopt
                              : std::optional(seeds_[random() % seeds_.size()]);
    const peer* it = nullptr;
    for (int i = 0; i < max_tries; ++i) {
        it = &list[random() % list.size()];
        if (any || !is_down || !is_down(it->id))
            break;
    }
    return it->control;
}

std::vector<endpoint> peer_set::everyone(std::mt19937_64& random) const {
    std::vector<endpoint> out = seeds_;
    for (const auto* list : {&near_, &far_})
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
    for (const process_id id : ahead_)
        if ((!is_down || !is_down(id)) && ++live >= limit)
            return false;
    return true;
}

} // namespace arbutusport::config
