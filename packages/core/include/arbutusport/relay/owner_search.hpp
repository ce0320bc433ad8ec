// Finds the host of a flow that an entry does not know. The packet goes to
// the few host processes where the flow was most likely placed; the owner
// delivers it and answers, the others answer that they do not have it. Then
// all others are asked by a short query, many flows in one. A flow never moves
// to another host, so a denial holds for good: nobody is asked again who
// denied, and once all have, the flow's host is known to be gone.
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
    /// Wait for the likely owners before all others are asked. They are in
    /// the own data centre, but share a small core.
    duration near_wait = std::chrono::milliseconds(75);
    /// Wait for answers before silent processes are asked again. A round trip
    /// between data centres takes some 15 ms.
    duration retry_interval = std::chrono::milliseconds(150);
    /// Between the last denial and the conclusion, for hosts and owners that
    /// are announced meanwhile; a message between data centres takes 6 ms.
    duration conclusion_delay = std::chrono::milliseconds(12);
    /// How often silent processes are asked on behalf of one packet.
    std::uint32_t max_rounds = 3;
    /// What was denied is remembered for this long after the last packet;
    /// clients send a packet again after at most 1.6 s.
    duration memory = std::chrono::seconds(4);
    /// Packets kept for one flow; the client sends the rest again.
    std::size_t max_held = 4;
    /// Searches at a time; packets of further unknown flows are dropped.
    std::size_t max_searches = 4096;
    /// What searches may send, so that they leave room for known flows when
    /// thousands of flows are unknown at once.
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
    };

    /// @brief Every process that may own the flow denied it.
    struct conclusion {
        flow_key flow;
        /// The client's last.
        std::uint32_t acknowledged = 0;
        std::size_t denials = 0;
        /// Since the packet that started the search.
        duration after{};
    };

    struct hooks {
        /// The processes that may own a flow now.
        std::function<std::vector<target>(const flow_key&)> targets;
        std::function<void(const target&, byte_view datagram)> send;
        std::function<void(machine_address, std::vector<flow_key>)> query;
        /// No host has the flow.
        std::function<void(const conclusion&, time_point now)> nowhere;
        /// Whether `targets` names everybody who may own a flow. Searches that
        /// all of them denied wait until it does.
        std::function<bool(time_point now)> may_conclude;
        /// Everybody denied the flow, but others may have it.
        std::function<void(const conclusion&)> unresolved;
    };

    owner_search(owner_search_options options, hooks ports)
        : options_(options), hooks_(std::move(ports)), budget_(options.budget) {
    }

    /// @brief A packet of an unknown flow. `denied` has already said that it
    /// does not own the flow. False if the packet was dropped.
    bool add(const segment& it, std::optional<machine_address> denied,
             time_point now);
    void on_not_here(machine_address from, const flow_key& flow,
                     time_point now);
    /// @brief The process was started after the flow: only its host knows.
    void on_unsure(machine_address from, const flow_key& flow, time_point now);
    /// @brief Ends the search; returns the packets that still wait, without
    /// those that `owner` got already.
    std::vector<bytes> on_found(const flow_key& flow, machine_address owner);
    /// @brief When the search of the flow began, if one is active.
    std::optional<time_point> begun_at(const flow_key& flow) const;
    /// @brief Ends a search that a new opening packet makes pointless.
    void forget(const flow_key& flow) { searches_.erase(flow); }
    void on_tick(time_point now);
    /// @brief Sends the queries that have gathered and ends searches that
    /// everybody denied; call it after a batch of packets or messages.
    void flush(time_point now);
    bool active(const flow_key& flow) const { return searches_.contains(flow); }
    std::size_t size() const { return searches_.size(); }
    /// @brief Notes of searches that wait for their conclusion.
    std::size_t concluding() const { return concluding_.size(); }

private:
    struct search {
        time_point begun_at;
        time_point used_at;
        // When to ask again, or to conclude if nobody is left to ask.
        time_point due;
        std::uint32_t rounds = 0;
        std::uint32_t acknowledged = 0;
        bool asked_all = false;
        // Everybody who was asked denied; it waits for the conclusion.
        bool all_denied = false;
        std::unordered_set<machine_address> denied;
        // Those that were given `probe` itself.
        std::unordered_set<machine_address> probed;
        bytes probe;
        // Packets that came after `probe`, in order.
        std::vector<bytes> held;
    };

    void ask(const flow_key& flow, search& it, time_point now);
    void ask_likely(search& it, const std::vector<target>& targets,
                    time_point now);
    void ask_all(const flow_key& flow, search& it,
                 const std::vector<target>& targets, time_point now);
    void probe(search& it, const target& one, time_point now);
    std::vector<target> undecided(const flow_key& flow, const search& it) const;
    void wait_for_conclusion(const flow_key& flow, search& it, time_point now);
    /// @brief False if somebody is left to ask; otherwise the search is gone.
    bool conclude(const flow_key& flow, time_point now);
    void conclude_due(time_point now);
    void expire(const flow_key& flow, const search& it, time_point now);
    static conclusion make_conclusion(const flow_key& flow, const search& it,
                                      time_point now);
    void send_queries(time_point now);

    owner_search_options options_;
    hooks hooks_;
    byte_budget budget_;
    std::unordered_map<flow_key, search> searches_;
    // Searches that everybody denied, by the time of their conclusion, so that
    // it does not wait for a tick.
    std::multimap<time_point, flow_key> concluding_;
    // Queries that leave with the next flush or tick.
    std::map<machine_address, std::vector<flow_key>> queries_;
};

} // namespace arbutusport::relay
