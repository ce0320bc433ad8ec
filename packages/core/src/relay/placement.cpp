// Host selection by least expected load, preferring the own data centre.

#include <arbutusport/base/hash.hpp>
#include <arbutusport/relay/expected_completion.hpp>
#include <arbutusport/relay/placement.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace arbutusport::relay {

std::uint64_t placement_rank(std::uint64_t flow_hash, machine_address machine) {
    return hash_combine(machine.value(), flow_hash);
}

std::vector<candidate> ranked_hosts(std::vector<candidate> hosts,
                                    std::uint64_t flow_hash,
                                    const placement_options& options) {
    if (std::ranges::any_of(hosts, &candidate::reachable))
        std::erase_if(hosts, [](const auto& it) { return !it.reachable; });
    std::erase_if(hosts, [](const auto& it) { return it.opening_room == 0; });
    // Ranks and indices of the local hosts, then of the remote ones.
    std::vector<std::pair<std::uint64_t, std::size_t>> ranks[2];
    for (std::size_t i = 0; i < hosts.size(); ++i)
        ranks[hosts[i].local ? 0 : 1].emplace_back(
            placement_rank(flow_hash, hosts[i].machine), i);
    std::vector<candidate> out;
    for (auto& group : ranks) {
        const auto end =
            group.begin() + static_cast<std::ptrdiff_t>(
                                std::min(group.size(), options.ranked_hosts));
        std::ranges::partial_sort(group, end);
        for (auto it = group.begin(); it != end; ++it)
            out.push_back(hosts[it->second]);
    }
    return out;
}

std::optional<host_choice> choose_host(std::span<const candidate> hosts,
                                       std::span<const machine_address> tried,
                                       std::uint64_t tie_breaker,
                                       const placement_options& options) {
    const completion_estimator estimator(hosts, options);
    const auto rank = [&](const host_choice& it) {
        return std::tuple(!it.reachable, it.load,
                          hash_combine(tie_breaker, it.machine.value()));
    };
    std::optional<host_choice> best;
    for (const candidate& it : hosts) {
        if (it.opening_room == 0 ||
            std::ranges::find(tried, it.machine) != tried.end())
            continue;
        const completion_estimate expected = estimator.estimate(it);
        const host_choice choice{it.machine, it.reachable, expected.load,
                                 expected.speed, expected.completion};
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
