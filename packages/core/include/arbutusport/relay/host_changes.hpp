// What changed in the directory's hosts, as events: which host was learned,
// drains, lapsed, came back, is gone, or took over an address.
#pragma once

#include <arbutusport/relay/directory.hpp>
#include <arbutusport/relay/events.hpp>

#include <functional>
#include <map>

namespace arbutusport::relay {

class host_changes {
public:
    /// @brief Reports each difference to the last call; the first call only
    /// notes what is there, because a process has to start fast.
    void update(const directory& known,
                const std::function<void(const event&)>& report);

private:
    struct seen {
        machine_address machine;
        service_id service;
        revision at;
        bool draining = false;
        bool lapsed = false;
    };

    std::map<host_key, seen> hosts_;
    bool is_first_ = true;
};

} // namespace arbutusport::relay
