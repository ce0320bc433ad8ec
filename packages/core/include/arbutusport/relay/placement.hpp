// Selection of the host for a new flow.
#pragma once

#include <arbutusport/relay/messages.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace arbutusport::relay {

/// @brief A host of the flow's service, with its state as known to the entry.
struct candidate {
    machine_address machine;
    /// In the entry's own data centre.
    bool local = false;
    /// The relay process on its machine answers and reports the host as alive.
    bool reachable = true;
    std::uint32_t slots = 1;
    /// The host has just started and is slow.
    bool warming_up = false;
    /// Number of requests at the host: the mean over the last second, and the
    /// current one.
    double busy = 0;
    std::uint32_t outstanding = 0;
    std::uint32_t flows = 0;
    /// Flows that this entry placed there since `flows` was reported.
    std::uint32_t placed_since = 0;
    /// Flows that were announced to this entry, whoever placed them, and whose
    /// first request the last report cannot include.
    std::uint32_t opened_since = 0;
    /// Consecutive opening packets that the host did not answer in time.
    std::uint32_t unanswered = 0;
    /// Opening packets that the host may still receive; limited while it is
    /// cold.
    std::uint32_t opening_room = unlimited_room;
    /// As last reported; empty if the host process runs an earlier build.
    std::optional<host_work> work;
    /// Age of that report.
    duration report_age{};

    static constexpr std::uint32_t unlimited_room = 0xffffffff;
};

struct placement_options {
    /// By how many requests per slot a local host may be busier than one in
    /// another data centre. Traffic between data centres is expensive and adds
    /// some milliseconds; a quarter of a slot causes less waiting than makes a
    /// request late.
    double remote_penalty = 0.25;
    /// Cost of a request at a host that has just started, relative to a warm
    /// one.
    double warmup_factor = 1.6;
    /// Load, in requests per slot, that one unanswered opening adds.
    double unanswered_penalty = 1.0;
    /// A flow is placed at one of this many local or as many remote hosts, so
    /// that a search finds its owner with few queries. The best of six is close
    /// to the best of all.
    std::size_t ranked_hosts = 6;
    /// A host with more requests per slot is about to reject some; hosts queue
    /// only a few per slot.
    double full_load = 2.5;
    /// A host of another service of the route receives a spilled flow only up
    /// to this load.
    double max_spill_load = 1.0;
    /// Minimum load of a flow in requests in progress; used in particular
    /// before anything was measured.
    double default_flow_load = 0.02;
    /// Load, in requests per slot, that one usual service time more for each
    /// request adds. As with `remote_penalty`, it makes no request late by
    /// itself; that slow hosts are full sooner is counted apart.
    double service_weight = 0.25;
};

/// @brief Rank of a host for a flow; the lowest is considered first. Every
/// process computes the same ranks, and adding or removing a host changes the
/// order of the others little.
std::uint64_t placement_rank(std::uint64_t flow_hash, machine_address machine);

/// @brief Returns the hosts among which a flow is placed: the first local and
/// the first remote ones by rank. Unreachable hosts are included only if there
/// are no others. Hosts that have no room left are not included.
std::vector<candidate> ranked_hosts(std::vector<candidate> hosts,
                                    std::uint64_t flow_hash,
                                    const placement_options& options = {});

struct host_choice {
    machine_address machine;
    bool reachable = true;
    /// Requests per slot, with the penalties of the options.
    double load = 0;
    /// Relative to the service's usual host; 1 if it is not known.
    double speed = 1;
    /// Expected time until the flow's first request is complete; zero if no
    /// work is reported.
    duration completion{};
};

/// @brief Returns the host with the least expected load among those that have
/// room left and are not in `tried`; an unreachable one only if there are no
/// others. Empty if all were tried. `tie_breaker` decides between equal hosts.
std::optional<host_choice> choose_host(std::span<const candidate> hosts,
                                       std::span<const machine_address> tried,
                                       std::uint64_t tie_breaker,
                                       const placement_options& options = {});

/// @brief Whether a flow should be placed at another service of its route,
/// because the service chosen by weight has no host left or would reject the
/// flow's requests while the other service has capacity.
bool should_spill(const std::optional<host_choice>& chosen,
                  const std::optional<host_choice>& other,
                  const placement_options& options = {});

/// @brief Chooses the service of a new flow by the route's weights. The result
/// is the same for every copy of an opening packet. Empty if no weight is
/// positive.
std::optional<service_id> choose_service(const route& route,
                                         std::uint64_t flow_hash);

} // namespace arbutusport::relay
