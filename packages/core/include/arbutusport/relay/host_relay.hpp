// Decision logic of the relay process on a host's machine, which forwards flows
// without inspecting their payload: tracks the host's flows, returns packets to
// entries, and resets clients' connections when the host ends.
#pragma once

#include <arbutusport/relay/events.hpp>
#include <arbutusport/relay/host_silence.hpp>
#include <arbutusport/relay/load_meter.hpp>
#include <arbutusport/relay/messages.hpp>
#include <arbutusport/relay/opening_gate.hpp>
#include <arbutusport/relay/segment.hpp>
#include <arbutusport/relay/work_meter.hpp>

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace arbutusport::relay {

struct host_relay_options {
    incarnation run;
    service_id service;
    /// Start time of this process by the machine's clock.
    unix_milliseconds started{};
    /// A host that started at most this long before this process has no flows
    /// from an earlier process: a process is restarted no sooner than half a
    /// second after its end.
    std::uint64_t restart_gap_ms = 400;
    /// Used until an entry has sent the configured value.
    duration initial_idle_timeout = std::chrono::seconds(15);
    /// An accepted flow that the client does not confirm within this time is
    /// removed. If several hosts accept copies of an opening packet, the client
    /// confirms only one of them.
    duration confirm_timeout = std::chrono::seconds(3);
    /// How long a packet of an unknown flow is kept pending, to match it with
    /// the host's reaction: the returned packet or an answer. Equals the time
    /// for which a search is kept.
    duration pending_delivery_timeout = std::chrono::seconds(4);
    /// A closed flow is kept this long for late packets.
    duration closed_flow_retention = std::chrono::seconds(3);
    /// A request that the host has not answered this long after its FIN is
    /// taken for broken off. Packets overtake each other by less, and the host
    /// repeats a lost one after 200 ms and 400 ms.
    duration closed_request_timeout = std::chrono::seconds(1);
    /// A registration that has not been repeated by any entry for this long
    /// counts as unknown; hellos arrive every 400 ms.
    duration registration_timeout = std::chrono::milliseconds(1500);
    /// A host that accepts no connections and leaves packets that need an
    /// answer without one for this long counts as dead: if it is registered as
    /// ready, and otherwise. A host closes its listener soon after it
    /// registered as draining, before this process can know that.
    duration crash_timeout = std::chrono::milliseconds(200);
    duration closed_listener_timeout = std::chrono::milliseconds(400);
    /// An entry that sends nothing for this long receives no more
    /// announcements.
    duration entry_timeout = std::chrono::seconds(5);
    std::size_t max_flows = 200'000;
    std::size_t max_pending_deliveries = 8192;
    opening_gate_options opening;
};

struct host_relay_hooks {
    /// Delivers a client's packet to the host. If the host returns the packet,
    /// it carries `via` in segment::forwarding_entry.
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

    /// @brief Handles a client's packet that an entry forwarded.
    void on_entry(machine_address from, const segment& packet, time_point now);
    /// @brief Handles any packet from the host, including returned ones.
    void on_host(const segment& packet, time_point now);
    void on_message(machine_address from, const message& it, time_point now);
    /// @brief Must be called about every 50 ms.
    void on_tick(time_point now);

    /// @brief Must be called when the host accepts connections.
    void on_host_accepted(time_point now);
    /// @brief Must be called when no socket listens at the host's address. The
    /// host has crashed, or it drains and still serves its flows: then it
    /// reacts to packets.
    void on_host_refused(time_point now);

    /// @brief Announces that this process is about to end: entries place new
    /// flows elsewhere. It serves its flows as before.
    void begin_stop(time_point now);

    host_state state() const { return state_; }
    std::size_t flows() const { return flows_.size(); }
    /// @brief What the host's requests cost and what it still has to do.
    const work_meter& work() const { return work_; }
    const opening_gate& gate() const { return gate_; }
    /// @brief The data centre of an entry; 0 if unknown.
    data_centre_id data_centre_of(machine_address entry) const;

private:
    struct flow_state {
        std::uint32_t client_start = 0;
        std::uint32_t host_start = 0;
        /// The client's last acknowledgement; a reset needs it.
        std::uint32_t acknowledged = 0;
        data_centre_id via;
        time_point used_at;
        // The client has confirmed this host.
        bool confirmed = false;
        // The host has sent more than its answer to the opening packet.
        bool established_by_host = false;
        bool client_closed = false;
        bool host_closed = false;
        // When the host's first FIN arrived; meaningful if `host_closed`.
        time_point host_closed_at;
        // End of the data that each end has sent so far, to tell new data from
        // repetitions. Repeated client data may have been lost before, and
        // counts as new, if the process has not seen all earlier data.
        std::uint32_t client_data_end = 0;
        std::uint32_t host_data_end = 0;
        bool client_data_has_gap = false;
    };
    // An opening packet, or one of an unknown flow, that was delivered to the
    // host to find out whether the host accepts it.
    struct pending_delivery {
        machine_address entry;
        time_point due;
        std::uint32_t sequence = 0;
        bool searched = false;
    };
    struct entry {
        data_centre_id data_centre;
        time_point heard_at;
        // The last entry that a report to this one listed.
        machine_address last_listed;
        // 0 until known.
        duration idle_timeout{};
        incarnation run;
        // This run of the entry understands load_report::work.
        bool wants_work = false;
    };

    bool is_for_own_service(const routing_mark& mark) const;
    void on_opening(machine_address from, const segment& packet,
                    time_point now);
    bool is_copy_of_admitted(const segment& opening) const;
    void on_unknown_flow(machine_address from, const segment& packet,
                         time_point now);
    void update_from_client(machine_address from, flow_state& flow,
                            const segment& packet, time_point now);
    void on_returned(const segment& packet, time_point now);
    void reject_packet(machine_address to, const segment& packet,
                       return_reason reason);
    void return_packet(machine_address to, const segment& packet,
                       return_reason reason, const char* logged_reason);
    flow_state& find_or_add_flow(const segment& packet, time_point now);
    void erase(const flow_key& flow, time_point now);
    void announce(const flow_key& flow, const flow_state& it, bool is_new,
                  time_point now, machine_address additional_entry = {});
    void on_query(machine_address from, const flow_query& it, time_point now);
    void on_registration(registration it, time_point now);
    void set_idle_timeout(entry& sender, duration it);
    void update_idle_timeout();
    bool is_registered_ready(time_point now) const;
    bool has_no_flows(time_point now) const;
    void set_state(host_state new_state, time_point now);
    void end_all_flows(time_point now);
    void deliver(machine_address via, const segment& packet, time_point now);
    void update_load(time_point now);
    void measure_client_data(flow_state& flow, const segment& packet,
                             time_point now);
    void measure_host_data(flow_state& flow, const segment& packet,
                           time_point now);
    bool knows_all_flows(time_point now) const;
    void claim_all_flows(const char* reason, machine_address from,
                         std::int64_t host_started_ms, time_point now);
    load_report make_report(time_point now, const entry& recipient);
    host_work make_work(time_point now) const;
    std::uint16_t opening_room_share(time_point now) const;
    void send_report_to_all(time_point now);
    std::vector<machine_address> next_listed_entries(entry& recipient,
                                                     time_point now);
    owned_flows make_owned_flows() const;
    void send_flows(machine_address to, data_centre_id data_centre,
                    time_point now);

    host_relay_options options_;
    host_relay_hooks hooks_;
    std::unordered_map<flow_key, flow_state> flows_;
    std::unordered_map<flow_key, pending_delivery> pending_deliveries_;
    std::map<machine_address, entry> entries_;
    // The longest one of `entries_`, once an entry has sent one.
    duration idle_timeout_;
    load_meter load_;
    work_meter work_;
    opening_gate gate_;
    host_state state_ = host_state::alive;
    bool is_stopping_ = false;
    // The last registration that entries reported, and when it arrived.
    registration registration_ = registration::unknown;
    time_point registered_at_;
    // Of a host in state `listener_closed`.
    host_silence silence_;
    // Every flow that the host opened since then was seen by this process.
    time_point flows_complete_since_;
    time_point last_sweep_at_;
};

} // namespace arbutusport::relay
