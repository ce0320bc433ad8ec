// Discrete-event simulation of the relay: entries, host processes, hosts and
// clients in virtual time. Packets and messages are delayed events; no network
// is used. It checks two invariants: no flow of a live host is reset, and no
// host receives a flow of another service.
#pragma once

#include <arbutusport/emulator/relay_world_store.hpp>
#include <arbutusport/relay/entry_relay.hpp>
#include <arbutusport/relay/host_relay.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace arbutusport::emulator {

struct relay_world_options {
    std::size_t entries = 3;
    std::size_t hosts = 6;
    /// Entries and hosts belong to the data centres in turn.
    std::size_t data_centres = 1;
    std::uint64_t seed = 1;
    duration delay = std::chrono::milliseconds(1);
    /// Fraction of packets and messages that are dropped.
    double loss = 0;
    /// Speed of each entry's link for the messages that it sends, which the
    /// entry knows, and how many bytes may wait for it; what exceeds them is
    /// lost. 0: no limit.
    double link_bytes_per_second = 0;
    std::size_t link_queue_bytes = 64 * 1024;
    /// The service that reuse_address() and change_route() use.
    service_id other_service = service_id_of("acervo");
    /// Send limit for the searches of each entry.
    double search_bytes_per_second = 31e6;
    /// Hosts that boot are cold for this long, and bear so many opening packets
    /// a second, as the configuration states; 0: no limit.
    duration warmup{};
    double warmup_rate = 0;
    /// If empty, the processes do not limit cold hosts.
    std::optional<relay::warmup_bounds> warmup_bounds;
    /// Host processes return opening packets of draining hosts.
    bool returns_draining = false;
    /// See relay::entry_relay_options.
    bool expects_evacuations = false;
};

/// @brief Extra delay by index of the packet or message, or empty to drop it.
/// All others take the usual delay.
using deviations = std::map<std::size_t, std::optional<duration>>;

/// @brief Messages of one type, without packets, by path.
struct message_count {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

struct path_counts {
    message_count within_data_centre;
    message_count between_data_centres;
};

/// @brief Violated invariants, one line each.
using violations = std::vector<std::string>;

class relay_world {
public:
    explicit relay_world(relay_world_options options);
    ~relay_world();

    /// @brief Runs events up to `until` on the virtual clock, which starts at
    /// 0.
    void run_until(duration until);
    void run_for(duration time) { run_until(now_ + time); }
    /// @brief Applies deviations and restarts the packet and message index at
    /// 0.
    void set_deviations(deviations choices);
    /// @brief Number of packets and messages since set_deviations().
    std::size_t transfer_count() const { return transfer_count_; }
    std::size_t entry_count() const { return options_.entries; }
    duration now() const { return now_; }

    /// @brief Opens a flow through the entry and returns its index. Only port
    /// 443 of the service address has a route.
    std::size_t open_flow(std::size_t entry, std::uint16_t service_port = 443);
    /// @brief The client abandons the flow and opens another one from the same
    /// port, through the entry.
    void reuse_port(std::size_t flow, std::size_t entry);
    /// @brief Sends a request on a flow through the entry.
    void send_request(std::size_t flow, std::size_t entry);
    /// @brief The client acknowledges what it has received, and sends no data.
    void acknowledge(std::size_t flow, std::size_t entry);

    bool is_open(std::size_t flow) const;
    bool is_reset(std::size_t flow) const;
    std::uint64_t answers(std::size_t flow) const;
    /// @brief Index of the host that owns the flow; the number of hosts if no
    /// host does.
    std::size_t owning_host(std::size_t flow) const;

