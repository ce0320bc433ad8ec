// Which host gets a new flow.
#pragma once

#include <arbutusport/relay/messages.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace arbutusport::relay {

/// @brief A host of the flow's service as the entry sees it now.
struct candidate {
    machine_address machine;
    /// In the entry's own data centre.
    bool local = false;
    /// The process beside it answers and says that the host lives.
    bool reachable = true;
    std::uint32_t slots = 1;
    /// The host has just started and is slow.
    bool warming_up = false;
    /// Mean number of requests at the host over the last second, and now.
    double busy = 0;
    std::uint32_t outstanding = 0;
    std::uint32_t flows = 0;
    /// Flows that this entry placed there since `flows` was reported.
    std::uint32_t placed_since = 0;
    /// Openings in a row that the host did not answer in time.
    std::uint32_t unanswered = 0;
};

struct placement_options {
    /// How much busier, in requests per slot, a local host may be than one in
    /// another data centre. Bytes between data centres are costly, and the
    /// detour takes some milliseconds; a quarter of a slot is less waiting
    /// than a request may have before it is late.
    double remote_penalty = 0.25;
    /// Work of a host that has just started, relative to a warm one.
    double warmup_factor = 1.6;
    /// Requests per slot that one unanswered opening counts as.
    double unanswered_penalty = 1.0;
    /// A flow is placed at one of this many hosts of each kind, local and
    /// remote, so that its owner can be found by asking few. The best of six
    /// is close to the best of all.
    std::size_t ranked_hosts = 6;
    /// A host with more requests per slot is about to reject some: hosts
    /// queue a few for each slot.
    double full_load = 2.5;
    /// A host of another service of the route gets the flow only below this.
    double spill_load = 1.0;
    /// Requests in progress that a flow adds when nothing was measured yet.
    double default_flow_load = 0.02;
};

/// @brief Order in which hosts are considered for a flow; the lowest first.
/// Alike in every process, and changed little by a change of hosts.
std::uint64_t placement_rank(std::uint64_t flow_hash, machine_address machine);

/// @brief The hosts among which a flow is placed: the first by rank of the
/// local ones and of the remote ones; unreachable ones only if there is no
/// other.
std::vector<candidate> ranked_hosts(std::vector<candidate> hosts,
                                    std::uint64_t flow_hash,
                                    const placement_options& options = {});

struct host_choice {
    machine_address machine;
    bool reachable = true;
    /// Requests per slot, with the penalties of the options.
    double load = 0;
};

/// @brief The host with the least expected load among those not in `tried`;
/// unreachable hosts only if there is no other. Empty if all were tried.
/// Equal hosts are chosen by `tie_breaker`.
std::optional<host_choice> choose_host(std::span<const candidate> hosts,
                                       std::span<const machine_address> tried,
                                       std::uint64_t tie_breaker,
                                       const placement_options& options = {});

/// @brief Whether a flow is better placed at another service of its route:
/// the service that the weights chose has no host left for it, or would
/// reject its requests while the other has room.
bool spills(const std::optional<host_choice>& chosen,
            const std::optional<host_choice>& other,
            const placement_options& options = {});

/// @brief The service of a new flow, by the route's weights; the same for
/// every copy of an opening packet. Empty if no weight is positive.
std::optional<service_id> choose_service(const route& route,
                                         std::uint64_t flow_hash);

} // namespace arbutusport::relay
