// Host selection by least expected load, preferring the own data centre.

#include <arbutusport/base/hash.hpp>
#include <arbutusport/relay/placement.hpp>

#include <algorithm>
#include <tuple>

namespace arbutusport::relay {

namespace {

// Mean number of requests in progress per flow over the service's hosts.
double load_per_flow(std::span<const candidate> hosts,
                     const placement_options& options) {
    double busy = 0;
    double flows = 0;
    for (const candidate& it : hosts) {
        busy += it.busy;
        flows += it.flows;
    }
    return std::max(flows > 0 ? busy / flows : 0, options.default_flow_load);
}

// Expected requests per slot. Half of the weight is on the number of flows,
// because flows that are idle now send requests to the host later.
double expected_load(const candidate& it, double flow_load,
                     const placement_options& options) {
    const double requests = 0.5 * it.busy + 0.5 * flow_load * it.flows +
                            flow_load * it.placed_since;
    const double waiting =
        it.outstanding > it.slots ? 0.5 * (it.outstanding - it.slots) : 0;
    const double slots = std::max<double>(it.slots, 1);
    const double factor = it.warming_up ? options.warmup_factor : 1;
    return factor * (requests + waiting) / slots +
           (it.local ? 0 : options.remote_penalty) +
           options.unanswered_penalty * it.unanswered;
}

} // namespace

std::uint64_t placement_rank(std::uint64_t flow_hash, machine_address machine) {
    return hash_combine(machine.value(), flow_hash);
}

std::vector<candidate> ranked_hosts(std::vector<candidate> hosts,
                                    std::uint64_t flow_hash,
                                    const placement_options& options) {
    if (std::ranges::any_of(hosts, &candidate::reachable))
        std::erase_if(hosts, [](const auto& it) { return !it.reachable; });
    std::erase_if(hosts, [](const auto& it) { return it.opening_room == 0; });
    const auto key = [&](const candidate& it) {
        return std::pair(!it.local, placement_rank(flow_hash, it.machine));
    };
    std::ranges::sort(hosts, {}, key);
    std::vector<candidate> out;
    std::size_t taken_counts[2] = {0, 0};
    for (candidate& it : hosts)
        if (taken_counts[it.local ? 1 : 0]++ < options.ranked_hosts)
            out.push_back(it);
    return out;
}

std::optional<host_choice> choose_host(std::span<const candidate> hosts,
                                       std::span<const machine_address> tried,
                                       std::uint64_t tie_breaker,
                                       const placement_options& options) {
    const double flow_load = load_per_flow(hosts, options);
    const auto rank = [&](const host_choice& it) {
        return std::tuple(!it.reachable, it.load,
                          hash_combine(tie_breaker, it.machine.value()));
    };
    std::optional<host_choice> best;
    for (const candidate& it : hosts) {
        if (it.opening_room == 0 ||
            std::ranges::find(tried, it.machine) != tried.end())
            continue;
        const host_choice choice{it.machine, it.reachable,
                                 expected_load(it, flow_load, options)};
        if (!best || rank(choice) < rank(*best))
            best = choice;
    }
    return best;
}

bool should_spill(const std::optional<host_choice>& chosen,
                  const std::optional<host_choice>& other,
                  const placement_options& options) {
    if (!other || !other->reachable || other->load > options.max_spill_load)
        return false;
    return !chosen || !chosen->reachable || chosen->load > options.full_load;
}

std::optional<service_id> choose_service(const route& route,
                                         std::uint64_t flow_hash) {
    std::uint64_t total = 0;
    for (const weighted_service& it : route.targets)
        total += it.weight;
    if (total == 0)
        return std::nullopt;
    std::uint64_t remaining = flow_hash % total;
    for (const weighted_service& it : route.targets) {
        if (remaining < it.weight)
            return it.service;
        remaining -= it.weight;
    }
    return std::nullopt;
}

} // namespace arbutusport::relay