    /// @brief From now on the entry behaves as one of a build that knows no
    /// eras of the store and no evacuations.
    void disregard_eras(std::size_t entry);
    /// @brief Restarts the entry as one of a build that knows neither
    /// evacuations nor limits of cold hosts.
    void restart_as_previous_build(std::size_t entry);
    void kill_entry(std::size_t entry);
    void start_entry(std::size_t entry);
    /// @brief Drops all traffic between the entry and entries or hosts; clients
    /// still reach it.
    void set_entry_isolated(std::size_t entry, bool isolated);
    void kill_host_process(std::size_t host);
    void start_host_process(std::size_t host);
    /// @brief The host process announces that it is about to end.
    void begin_stop_of_host_process(std::size_t host);
    /// @brief The host loses its flows and stops listening.
    void crash_host(std::size_t host);
    /// @brief Boots the host anew and registers it at once.
    void boot_host(std::size_t host);
    /// @brief Publishes the host as draining.
    void drain_host(std::size_t host);
    /// @brief The host accepts no connections, but still serves its flows.
    void close_listener(std::size_t host);
    /// @brief Removes the host's registration from the store.
    void unregister_host(std::size_t host);
    /// @brief A silent host receives packets, but never answers.
    void set_host_silent(std::size_t host, bool silent);
    /// @brief Assigns the host's address to a host of another service.
    void reuse_address(std::size_t host);
    /// @brief The host's registration as it would publish it now.
    relay::host_record record_of(std::size_t host) const;
    /// @brief Another writer puts the record into the store.
    void write_record(const relay::host_record& it);

    /// @brief Publishes a configuration that routes new flows to another
    /// service, which has no host in this world.
    void change_route();
    /// @brief Publishes a configuration with one more route, to the main
    /// service.
    void add_route(std::uint16_t service_port);
    /// @brief Publishes a configuration with so many more routes, at addresses
    /// that no client uses.
    void add_idle_routes(std::size_t count);

    /// @brief The operator requests to evacuate the data centre, or takes the
    /// request back. Entries and hosts belong to the first data centres.
    void evacuate(std::size_t data_centre);
    void take_back(std::size_t data_centre);
    static relay::data_centre_id data_centre(std::size_t index) {
        return relay::data_centre_id(1 + index);
    }

    /// @brief Keeps a copy of the store's present contents.
    void back_up_store();
    /// @brief The store returns to the copy, revisions included; readers list
    /// it at once.
    void restore_store();
    /// @brief The operator and the registered hosts write what a restored store
    /// has lost.
    void write_again();

    /// @brief From now on all messages of the type are lost, or none.
    void drop_messages(const std::string& type, bool dropped);
    /// @brief The entry loses access to the store.
    void disconnect_store(std::size_t entry);
    void reconnect_store(std::size_t entry);
    /// @brief Changes of the store reach the entry this much later, as between
    /// two watches.
    void delay_changes(std::size_t entry, duration delay);
    /// @brief All registrations expire and no entry can read the store, as in a
    /// store outage.
    void expire_all_registrations();

    /// @brief Messages sent by entries and host processes so far, by type.
    const std::map<std::string, path_counts>& sent_messages() const {
        return sent_messages_;
    }
    /// @brief Messages that the entry has sent and received so far.
    message_count traffic_of_entry(std::size_t entry) const;
    std::uint64_t bytes_sent_by_entries() const { return entry_bytes_; }
    std::uint64_t resets() const { return resets_; }
    std::uint64_t flows_placed_at(std::size_t host) const;
    /// @brief Number of opening packets that entries have sent to the host's
    /// process, copies, lost and returned ones included.
    std::uint64_t openings_sent_to(std::size_t host) const;
    /// @brief When the host received the first opening packet of each of its
    /// flows, in ascending order.
    const std::vector<duration>& openings_at(std::size_t host) const;
    /// @brief Store calls so far that succeeded, and that were rejected.
    std::uint64_t store_answers() const { return store_answers_; }
    std::uint64_t store_refusals() const { return store_refusals_; }
    /// @brief Number of entries that currently read the store, and the index of
    /// the first of them.
    std::size_t reader_count() const;
    std::size_t first_reader() const;
    /// @brief Number of times that an entry started to read the store after
    /// its start.
    std::uint64_t reader_changes() const { return reader_changes_; }
    bool reads_store(std::size_t entry) const;
    bool is_entry_ready(std::size_t entry) const;
    const relay::evacuation_table& evacuations_of(std::size_t entry) const;
    /// @brief Events with the name that entries have reported so far.
    std::size_t count_events(const std::string& name) const;
    const relay::directory& directory_of(std::size_t entry) const;
    const violations& found_violations() const { return violations_; }

