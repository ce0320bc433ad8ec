// Weighted rendezvous ranking of hosts by slot.

#include <arbutusport/base/hash.hpp>
#include <arbutusport/routing/slot_table.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace arbutusport::routing {

namespace {

// New flows are placed at one of this many eligible hosts of a slot.
constexpr std::size_t placement_choices = 2;

struct ranked_host {
    double score;
    std::uint16_t index;
    bool draining;
};

// Keeps `width` hosts. Draining hosts of the lowest ranks give way to active
// ones until there are enough to place new flows; without this, a slot whose
// first ranks all drain would have to place new flows at a draining host.
void keep_ranks(std::vector<ranked_host>& all, std::size_t width) {
    const std::size_t wanted = std::min(placement_choices, width);
    const auto kept = all.begin() + static_cast<std::ptrdiff_t>(width);
    auto active = static_cast<std::size_t>(std::count_if(
        all.begin(), kept, [](const auto& it) { return !it.draining; }));
    auto next = kept;
    for (auto last = kept; last != all.begin() && active < wanted;) {
        --last;
        if (!last->draining)
            continue;
        next = std::find_if(next, all.end(),
                            [](const auto& it) { return !it.draining; });
        if (next == all.end())
            break;
        std::iter_swap(last, next++);
        ++active;
    }
    std::stable_sort(all.begin(), kept, [](const auto& a, const auto& b) {
        return a.score > b.score;
    });
}

} // namespace

slot_index slot_of(const flow_key& flow) {
    return slot_index(static_cast<std::uint16_t>(hash_of(flow) % slot_count));
}

double score(slot_index slot, process_id host, double weight) {
    // A uniform value in (0, 1); the score is that of weighted rendezvous
    // hashing, -weight / ln(uniform).
    const std::uint64_t hash = hash_combine(slot.value(), host.value());
    const double uniform = (static_cast<double>(hash >> 11) + 0.5) * 0x1p-53;
    return -weight / std::log(uniform);
}

slot_table::slot_table(const records::service& it) {
    std::vector<ranked_host> all;
    for (std::size_t i = 0; i < it.hosts.size(); ++i)
        if (it.hosts[i].state != records::host_state::out)
            all.push_back({0, static_cast<std::uint16_t>(i),
                           it.hosts[i].state == records::host_state::draining});
    width_ = std::min(all.size(), ranks_per_slot);
    rows_.reserve(slot_count * width_);
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        for (auto& entry : all) {
            const auto& host = it.hosts[entry.index];
            entry.score = score(slot_index(static_cast<std::uint16_t>(slot)),
                                host.id, host.weight);
        }
        std::ranges::sort(all, [&](const auto& a, const auto& b) {
            return std::pair(a.score, it.hosts[a.index].id) >
                   std::pair(b.score, it.hosts[b.index].id);
        });
        keep_ranks(all, width_);
        for (std::size_t i = 0; i < width_; ++i)
            rows_.push_back(all[i].index);
    }
}

std::span<const std::uint16_t> slot_table::ranks(slot_index slot) const {
    return std::span(rows_).subspan(slot.value() * width_, width_);
}

} // namespace arbutusport::routing
