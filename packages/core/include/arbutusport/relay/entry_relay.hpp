// Decision logic of an entry that forwards flows without inspecting their
// payload: host selection for new flows, forwarding of known flows to their
// owner, and the search for the owner of unknown flows. Nothing is reset
// because a host or a route is missing from the directory unless a read barrier
// shows that the directory was complete when the packet arrived.
#pragma once

#include <arbutusport/base/lru_map.hpp>
#include <arbutusport/relay/directory.hpp>
#include <arbutusport/relay/evacuation_table.hpp>
#include <arbutusport/relay/events.hpp>
#include <arbutusport/relay/host_changes.hpp>
#include <arbutusport/relay/host_peers.hpp>
#include <arbutusport/relay/owner_search.hpp>
#include <arbutusport/relay/peer_entries.hpp>
#include <arbutusport/relay/placement.hpp>
#include <arbutusport/relay/read_barrier.hpp>
#include <arbutusport/relay/segment.hpp>

#include <functional>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace arbutusport::relay {

struct entry_relay_options {
    incarnation run;
    machine_address self;
    data_centre_id data_centre;
    /// Machines of other entries; some may be down.
    std::vector<machine_address> seeds;
    /// Time without an answer to an opening packet after which it is also sent
    /// to another host. A round trip to another data centre takes about 15 ms,
    /// and a process on a CPU-limited core may stall for about 50 ms more. The
    /// client itself retransmits only after 200 ms.
    duration answer_timeout = std::chrono::milliseconds(70);
    /// Lifetime of a pending opening packet; clients give up after 1.4 s.
    duration open_timeout = std::chrono::milliseconds(1500);
    /// For this long after the first directory was received, no flow is
    /// declared lost. Hellos from other entries name departed hosts and take a
    /// round trip of 15 ms.
    duration min_startup_wait = std::chrono::milliseconds(60);
    /// Upper limit of the wait for entries that have not answered yet; covers
    /// two repeated hellos and a busy process.
    duration max_startup_wait = std::chrono::milliseconds(400);
    /// The wait ends early after answers from this many entries that have run
    /// for longer.
    std::size_t established_answers = 2;
    /// If this many entries have answered, and all of them have just started
    /// too, no entry can name a departed host; one that has run for longer
    /// would have answered two hellos within this time.
    std::size_t fresh_answers = 3;
    duration fresh_fleet_wait = std::chrono::milliseconds(150);
    /// After the wait, departed hosts that others named report within this
    /// time.
    duration departed_report_time = std::chrono::milliseconds(200);
    /// Further hosts that receive one opening packet without a retransmission
    /// by the client.
    std::size_t max_hedges = 2;
    /// Number of times one opening packet may be returned by hosts before the
    /// client's connection is reset.
    std::size_t max_returns = 4;
    /// Packets without a route that wait for a read barrier: their number, one
    /// for each flow, and how long they are kept. A store answers within 240 ms
    /// even if it is slow.
    std::size_t max_undecided = 1024;
    duration undecided_timeout = std::chrono::milliseconds(800);
    /// The operator may evacuate data centres, so this process needs to know
    /// for which this was requested before it places a flow, and passes it on.
    /// Without it, messages about evacuations are sent after the first one
    /// only.
    bool expects_evacuations = false;
    /// After this time with a directory it places flows without that
    /// knowledge: a fleet whose store is down at its first start has no other
    /// source. Six requests to a peer.
    duration max_evacuations_wait = std::chrono::seconds(3);
    std::size_t max_hints = 500'000;
    std::size_t max_openings = 8192;
    /// A longer interval between two ticks means that the process was
    /// suspended.
    duration pause_limit = std::chrono::milliseconds(1500);
    directory_options directory;
    host_peer_options peers;
    /// Send limit of whole directories.
    byte_budget_options directories = directory_sender_options{}.budget;
    placement_options placement;
    owner_search_options search;
    read_barrier_options barrier;
};

/// @brief Result of a read of the store on demand.
struct store_read {
    revision as_of;
    /// `items` are the complete contents, because the changes are no longer
    /// available.
    bool is_listing = false;
    std::vector<directory_change> items;
};