    /// @brief Fields of a simulated packet.
    struct packet_fields {
        flow_key flow;
        std::uint32_t sequence = 0;
        std::uint32_t acknowledged = 0;
        std::uint16_t payload = 0;
        bool syn = false;
        bool ack = false;
        bool returned = false;
    };

private:
    struct flow_state;
    struct host_state;
    struct entry_state;

    void schedule(duration delay, std::function<void()> action);
    /// @brief Delay of the next packet or message; empty if it is dropped.
    std::optional<duration> next_transfer_delay();
    /// @brief How long a message waits for the sender's link; empty if it is
    /// lost there.
    std::optional<duration> link_delay(relay::machine_address from,
                                       std::size_t byte_count);
    bool is_isolated(relay::machine_address machine) const;
    bool is_previous_build(relay::machine_address machine) const;
    time_point time() const { return time_point(now_); }
    void tick();
    void publish_registration(std::size_t host);
    void deliver_listing(std::size_t entry);
    void answer_read(std::size_t entry, std::uint64_t id);
    /// @brief The store's position and items as the entry's build sees them.
    relay::revision position_for(std::size_t entry) const;
    std::vector<relay::directory_change> items_for(std::size_t entry) const;
    relay::directory_change change_for(std::size_t entry,
                                       relay::directory_change it) const;
    bool understands(relay::machine_address machine,
                     const relay::message& message) const;
    void send_change(const relay::directory_change& change);
    void send_to_host(relay::machine_address from, relay::machine_address to,
                      relay::routing_mark mark, byte_view data);
    relay::data_centre_id data_centre_of(relay::machine_address machine) const;
    void count_message(relay::machine_address from, relay::machine_address to,
                       const relay::message& message);
    void send_message(relay::machine_address from, relay::machine_address to,
                      const relay::message& message);
    void deliver_to_host(std::size_t host, relay::machine_address via,
                         const bytes& packet);
    void send_answer(std::size_t host, const packet_fields& fields);
    void deliver_to_client(const flow_key& flow, const bytes& packet);
    void on_reset(const flow_key& flow, const std::string& sender);
    void send_packet(const flow_state& flow, std::size_t entry,
                     const packet_fields& fields);
    void retransmit(std::size_t flow, std::size_t entry, std::uint64_t request,
                    duration interval);
    std::size_t index_of(const flow_key& flow) const;
    void send_openings(std::size_t flow, std::size_t entry);

    relay_world_options options_;
    duration now_{};
    std::uint64_t random_;
    relay_world_store store_;
    relay_world_store backup_;
    // The operator's newest configuration.
    relay::routing_document routing_;
    std::vector<std::unique_ptr<entry_state>> entries_;
    std::vector<std::unique_ptr<host_state>> hosts_;
    std::vector<flow_state> flows_;
    // Ordered by time, then by creation.
    std::map<std::pair<duration, std::uint64_t>, std::function<void()>> events_;
    std::uint64_t next_event_ = 0;
    deviations deviations_;
    std::size_t transfer_count_ = 0;
    std::uint64_t entry_bytes_ = 0;
    std::map<std::string, path_counts> sent_messages_;
    std::set<std::string> dropped_types_;
    std::map<std::string, std::size_t> event_counts_;
    std::uint64_t reader_changes_ = 0;
    std::uint64_t resets_ = 0;
    std::uint64_t store_answers_ = 0;
    std::uint64_t store_refusals_ = 0;
    violations violations_;
};

} // namespace arbutusport::emulator
