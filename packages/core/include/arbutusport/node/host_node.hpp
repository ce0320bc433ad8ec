// Decision logic of the process beside an upstream, without I/O. Network
// adapters, scenarios and trace replay all drive this object.
#pragma once

#include <arbutusport/flows/flow_owner.hpp>
#include <arbutusport/node/control_plane.hpp>
#include <arbutusport/node/outputs.hpp>
#include <arbutusport/requests/request_broker.hpp>

#include <optional>

namespace arbutusport::node {

struct host_node_options {
    process_id self;
    incarnation run;
    service_id service;
    std::string data_centre;
    std::vector<endpoint> seeds;
    /// True if this process is a seed of other processes.
    bool is_seed = false;
    std::uint64_t seed = 0;
    flows::flow_options flows;
    requests::broker_options requests;
    /// Overrides the drain time-out of the service record.
    std::optional<duration> drain_timeout;
};

/// @brief Not thread-safe; the caller serialises all calls.
class host_node {
public:
    explicit host_node(host_node_options options);

    /// @brief Handles a verified packet from another process.
    outputs on_packet(wire::packet message, const endpoint& from,
                      time_point now);
    outputs on_upstream(byte_view datagram, time_point now);
    /// @brief Call every 10 ms.
    outputs on_tick(time_point now);

    /// @brief Access for configuration inputs. The caller executes the outputs
    /// that they return.
    control_plane& control() { return control_; }
    const control_plane& control() const { return control_; }

    /// @brief Handles the platform's list of instances.
    outputs on_instances(const std::vector<listed_instance>& list,
                         time_point now);
    /// @brief Begins a planned stop, which is irreversible: the host accepts no
    /// new flows, and sessions end by notice within `limit`.
    outputs stop(time_point now, duration limit);
    bool is_draining() const { return is_leaving_ || is_drained_by_record_; }
    bool is_drained() const { return is_draining() && broker_.is_drained(); }

    const flows::flow_owner& flows() const { return flows_; }
    const requests::request_broker& broker() const { return broker_; }

private:
    outputs on_config(const records::snapshot_ptr& snapshot, time_point now);
    outputs on_remote_request(const wire::packet& message, time_point now);
    /// Begins to leave. An active record doesn't reverse this.
    void leave(time_point now);
    /// Accepts no new flows until the host record is active again.
    void drain_by_record(time_point now);
    void end_drain_by_record();
    duration drain_timeout() const;
    outputs convert(flows::flow_actions actions, time_point now);
    outputs convert(requests::broker_actions actions, time_point now);
    void append_output(requests::broker_action action, outputs& out,
                       time_point now);
    void send_execute(const requests::execute_remotely& action, outputs& out);
    void send_execute_reply(const requests::send_remote_response& action,
                            outputs& out) const;
    /// True if the host is down, out or not in the configuration.
    bool is_unavailable(process_id id) const;
    const records::host* find_host_record(process_id id) const;

    host_node_options options_;
    control_plane control_;
    flows::flow_owner flows_;
    requests::request_broker broker_;
    // Index of the next peer to execute a retry, in round-robin order.
    std::uint64_t next_retry_peer_ = 0;
    // Set by a planned stop, by the platform's list, or because a later process
    // has the same name. Never reset.
    bool is_leaving_ = false;
    // True while the own host record is missing, draining or out.
    bool is_drained_by_record_ = false;
    // Time of the call in progress, for the on_closed callback of flows_.
    time_point now_;
};

} // namespace arbutusport::node
