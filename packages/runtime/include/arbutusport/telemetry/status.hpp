// The status of one process as operators and tools read it.
#pragma once

#include <arbutusport/base/ids.hpp>
#include <arbutusport/base/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace arbutusport::telemetry {

struct refused_generation {
    generation gen;
    std::string reason;
};

struct status_report {
    std::string name;
    std::string role;
    std::string data_centre;
    incarnation run;
    /// Absent until a configuration is in force.
    std::optional<generation> in_force;
    /// The last refusal since a generation was put in force.
    std::optional<refused_generation> refused;
    bool reader = false;
    bool draining = false;
    std::map<std::string, std::uint64_t> members_by_state;
    /// Hosts: owned flows. Entries: hints.
    std::uint64_t flows = 0;
    std::uint64_t sessions = 0;
    /// Requests that run at the upstream, and those that wait.
    std::uint64_t slots_used = 0;
    std::uint64_t slots = 0;
    std::uint64_t queued = 0;
    std::map<std::string, std::uint64_t> drops;
    duration uptime{};
};

/// @brief One JSON object. Generations are texts "epoch.revision".
std::string to_json(const status_report& it);

} // namespace arbutusport::telemetry
