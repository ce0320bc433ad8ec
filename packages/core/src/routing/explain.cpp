// Ranks the hosts of a flow's slot as entries and hosts do.

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
    std::size_t choices = 2;
    for (const auto index : table.ranks(out.slot)) {
        const auto& host = service->hosts[index];
        explained_host it{host.name, host.id,
                          score(out.slot, host.id, host.weight), host.state};
        it.is_down = is_down && is_down(host.id);
        it.is_home = !it.is_down && !has_home;
        has_home = has_home || it.is_home;
        it.is_eligible = !it.is_down && choices > 0 &&
                         host.state == records::host_state::active;
        choices -= it.is_eligible ? 1 : 0;
        out.hosts.push_back(std::move(it));
    }
    // With every host believed down, the first rank is tried all the same.
    if (!has_home && !out.hosts.empty())
        out.hosts.front().is_home = true;
    return out;
}

} // namespace arbutusport::routing
