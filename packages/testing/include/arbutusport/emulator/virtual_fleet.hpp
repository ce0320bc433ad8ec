// The processes of one organisation in virtual time: the decision objects
// that arbutusd runs, each behind a few lines in place of its adapters.
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
    /// Overrides the records' drain time-outs if above zero.
    duration drain_timeout{};
    /// Called with each datagram for a client.
    std::function<void(const flow_key&, const bytes&)> to_client;
    /// The first run of this process is recorded; empty for none.
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
    /// One of them is set while the process runs.
    std::unique_ptr<node::entry_node> entry;
    std::unique_ptr<node::host_node> host;
    std::unique_ptr<upstream_server> upstream;
    wire::keyring_ptr keys;
    /// Counts starts; an event of an earlier run is dropped.
    std::uint64_t starts = 0;
    time_point frozen_until;
    /// Input that arrived while the process was frozen.
    std::vector<std::function<void()>> waiting;
    /// Generation in force in this run.
    std::optional<generation> in_force;

    bool running() const { return entry || host; }
    link_end end() const { return {name, data_centre}; }
    node::control_plane& control_plane() const {
        return entry ? entry->control() : host->control();
    }
};

struct fleet_counts {
    std::map<std::string, std::uint64_t> drops;
    /// A process went back to an older generation.
    std::uint64_t reverted = 0;
    std::uint64_t refused = 0;
    /// Time from the last publication until every running process had it.
    std::map<generation, time_point> published;
    std::map<generation, time_point> last_in_force;
};

class virtual_fleet {
public:
    virtual_fleet(fleet_options options, record_store& store,
                  virtual_links& links, virtual_time& clock);

    void kill(const std::string& pattern);
    /// @brief A fresh process with an empty memory; a dead upstream too.
    void restart(const std::string& pattern);
    void freeze(const std::string& pattern, duration lasting);
    void set_upstream(const std::string& pattern, const std::string& setting);
    /// @brief The platform's list says from now on that these leave.
    void list_leaving(const std::string& pattern);
    /// @brief Ends the recording, if any.
    void finish_recording();
    /// @brief Sends random, altered and wrongly signed packets to everyone.
    void forge();

    /// @brief A client's datagram at a random entry that the fabric knows.
    void from_client(const flow_key& flow, const bytes& datagram);

    const std::vector<std::unique_ptr<virtual_process>>& processes() const {
        return processes_;
    }
    const fleet_counts& counts() const { return counts_; }
    void note_published(generation it);
    /// @brief Runs of all upstreams, those of dead hosts included.
    history upstream_events() const;

private:
    using process = virtual_process;

    void add_processes();
    void start(process& it);
    std::optional<duration> drain_timeout() const;
    std::vector<process*> matching(const std::string& pattern);
    process* by_packets(const endpoint& it);
    process* by_control(const endpoint& it);

    /// Runs `input` at the process, now or when it thaws.
    void input(process& it, std::function<void()> body);
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
    void watch(process& from, const node::watch_head& it, time_point end);
    void fetch(process& from, const node::fetch_records& it);
    void adopt(process& at, const records::snapshot_ptr& snapshot);
    void from_upstream(process& at, const std::vector<datagram>& sent);
    void send_list();

    fleet_options options_;
    record_store& store_;
    virtual_links& links_;
    virtual_time& clock_;
    boost::random::mt19937_64 random_;
    std::vector<std::unique_ptr<process>> processes_;
    // Entries that the fabric uses; a dead one is noticed after a second.
    std::set<std::string> fabric_entries_;
    std::set<std::string> leaving_;
    history ended_upstreams_;
    fleet_counts counts_;
    std::optional<trace_writer> recorder_;
};

} // namespace arbutusport::emulator
