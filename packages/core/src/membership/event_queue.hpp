// Queue of membership events to piggyback on messages. Each event is sent a
// limited number of times.
#pragma once

#include <arbutusport/membership/membership.hpp>

#include <unordered_map>
#include <vector>

namespace arbutusport::membership {

class event_queue {
public:
    /// @brief Adds an event. Replaces an older event of the same member.
    void add(const member_event& event);
    void remove(process_id id);
    /// @brief Returns the least often sent events, at most `limit`, and counts
    /// them as sent. Each event is sent about 3 log2(members) times.
    std::vector<member_event> take(std::size_t limit, std::size_t members);

private:
    struct queued_event {
        member_event event;
        std::size_t send_count = 0;
    };

    std::unordered_map<process_id, queued_event> events_;
};

} // namespace arbutusport::membership
