// Reports changes of the directory's hosts as events: added, draining, lapsed,
// restored and removed hosts, and reused addresses.
#pragma once

#include <arbutusport/relay/directory.hpp>
#include <arbutusport/relay/events.hpp>

#include <functional>
#include <map>

namespace arbutusport::relay {

class host_changes {
public:
    /// @brief Reports each difference from the last call. The first call only
    /// records the hosts, because a process has to start fast.
    void update(const directory& known,
                const std::function<void(const event&)>& report);

private:
    struct reported_host {
        machine_address machine;
        service_id service;
        revision at;
        bool draining = false;
        bool lapsed = false;
    };

    std::map<host_key, reported_host> hosts_;
    bool is_first_ = true;
};

} // namespace arbutusport::relay
