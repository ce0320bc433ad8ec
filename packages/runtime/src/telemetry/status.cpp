// Serialises a status report as JSON.

#include <arbutusport/telemetry/status.hpp>

#include <nlohmann/json.hpp>

namespace arbutusport::telemetry {

std::string to_json(const status_report& it) {
    nlohmann::json out{
        {"name", it.name},
        {"role", it.role},
        {"data_centre", it.data_centre},
        // A string, because JSON numbers lose precision above 2^53.
        {"incarnation", std::to_string(it.run.value())},
        {"generation", nullptr},
        {"refused", nullptr},
        {"reader", it.reader},
        {"draining", it.draining},
        {"members", it.members_by_state},
        {"flows", it.flows},
        {"sessions", it.sessions},
        {"slots", {{"used", it.slots_used}, {"of", it.slots}}},
        {"queue", it.queued},
        {"drops", it.drops},
        {"uptime_s",
         std::chrono::duration_cast<std::chrono::seconds>(it.uptime).count()}};
    if (it.in_force)
        out["generation"] = to_string(*it.in_force);
    if (it.refused)
        out["refused"] = {{"generation", to_string(it.refused->gen)},
                          {"reason", it.refused->reason}};
    return out.dump();
}

} // namespace arbutusport::telemetry
