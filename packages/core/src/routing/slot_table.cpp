// Ranks the hosts of each slot by weighted rendezvous hashing.

#include <arbutusport/base/hash.hpp>
#include <arbutusport/routing/slot_table.hpp>

#include <algorithm>
#include <bit>
#include <cmath>
#include <mutex>
#include <unordered_map>
#include <utility>

namespace arbutusport::routing {

namespace {

// Number of eligible hosts of a slot between which a new flow is placed.
constexpr std::size_t placement_choices = 2;

struct ranked_host {
    double score;
    std::uint16_t index;
    bool draining;
};

bool ranks_before(const ranked_host& a, const ranked_host& b) {
    return std::pair(a.score, a.index) > std::pair(b.score, b.index);
}

// Sorts the first `width` ranks to the front. Replaces draining hosts of the
// lowest ranks by active ones until there are enough to place new flows.
// Otherwise, a slot whose first ranks are all draining would have to place new
// flows at a draining host.
void select_ranks(std::vector<ranked_host>& all, std::size_t width) {
    const auto end_of_ranks = all.begin() + static_cast<std::ptrdiff_t>(width);
    std::partial_sort(all.begin(), end_of_ranks, all.end(), ranks_before);
    auto active = std::count_if(all.begin(), end_of_ranks,
                                [](const auto& it) { return !it.draining; });
    const auto min_active =
        static_cast<std::ptrdiff_t>(std::min(placement_choices, width));
    for (auto last = end_of_ranks;
         last != all.begin() && active < min_active;) {
        --last;
        if (!last->draining)
            continue;
        const auto best = std::min_element(
            end_of_ranks, all.end(), [](const auto& a, const auto& b) {
                return std::pair(!a.draining, a.score) >
                       std::pair(!b.draining, b.score);
            });
        if (best == all.end() || best->draining)
            break;
        std::iter_swap(last, best);
        ++active;
    }
    std::sort(all.begin(), end_of_ranks, ranks_before);
}

} // namespace

slot_index slot_of(const flow_key& flow) {
    return slot_index(static_cast<std::uint16_t>(hash_of(flow) % slot_count));
}

double score(slot_index slot, process_id host, double weight) {
    // The score of weighted rendezvous hashing is -weight / ln(uniform) for a
    // uniform value in (0, 1).
    const std::uint64_t hash = hash_combine(slot.value(), host.value());
    const double uniform = (static_cast<double>(hash >> 11) + 0.5) * 0x1p-53;
    return -weight / std::log(uniform);
}

slot_table::slot_table(const records::service& service) {
    std::vector<ranked_host> candidates;
    for (std::size_t i = 0; i < service.hosts.size(); ++i)
        if (service.hosts[i].state != records::host_state::out)
            candidates.push_back(
                {0, static_cast<std::uint16_t>(i),
                 service.hosts[i].state == records::host_state::draining});
    row_width_ = std::min(candidates.size(), ranks_per_slot);
    rows_.reserve(slot_count * row_width_);
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        for (auto& entry : candidates) {
            const auto& host = service.hosts[entry.index];
            entry.score = score(slot_index(static_cast<std::uint16_t>(slot)),
                                host.id, host.weight);
        }
        select_ranks(candidates, row_width_);
        for (std::size_t i = 0; i < row_width_; ++i)
            rows_.push_back(candidates[i].index);
    }
}

std::span<const std::uint16_t> slot_table::ranks(slot_index slot) const {
    return std::span(rows_).subspan(slot.value() * row_width_, row_width_);
}

std::uint64_t hosts_digest(const records::service& service) {
    std::uint64_t digest = 0;
    for (const auto& host : service.hosts) {
        digest = hash_combine(digest, host.id.value());
        digest =
            hash_combine(digest, std::uint64_t{host.packets.address} << 16 |
                                     host.packets.port);
        digest =
            hash_combine(digest, std::bit_cast<std::uint64_t>(host.weight));
        digest = hash_combine(digest, static_cast<std::uint64_t>(host.state));
    }
    return digest == 0 ? 1 : digest;
}

std::shared_ptr<const slot_table>
shared_slot_table(const records::service& service) {
    static std::mutex mutex;
    static std::unordered_map<std::uint64_t, std::weak_ptr<const slot_table>>
        tables;
    const std::uint64_t digest = hosts_digest(service);
    const std::lock_guard lock(mutex);
    if (const auto found = tables.find(digest); found != tables.end())
        if (auto table = found->second.lock())
            return table;
    std::erase_if(tables,
                  [](const auto& entry) { return entry.second.expired(); });
    auto table = std::make_shared<const slot_table>(service);
    tables[digest] = table;
    return table;
}

} // namespace arbutusport::routing
