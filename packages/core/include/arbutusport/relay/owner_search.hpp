// Finds the owner of a flow that is missing from an entry's flow table. The
// packet is sent to the few host processes where the flow was most likely
// placed. The owner's process delivers it and answers; each other process sends
// a denial: its host does not own the flow. Then all remaining processes
// receive a short query that covers many flows. A process that cannot tell gets
// the packet, those of the own data centre first, since a packet is much larger
// than a query. A flow never moves to another host, so a denial is final and
// its sender is not queried again. After denials from all processes, no host
// owns the flow.
#pragma once

#include <arbutusport/relay/byte_budget.hpp>
#include <arbutusport/relay/messages.hpp>
#include <arbutusport/relay/segment.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace arbutusport::relay {

struct owner_search_options {
    /// Wait for the likely owners before all processes are queried. They are
    /// in the own data centre, but share a small CPU core.
    duration likely_owner_timeout = std::chrono::milliseconds(75);
    /// Processes that have not answered are queried again after this time. A
    /// round trip between data centres takes about 15 ms.
    duration retry_interval = std::chrono::milliseconds(150);
    /// Wait for the processes that received the packet, before processes that
    /// cannot tell receive it too. Covers a request's work at its host; a host
    /// without the flow returns the packet at once.
    duration probe_timeout = std::chrono::milliseconds(175);
    /// Time between the last denial and the conclusion, so that hosts and
    /// owners announced in between are taken into account. A message between
    /// data centres takes 6 ms.
    duration conclusion_delay = std::chrono::milliseconds(12);
    /// Maximum number of query rounds for one packet.
    std::uint32_t max_rounds = 3;
    /// After a flow without an owner, later searches require complete targets
    /// when they start, not after the last denial: many flows are lost
    /// together.
    duration loss_period = std::chrono::seconds(1);
    /// Denials are kept for this long after the last packet; clients
    /// retransmit a packet after at most 1.6 s.
    duration retention_time = std::chrono::seconds(4);
    /// Packets queued for one flow; the client retransmits the rest.
    std::size_t max_queued_packets = 4;
    /// Maximum number of concurrent searches; packets of further unknown flows
    /// are dropped.
    std::size_t max_searches = 4096;
    /// Limits the traffic of searches, so that they leave bandwidth for known
    /// flows when thousands of flows are unknown at once.
    byte_budget_options budget;
};

/// @brief Not thread-safe.
class owner_search {
public:
    struct target {
        machine_address machine;
        service_tag service;
        /// One of the hosts where the flow was most likely placed.
        bool likely = false;
        /// In the own data centre.
        bool near = true;
    };

    /// @brief Outcome of a search after denials from all processes whose host
    /// may own the flow.
    struct conclusion {
        flow_key flow;
        /// The client's last acknowledgement.
        std::uint32_t acknowledged = 0;
        std::size_t denials = 0;
        /// Time since the packet that started the search.
        duration after{};
    };

    struct hooks {
        /// Returns the processes that may currently own a flow.
        std::function<std::vector<target>(const flow_key&, time_point now)>
            targets;
        std::function<void(const target&, byte_view datagram)> send;
        std::function<void(machine_address, std::vector<flow_key>)> query;
        /// Called when no host owns the flow.
        std::function<void(const conclusion&, time_point now)> not_found;
        /// The latest time at which `targets` is known to have been complete.
        /// Only searches that had started by then are concluded, even after
        /// denials from all targets.
        std::function<time_point(time_point now)> complete_until;
        /// Called while a search waits for complete targets as of `since`.
        std::function<void(time_point since)> require_complete;
        /// Called when a search expires after denials from all targets while
        /// `targets` may be incomplete.
        std::function<void(const conclusion&)> unresolved;
    };

    owner_search(owner_search_options options, hooks callbacks)
        : options_(options), hooks_(std::move(callbacks)),
          budget_(options.budget) {}

    /// @brief Adds a packet of an unknown flow. `denied` is a process that has
    /// already sent a denial for it. Returns false if the packet was dropped.
    bool add(const segment& packet, std::optional<machine_address> denied,
             time_point now);
    void on_not_owned(machine_address from, const flow_key& flow,
                      time_point now);
    /// @brief Handles an answer from a process that may have started after the
    /// flow opened. Only a packet delivered to its host shows whether the host
    /// owns the flow.
    void on_uncertain(machine_address from, const flow_key& flow,
                      time_point now);
    /// @brief Ends the search and returns the queued packets that `owner` has
    /// not received yet.
    std::vector<bytes> on_found(const flow_key& flow, machine_address owner);
    /// @brief Start time of the flow's search, if one is active.
    std::optional<time_point> started_at(const flow_key& flow) const;
    /// @brief Cancels a search; a new opening packet makes it obsolete.
    void forget(const flow_key& flow) { searches_.erase(flow); }
    void on_tick(time_point now);
    /// @brief Sends the collected queries and concludes searches that all
    /// targets denied. Must be called after each batch of packets or messages.
    void flush(time_point now);
    bool active(const flow_key& flow) const { return searches_.contains(flow); }
    std::size_t size() const { return searches_.size(); }
    /// @brief Number of searches scheduled for their conclusion.
    std::size_t pending_conclusions() const {
        return pending_conclusions_.size();
    }

private:
    struct search {
        time_point started_at;
        time_point used_at;
        // Time of the next query round, or of the conclusion if all targets
        // have denied.
        time_point due;
        std::uint32_t rounds = 0;
        std::uint32_t acknowledged = 0;
        bool queried_all = false;
        // All targets have denied; the search awaits its conclusion.
        bool all_denied = false;
        std::unordered_set<machine_address> denied;
        // Machines that were sent `probe_packet`.
        std::unordered_set<machine_address> probed;
        time_point probed_at;
        // Machines that cannot tell and have not been sent `probe_packet`.
        std::unordered_set<machine_address> uncertain;
        bytes probe_packet;
        // Packets that arrived after `probe_packet`, in order.
        std::vector<bytes> queued_packets;
    };

    void start_round(const flow_key& flow, search& state, time_point now);
    void probe_likely_owners(search& state, const std::vector<target>& targets,
                             time_point now);
    void query_all(const flow_key& flow, search& state,
                   const std::vector<target>& targets, time_point now);
    bool send_probe(search& state, const target& one, time_point now);
    void probe_uncertain(const flow_key& flow, search& state, time_point now);
    std::vector<target> remaining_targets(const flow_key& flow,
                                          const search& state,
                                          time_point now) const;
    void wait_for_conclusion(const flow_key& flow, search& state,
                             time_point now);
    /// @brief Returns false if targets remain to be queried; otherwise removes
    /// the search.
    bool conclude(const flow_key& flow, time_point now);
    void conclude_due(time_point complete_until, time_point now);
    void expire(const flow_key& flow, const search& state, time_point now);
    static conclusion make_conclusion(const flow_key& flow, const search& state,
                                      time_point now);
    void send_queries(time_point now);

    owner_search_options options_;
    hooks hooks_;
    byte_budget budget_;
    std::unordered_map<flow_key, search> searches_;
    // Searches that all targets denied, by the time of their start, so that
    // flush() can conclude them before the next tick.
    std::multimap<time_point, flow_key> pending_conclusions_;
    // When a search last ended without an owner.
    std::optional<time_point> concluded_at_;
    // Queries to be sent by the next flush or tick.
    std::map<machine_address, std::vector<flow_key>> queries_;
};

} // namespace arbutusport::relay
