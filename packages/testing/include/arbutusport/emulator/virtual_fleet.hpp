// Simulates all processes of one organisation in virtual time. It runs the same
// decision objects as arbutusd; simulated links and timers replace the network
// adapters.
#pragma once

#include <arbutusport/emulator/record_store.hpp>
#include <arbutusport/emulator/trace.hpp>
#include <arbutusport/emulator/upstream_server.hpp>
#include <arbutusport/emulator/virtual_links.hpp>
#include <arbutusport/emulator/virtual_time.hpp>
#include <arbutusport/wire/make_keyring.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace arbutusport::emulator {

struct fleet_options {
    std::uint64_t seed = 1;
    std::size_t large_text = 64 * 1024;
    /// Overrides the drain time-outs of the records if above zero.
    duration drain_timeout{};
    /// Receives each datagram for a client.
    std::function<void(const flow_key&, const bytes&)> to_client;
    /// Process whose first run is recorded; empty for none.
    std::string record_process;
    std::ostream* record_to = nullptr;
};

/// @brief One emulated instance.
struct virtual_process {
    std::string name;
    process_id id;
    std::string data_centre;
    endpoint packets;
    endpoint control;
    /// Empty for entries.
    std::string service;
    /// While the process runs, exactly one of `entry` and `host` is set.
    std::unique_ptr<node::entry_node> entry;
    std::unique_ptr<node::host_node> host;
    std::unique_ptr<upstream_server> upstream;
    wire::keyring_ptr keys;
    /// Number of starts; events of an earlier run are discarded.
    std::uint64_t starts = 0;
    time_point suspended_until;
    /// Input that arrived while the process was suspended.
    std::vector<std::function<void()>> pending_input;
    /// Configuration generation that this run applied last.
    std::optional<generation> in_force;

    bool running() const { return entry || host; }
    link_end end() const { return {name, data_centre}; }
    node::control_plane& control_plane() const {
        return entry ? entry->control() : host->control();
    }
};

struct fleet_counters {
    std::map<std::string, std::uint64_t> drops;
    /// Number of changes of a process to an older generation.
    std::uint64_t reverted_generations = 0;
    std::uint64_t refused_configurations = 0;
    /// When each generation was published, and when the last process applied
    /// it.
    std::map<generation, time_point> published;
    std::map<generation, time_point> last_in_force;
};

class virtual_fleet {
public:
    virtual_fleet(fleet_options options, record_store& store,
                  virtual_links& links, virtual_time& clock);

    void kill(const std::string& pattern);
    /// @brief Replaces the process by a new one without state; also starts the
    /// upstream if it was killed.
    void restart(const std::string& pattern);
    void freeze(const std::string& pattern, duration lasting);
    void set_upstream(const std::string& pattern, const std::string& setting);
    /// @brief Marks the instances as leaving in the platform's instance list.
    void mark_as_leaving(const std::string& pattern);
    /// @brief Ends the recording, if any.
    void finish_recording();
    /// @brief Sends random, altered and wrongly signed packets to every
    /// process.
    void send_forged_packets();

    /// @brief Delivers a client's datagram to a random entry that the fabric
    /// uses.
    void receive_from_client(const flow_key& flow, const bytes& datagram);

    const std::vector<std::unique_ptr<virtual_process>>& processes() const {
        return processes_;
    }
    const fleet_counters& counters() const { return counters_; }
    void record_publication(generation published);
    /// @brief Executions of all upstreams, including those of killed hosts.
    history upstream_events() const;

private:
    using process = virtual_process;

    void add_processes();
    void start(process& it);
    std::optional<duration> drain_timeout() const;
    std::vector<process*> find_matching(const std::string& pattern);
    process* find_by_packet_endpoint(const endpoint& it);
    process* find_by_control_endpoint(const endpoint& it);

    /// Runs `body` for the process, now or when its suspension ends.
    void run_or_defer(process& it, std::function<void()> body);
    void tick(process& it, std::uint64_t run);
    void tick_upstream(process& it);
    void start_recording(const process& it, const trace_header& header);
    /// Passes an input to the process and records it.
    node_result feed(process& to, const node_input& it);
    void feed_and_perform(process& to, const node_input& it);
    void perform(process& from, node::outputs actions);
    void send_packet(process& from, const node::send_packet& it);
    void receive_packet(process& to, const bytes& data, const endpoint& from);
    void send_sync(process& from, const node::send_sync& it);
    void watch_configuration(process& from, const node::watch_head& it,
                             time_point end);
    void fetch_configuration(process& from, const node::fetch_records& it);
    void apply_configuration(process& at,
                             const records::snapshot_ptr& snapshot);
    void receive_from_upstream(process& at, const std::vector<datagram>& sent);
    void publish_instance_list();

    fleet_options options_;
    record_store& store_;
    virtual_links& links_;
    virtual_time& clock_;
    boost::random::mt19937_64 random_;
    std::vector<std::unique_ptr<process>> processes_;
    // Entries that the fabric uses; it detects a killed one after a second.
    std::set<std::string> fabric_entries_;
    std::set<std::string> leaving_;
    history killed_upstream_events_;
    fleet_counters counters_;
    std::optional<trace_writer> recorder_;
};

} // namespace arbutusport::emulator
