// Selects the events that a message carries.

#include "event_queue.hpp"

#include <algorithm>
#include <bit>

namespace arbutusport::membership {

void event_queue::add(const member_event& it) {
    items_[it.id] = {it, 0};
}

void event_queue::remove(process_id id) {
    items_.erase(id);
}

std::vector<member_event> event_queue::take(std::size_t limit,
                                            std::size_t members) {
    std::vector<item*> waiting;
    waiting.reserve(items_.size());
    for (auto& [id, it] : items_)
        waiting.push_back(&it);
    const std::size_t n = std::min(limit, waiting.size());
    std::ranges::partial_sort(
        waiting, waiting.begin() + static_cast<std::ptrdiff_t>(n), {},
        [](const item* it) { return std::pair(it->sent, it->event.id); });
    waiting.resize(n);

    const std::size_t rounds = 3 * std::bit_width(members + 1);
    std::vector<member_event> out;
    for (item* it : waiting) {
        out.push_back(it->event);
        if (++it->sent >= rounds)
            items_.erase(out.back().id);
    }
    return out;
}

} // namespace arbutusport::membership
