// All decisions of the process beside a host that carries flows without
// reading them: which flows the host has, what goes back to entries, and what
// clients are told when the host dies.
#pragma once

#include <arbutusport/relay/events.hpp>
#include <arbutusport/relay/load_meter.hpp>
#include <arbutusport/relay/messages.hpp>
#include <arbutusport/relay/segment.hpp>

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace arbutusport::relay {

struct host_relay_options {
    incarnation run;
    service_tag service;
    /// When this process started, by the machine's clock.
    unix_milliseconds started{};
    /// A host that started at most this long before this process has no flow
    /// from a time of an earlier process: a process is started again only
    /// half a second after its end.
    std::uint64_t restart_gap_ms = 400;
    /// Until an entry tells the configured value.
    duration idle_timeout = std::chrono::seconds(15);
    /// An accepted opening that the client does not confirm in this time is
    /// not counted as a flow; clients confirm one of several hosts.
    duration confirm_timeout = std::chrono::seconds(3);
    /// How long a packet of an unknown flow is remembered, for what the host
    /// sends: the packet itself, or its answer. As long as a search.
    duration offer_memory = std::chrono::seconds(4);
    /// A closed flow is remembered for late packets.
    duration closed_memory = std::chrono::seconds(3);
    /// A registration that no entry has repeated for this long is unknown;
    /// hellos come every 400 ms.
    duration registration_memory = std::chrono::milliseconds(1500);
    /// A host that accepts no connections and does not react to any packet
    /// for this long has ended.
    duration leaving_silence = std::chrono::milliseconds(400);
    /// An entry that is silent for this long gets no announcements.
    duration entry_memory = std::chrono::seconds(5);
    std::size_t max_flows = 200'000;
    std::size_t max_offers = 8192;
};

struct host_relay_hooks {
    /// Gives a client's packet to the host. `via` comes back with the packet
    /// if the host returns it.
    std::function<void(machine_address via, byte_view)> deliver;
    std::function<void(const flow_key&, byte_view)> to_client;
    std::function<void(const flow_key&, std::uint32_t sequence)> reset;
    std::function<void(machine_address, const message&)> send;
    std::function<void(const event&)> report;
};

/// @brief Not thread-safe.
class host_relay {
public:
    host_relay(host_relay_options options, host_relay_hooks hooks,
               time_point now);

    /// @brief A client's packet from an entry.
    void on_entry(machine_address from, const segment& it, time_point now);
    /// @brief Any packet from the host, returned ones as well.
    void on_host(const segment& it, time_point now);
    void on_message(machine_address from, const message& it, time_point now);
    /// @brief Call every 50 ms or so.
    void on_tick(time_point now);

    /// @brief The host accepts connections.
    void on_host_alive(time_point now);
    /// @brief Nothing listens at the host's address. If it was not draining,
    /// it has crashed and its flows are gone; a draining host may have closed
    /// its listener while it still serves.
    void on_host_refuses(time_point now);

    host_state state() const { return state_; }
    std::size_t flows() const { return flows_.size(); }

private:
    struct owned {
        std::uint32_t client_start = 0;
        std::uint32_t host_start = 0;
        /// The client's last acknowledgement, for a reset.
        std::uint32_t acknowledged = 0;
        data_centre_id via;
        time_point used_at;
        // The client confirmed this host.
        bool confirmed = false;
        // The host sent more than its answer to the opening packet.
        bool held_by_host = false;
        // A request is at the host.
        bool busy = false;
        bool client_closed = false;
        bool host_closed = false;
    };
    // A packet of an unknown flow that the host was given on trial.
    struct offer {
        machine_address entry;
        time_point due;
        std::uint32_t sequence = 0;
        bool searched = false;
    };
    struct entry {
        data_centre_id data_centre;
        time_point heard_at;
    };

    void on_opening(machine_address from, const segment& it, time_point now);
    void on_unknown_flow(machine_address from, const segment& it,
                         time_point now);
    void take_from_client(machine_address from, owned& flow, const segment& it,
                          time_point now);
    void on_returned(const segment& it, time_point now);
    void deny(machine_address to, const segment& it, return_reason reason);
    void give_back(machine_address to, const segment& it, return_reason reason);
    owned& learn(const segment& it, time_point now);
    void erase(const flow_key& flow, time_point now);
    void announce(const flow_key& flow, const owned& it, time_point now,
                  machine_address also = {});
    void on_query(machine_address from, const flow_query& it, time_point now);
    void on_registration(registration it, time_point now);
    void set_state(host_state it, time_point now);
    void end_all_flows(time_point now);
    void deliver(machine_address via, const segment& it, time_point now);
    void set_busy(owned& it, bool busy, time_point now);
    bool knows_all_flows(time_point now) const;
    load_report make_report(time_point now);
    flows_here make_flows_here() const;
    void send_flows(machine_address to, data_centre_id data_centre,
                    time_point now);
    data_centre_id data_centre_of(machine_address entry) const;

    host_relay_options options_;
    host_relay_hooks hooks_;
    std::unordered_map<flow_key, owned> flows_;
    std::unordered_map<flow_key, offer> offers_;
    std::unordered_map<machine_address, entry> entries_;
    load_meter load_;
    host_state state_ = host_state::alive;
    // Entries' last word on the registration, and when it came.
    registration registered_ = registration::unknown;
    time_point registered_at_;
    // When a packet was given to a host that is leaving and nothing has come
    // from it since.
    std::optional<time_point> unanswered_since_;
    // From here on every flow of the host was seen to open.
    time_point complete_since_;
    time_point swept_at_;
};

} // namespace arbutusport::relay
