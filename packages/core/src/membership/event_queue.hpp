// Events that wait to ride on messages, each a limited number of times.
#pragma once

#include <arbutusport/membership/membership.hpp>

#include <unordered_map>
#include <vector>

namespace arbutusport::membership {

class event_queue {
public:
    /// @brief Replaces an older event of the same member.
    void add(const member_event& it);
    void remove(process_id id);
    /// @brief The least often sent events, at most `limit`; counts them as
    /// sent. Each is sent about 3 log2(members) times.
    std::vector<member_event> take(std::size_t limit, std::size_t members);

private:
    struct item {
        member_event event;
        std::size_t sent = 0;
    };

    std::unordered_map<process_id, item> items_;
};

} // namespace arbutusport::membership
