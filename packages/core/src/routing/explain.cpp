// Ranks the hosts of a flow's slot in the same way as entries and hosts.

#include <arbutusport/routing/explain.hpp>
#include <arbutusport/routing/slot_table.hpp>

#include <algorithm>

namespace arbutusport::routing {

std::optional<explanation>
explain(const records::snapshot& snapshot, const flow_key& flow,
        const std::function<bool(process_id)>& is_down) {
    const auto* service = snapshot.find_service(flow.service);
    if (service == nullptr)
        return std::nullopt;
    explanation out{
        snapshot.gen, service->name, service->id, slot_of(flow), {}};
    const slot_table table(*service);
    bool has_home = false;
    std::size_t eligible_left = 2;
    for (const auto index : table.ranks(out.slot)) {
        const auto& host = service->hosts[index];
        explained_host explained{host.name, host.id,
                                 score(out.slot, host.id, host.weight),
                                 host.state};
        explained.is_down = is_down && is_down(host.id);
        explained.is_home = !explained.is_down && !has_home;
        has_home = has_home || explained.is_home;
        explained.is_eligible = !explained.is_down && eligible_left > 0 &&
                                host.state == records::host_state::active;
        eligible_left -= explained.is_eligible ? 1 : 0;
        out.hosts.push_back(std::move(explained));
    }
    // If every host is believed down, packets are still sent to the first one.
    if (!has_home && !out.hosts.empty())
        out.hosts.front().is_home = true;
    return out;
}

} // namespace arbutusport::routing
