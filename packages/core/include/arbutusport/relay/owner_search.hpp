// Finds the host of a flow that an entry does not know. The packet itself
// goes to every host process that may own the flow; the owner delivers it and
// answers, the others answer that they do not have it. Only when all of them
// said so twice is the flow's host known to be gone.
#pragma once

#include <arbutusport/relay/messages.hpp>
#include <arbutusport/relay/segment.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace arbutusport::relay {

struct owner_search_options {
    /// Wait for answers before silent processes are asked again. A round trip
    /// between data centres takes some 15 ms; processes share a small core.
    duration retry_interval = std::chrono::milliseconds(150);
    /// Between the first complete denial and the one that confirms it: a flow
    /// that was just opened may be on its way to a process's table.
    duration confirm_delay = std::chrono::milliseconds(250);
    /// Rounds without a complete set of answers before the search ends.
    std::uint32_t max_rounds = 4;
    /// Packets kept for one flow; the client sends the rest again.
    std::size_t max_held = 4;
    /// Searches at a time; packets of further unknown flows are dropped.
    std::size_t max_searches = 4096;
};

/// @brief Not thread-safe.
class owner_search {
public:
    struct target {
        machine_address machine;
        service_tag service;
    };

    /// @brief The processes that may own a flow now.
    using find_targets = std::function<std::vector<target>(const flow_key&)>;
    using send_packet = std::function<void(const target&, byte_view datagram)>;
    /// @brief No host has the flow. `acknowledged` is the client's last.
    using on_nowhere =
        std::function<void(const flow_key&, std::uint32_t acknowledged)>;

    struct hooks {
        find_targets targets;
        send_packet send;
        on_nowhere nowhere;
    };

    owner_search(owner_search_options options, hooks ports)
        : options_(options), hooks_(std::move(ports)) {}

    /// @brief A packet of an unknown flow. `denied` has already said that it
    /// does not own the flow. False if the packet was dropped.
    bool add(const segment& it, std::optional<machine_address> denied,
             time_point now);
    void on_not_here(machine_address from, const flow_key& flow,
                     time_point now);
    /// @brief Ends the search; returns the packets that still wait.
    std::vector<bytes> on_found(const flow_key& flow);
    /// @brief Ends searches that a new opening packet makes pointless.
    void forget(const flow_key& flow) { searches_.erase(flow); }
    void on_tick(time_point now);
    bool active(const flow_key& flow) const { return searches_.contains(flow); }
    std::size_t size() const { return searches_.size(); }

private:
    struct search {
        time_point due;
        std::uint32_t rounds = 0;
        // All processes denied the flow once.
        bool denied_once = false;
        std::uint32_t acknowledged = 0;
        std::vector<target> waiting;
        // The packet that is sent in each round.
        bytes probe;
        // Packets that came later, in order.
        std::vector<bytes> held;
    };

    // These return false if the search ended.
    bool ask_all(const flow_key& flow, search& it,
                 std::optional<machine_address> denied, time_point now);
    bool on_all_denied(const flow_key& flow, search& it, time_point now);
    void ask_waiting(search& it, time_point now);

    owner_search_options options_;
    hooks hooks_;
    std::unordered_map<flow_key, search> searches_;
};

} // namespace arbutusport::relay