struct entry_relay_hooks {
    /// Sends a client's packet, with its mark, to the relay process on a
    /// host's machine.
    std::function<void(machine_address, routing_mark, byte_view)> forward;
    /// Sends the client a reset with the service's address as its source.
    std::function<void(const flow_key&, std::uint32_t sequence)> reset;
    std::function<void(machine_address, const message&)> send;
    /// Decodes a client's packet from a packet_returned message.
    std::function<std::optional<segment>(byte_view)> decode;
    /// Requests a new listing of the store, because this process was suspended
    /// or its watch makes no progress.
    std::function<void(const char* reason)> restart_reading;
    /// Starts reading the store after the given revision, or stops it. Called
    /// on changes only; reading is enabled initially.
    std::function<void(bool reads, revision after)> set_reading_enabled;
    /// Reads the changes after the revision without waiting for new ones,
    /// whether or not reading is enabled. Must be answered by on_store_read()
    /// or on_store_read_failed() with the same number.
    std::function<void(std::uint64_t id, revision after)> read_store;
    std::function<void(const event&)> report;
    /// Records a latency. The set of names is fixed in the code.
    std::function<void(const char* name, duration)> record_latency =
        [](const char*, duration) {};
};

/// @brief Not thread-safe.
class entry_relay {
public:
    entry_relay(entry_relay_options options, entry_relay_hooks hooks);

    void on_client(const segment& packet, time_point now);
    void on_message(machine_address from, const message& it, time_point now);
    /// @brief Must be called about every 10 ms.
    void on_tick(time_point now);
    /// @brief Adds other entries after a change of the settings.
    void add_entries(const std::vector<machine_address>& machines,
                     time_point now);
    /// @brief Must be called after each batch of packets or messages.
    void flush(time_point now);

    /// @brief Results of reading the store.
    void on_listing(revision as_of, std::vector<directory_change> items,
                    time_point now);
    void on_changes(revision as_of, const std::vector<directory_change>& items,
                    time_point now);
    void on_store_error(time_point now);
    void on_store_read(std::uint64_t id, store_read it, time_point now);
    void on_store_read_failed(std::uint64_t id, time_point now);

    /// @brief True if the entry has a directory, has the flows of its data
    /// centre or has waited long enough for them, and reaches at least one host
    /// process.
    bool is_ready(time_point now) const;
    const directory& known() const { return directory_; }
    /// @brief Whether the machine is in the own data centre; empty if unknown.
    std::optional<bool> is_near(machine_address machine) const;
    std::size_t hints() const { return hints_.size(); }
    const evacuation_table& evacuations() const { return evacuations_; }
    /// @brief Flows at the hosts of the own data centre while it is evacuated,
    /// as last reported; 0 otherwise.
    std::uint64_t flows_to_evacuate() const;

private:
    // A flow whose owner is known. Two hosts may have accepted copies of one
    // opening packet; the client's acknowledgement identifies the host whose
    // connection the client uses.
    struct hint {
        machine_address owner;
        service_tag service;
        std::uint32_t client_start = 0;
        std::uint32_t host_start = 0;
        machine_address alternative;
        service_tag alternative_service;
        std::uint32_t alternative_start = 0;
    };
    // An opening packet that has not been accepted by any host yet.
    struct opening {
        std::uint32_t client_start = 0;
        service_id service;
        bytes datagram;
        std::vector<machine_address> tried;
        std::size_t hedges = 0;
        std::size_t returns = 0;
        time_point first_at;
        time_point due;
    };

    // A packet that has no route according to the directory.
    struct undecided_packet {
        bytes datagram;
        time_point arrived_at;
    };

