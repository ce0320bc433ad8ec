// Status report of one process, for operators and tools.
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
    /// Empty until a configuration is in force.
    std::optional<generation> in_force;
    /// The last generation refused since one was put in force.
    std::optional<refused_generation> refused;
    bool reader = false;
    bool draining = false;
    std::map<std::string, std::uint64_t> members_by_state;
    /// Owned flows of a host, hints of an entry.
    std::uint64_t flows = 0;
    std::uint64_t sessions = 0;
    /// Slots in use by requests at the upstream, all slots, and the number of
    /// queued requests.
    std::uint64_t slots_used = 0;
    std::uint64_t slots = 0;
    std::uint64_t queued = 0;
    std::map<std::string, std::uint64_t> drops;
    duration uptime{};
};

/// @brief Returns a JSON object. Generations are strings "epoch.revision".
std::string to_json(const status_report& it);

} // namespace arbutusport::telemetry
