// Changes between two configurations and their effect on flows.
#pragma once

#include <arbutusport/records/records.hpp>

#include <string>
#include <vector>

namespace arbutusport::records {

enum class change_kind : std::uint8_t {
    service_added,
    service_removed,
    service_address,
    limits,
    objectives,
    timers, // drain time-out and slow start
    host_added,
    host_removed,
    host_drains,
    host_out,
    host_returns, // from draining or out to active
    host_weight,
    host_address,
    host_data_centre,
    entry_added,
    entry_removed,
    entry_address,
    key_added,
    key_removed,
    key_state,
    epoch,
};

const char* to_string(change_kind it);

struct change {
    change_kind kind;
    /// Empty for entries, keys and the epoch.
    std::string service;
    /// Host, entry or key; empty if the change concerns the whole service.
    std::string subject;
    std::string before;
    std::string after;
    /// True if open flows may end.
    bool flows_may_end = false;
    /// True if the subject receives no new flows after the change.
    bool no_new_work = false;
    /// Description of the effect on flows.
    std::string effect;
};

/// @brief Returns the changes, sorted by service, then by subject.
std::vector<change> diff(const snapshot& from, const snapshot& to);

} // namespace arbutusport::records
