// Selection of the host processes that an entry follows.

#include <arbutusport/relay/host_peers.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <unordered_set>

namespace arbutusport::relay {

// The hosts of one service, as far as the selection of followed ones needs
// them.
struct host_peers::service_hosts {
    std::size_t total = 0;
    std::size_t usable_near = 0;
    double near_slots = 0;
    double near_requests = 0;
    // Hosts of other data centres that are not draining, by their rank.
    std::map<std::uint64_t, machine_address> remote;
    std::set<machine_address> unusable;
    std::set<machine_address> evacuated;
    std::set<data_centre_id> data_centres;
};

void host_peers::select_followed(const directory& known, time_point now) {
    selected_at_ = now;
    std::unordered_map<service_id, service_hosts> services;
    for (const auto& [key, it] : known.hosts()) {
        const machine_address machine(it.record.address.address);
        const auto found = peers_.find(machine);
        if (found == peers_.end() || record_of(known, machine) != &it)
            continue;
        const peer& one = found->second;
        service_hosts& here = services[it.record.service];
        ++here.total;
        here.data_centres.insert(it.record.data_centre);
        if (it.record.draining)
            continue;
        const bool evacuated = options_.is_evacuated(it.record.data_centre);
        if (evacuated && it.record.data_centre == options_.data_centre)
            continue;
        const bool usable = !one.followed || is_reachable(one, now);
        if (it.record.data_centre != options_.data_centre) {
            here.remote.emplace(
                placement_rank(options_.data_centre.value(), machine), machine);
            if (evacuated)
                here.evacuated.insert(machine);
            else if (!usable)
                here.unusable.insert(machine);
        } else if (usable) {
            ++here.usable_near;
            here.near_slots += it.record.slots;
            here.near_requests += std::max<double>(
                one.report.outstanding, one.report.busy_milli / 1000.0);
        }
    }
    std::unordered_set<machine_address> chosen;
    for (const auto& [service, it] : services)
        choose_remote(it, chosen);
    for (auto& [machine, it] : peers_)
        if (it.registered)
            follow(it,
                   it.data_centre == options_.data_centre ||
                       chosen.contains(machine),
                   now);
}

// Hosts that do not answer stay followed, so that their return is noticed. So
// do a few in evacuated data centres, whose load must be known when these are
// taken back; all of them would be entries x hosts messages.
void host_peers::choose_remote(
    const service_hosts& here,
    std::unordered_set<machine_address>& chosen) const {
    auto left = remote_count(here);
    auto evacuated_left = options_.remote_hosts;
    for (const auto& [rank, machine] : here.remote) {
        if (here.evacuated.contains(machine)) {
            if (evacuated_left > 0) {
                chosen.insert(machine);
                --evacuated_left;
            }
            continue;
        }
        if (left == 0)
            continue;
        chosen.insert(machine);
        if (!here.unusable.contains(machine))
            --left;
    }
}

// A data centre with fewer hosts than the others, or with busy ones, needs more
// hosts elsewhere.
std::size_t host_peers::remote_count(const service_hosts& it) const {
    const std::size_t mean = it.total / it.data_centres.size();
    const std::size_t missing =
        mean > it.usable_near ? mean - it.usable_near : 0;
    const double load =
        it.near_slots > 0 ? it.near_requests / it.near_slots : 0;
    const double share = std::clamp(
        (load - options_.low_load) / (options_.high_load - options_.low_load),
        0.0, 1.0);
    return options_.remote_hosts + 2 * missing +
           static_cast<std::size_t>(share *
                                    static_cast<double>(it.remote.size()));
}

} // namespace arbutusport::relay
