// Selects the events that a message carries.

#include "event_queue.hpp"

#include <algorithm>
#include <bit>

namespace arbutusport::membership {

void event_queue::add(const member_event& event) {
    events_[event.id] = {event, 0};
}

void event_queue::remove(process_id id) {
    events_.erase(id);
}

std::vector<member_event> event_queue::take(std::size_t limit,
                                            std::size_t members) {
    std::vector<queued_event*> candidates;
    candidates.reserve(events_.size());
    for (auto& [id, it] : events_)
        candidates.push_back(&it);
    const std::size_t count = std::min(limit, candidates.size());
    std::ranges::partial_sort(
        candidates, candidates.begin() + static_cast<std::ptrdiff_t>(count), {},
        [](const queued_event* queued) {
            return std::pair(queued->send_count, queued->event.id);
        });
    candidates.resize(count);

    const std::size_t max_sends = 3 * std::bit_width(members + 1);
    std::vector<member_event> out;
    for (queued_event* queued : candidates) {
        out.push_back(queued->event);
        if (++queued->send_count >= max_sends)
            events_.erase(out.back().id);
    }
    return out;
}

} // namespace arbutusport::membership
