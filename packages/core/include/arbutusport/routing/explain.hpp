// Explains to operators how a flow is routed at a generation.
#pragma once

#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/base/ids.hpp>
#include <arbutusport/records/records.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace arbutusport::routing {

/// @brief One ranked host of the flow's slot.
struct explained_host {
    std::string name;
    process_id id;
    double score = 0;
    records::host_state state = records::host_state::active;
    /// The process that computes the explanation believes the host down.
    bool is_down = false;
    /// The first host that is not down. It decides where new flows open.
    bool is_home = false;
    /// One of the two hosts between which a new flow is placed, according to
    /// the configuration. Load and load shedding are known at hosts only.
    bool is_eligible = false;
};

struct explanation {
    generation gen;
    std::string service;
    service_id id;
    slot_index slot;
    /// In rank order.
    std::vector<explained_host> hosts;
};

/// @brief Explains the routing of `flow`. Empty if no service has the flow's
/// service address.
std::optional<explanation>
explain(const records::snapshot& snapshot, const flow_key& flow,
        const std::function<bool(process_id)>& is_down = {});

} // namespace arbutusport::routing