    void handle_client(const segment& packet, bool is_confirmed,
                       time_point now);
    void on_unrouted(const segment& packet, bool is_confirmed, time_point now);
    void on_opening(const segment& packet, time_point now);
    std::optional<service_id> accepted_service(const segment& packet,
                                               const hint& accepted) const;
    void await_barrier(const segment& packet, time_point now);
    void decide_waiting(time_point now);
    void advance_barrier(time_point now);
    void on_known_flow(const segment& packet, hint& known, time_point now);
    bool place_flow(const flow_key& flow, opening& pending, time_point now);
    std::optional<host_choice> next_host(const flow_key& flow, opening& pending,
                                         time_point now);
    std::optional<host_choice> best_host(const flow_key& flow,
                                         service_id service,
                                         std::span<const machine_address> tried,
                                         time_point now) const;
    void search_owner(const segment& packet,
                      std::optional<machine_address> denied, time_point now);
    std::vector<owner_search::target> search_targets(const flow_key& flow,
                                                     time_point now) const;
    void reset_unowned_flow(const owner_search::conclusion& it);
    std::array<event_input, max_event_inputs>
    conclusion_inputs(const owner_search::conclusion& it) const;
    event_input version_input() const;
    event_input as_of_input() const;
    time_point hosts_complete_until(time_point now) const;
    bool has_heard_entries(time_point now) const;
    void hedge_openings(time_point now);
    void choose_reader(time_point now);
    peer_entries::local_status local_status(time_point now);
    void send_hellos(time_point now);
    void send_hello(machine_address machine, time_point now);

    void on_report(machine_address from, const load_report& it, time_point now);
    void on_flow(machine_address from, const owned_flow& owned, time_point now);
    void on_returned(machine_address from, const packet_returned& returned,
                     time_point now);
    void apply_changes(revision as_of,
                       const std::vector<directory_change>& items,
                       time_point now);
    void on_directory_changed(const char* reason, time_point now);
    bool is_known_machine(machine_address it) const;
    void report(event it) const;
    void report_ignored(const char* what, revision at) const;
    void report_restore();

    bool handles_evacuations() const;
    bool apply_evacuations(const std::vector<directory_change>& items);
    void advance_evacuations(revision as_of, time_point now);
    bool read_again(const char* reason, time_point now);
    revision reading_position() const;
    bool needs_listing() const;
    void on_intent(const operator_intent& it, time_point now);
    void send_intent(std::span<const machine_address> to) const;
    void repeat_intent();
    void on_evacuations_changed(const char* reason, time_point now);
    bool has_hosts(data_centre_id it) const;
    void check_evacuations(time_point now);
    void check_refused_evacuations(time_point now);
    bool awaits_evacuations(time_point now) const;
    void ask_for_evacuations(time_point now);
    bool is_evacuated(const route& it) const;

    entry_relay_options options_;
    entry_relay_hooks hooks_;
    directory directory_;
    evacuation_table evacuations_;
    // The requests that were last reported and followed.
    std::vector<evacuation> in_force_;
    host_peers peers_;
    peer_entries entries_;
    owner_search search_;
    read_barrier barrier_;
    std::unordered_map<flow_key, undecided_packet> undecided_;
    // The barrier's evidence when `undecided_` was last checked.
    time_point decided_until_ = time_point::min();
    lru_map<flow_key, hint> hints_;
    std::unordered_map<flow_key, opening> openings_;
    std::uint64_t last_digest_ = 0;
    // Era of the store at the last tick with a directory; 0 before.
    store_era era_;
    host_changes host_changes_;
    std::optional<time_point> last_tick_;
    // When the first usable directory was received.
    std::optional<time_point> directory_at_;
    // When the answers of other entries at the start sufficed.
    std::optional<time_point> entries_heard_at_;
    time_point last_reread_at_;
    // True while this process reads the store for its data centre.
    bool reading_ = true;
    // The store rejected this process and has not answered since. Other
    // entries keep reading until it does.
    bool awaits_store_answer_ = false;
    // The position from which the own watch continues.
    revision watched_until_;
    // Rounds of hellos in which the table still goes to the whole data centre.
    int intent_repeats_ = 0;
    time_point asked_evacuations_at_;
    // Requests for the table so far.
    std::size_t asked_ = 0;
    std::set<data_centre_id> reported_without_hosts_;
    // Set while the table lacks refused requests: the data centres that had
    // hosts at the last listing.
    std::optional<std::set<data_centre_id>> refused_with_;
};

} // namespace arbutusport::relay
