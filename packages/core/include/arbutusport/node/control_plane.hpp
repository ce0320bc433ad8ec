// Membership and configuration of one process, both for entries and for hosts.
#pragma once

#include <arbutusport/config/config_sync.hpp>
#include <arbutusport/membership/membership.hpp>
#include <arbutusport/node/outputs.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace arbutusport::node {

struct control_options {
    process_id self;
    incarnation run;
    std::string data_centre;
    std::vector<endpoint> seeds;
    /// True if this process is a seed of other processes.
    bool is_seed = false;
    std::uint64_t seed = 0;
    /// Called after a newer configuration went into force.
    std::function<outputs(const records::snapshot_ptr&, time_point)> on_config;
    /// Called when a tick detects that this process was suspended.
    std::function<outputs(time_point)> on_resumed;
};

/// @brief An item of the platform's list of instances, which lags behind the
/// state of the processes.
struct listed_instance {
    process_id id;
    bool leaving = false;
};

/// @brief Passes inputs to membership and configuration and converts their
/// actions to outputs. Not thread-safe except is_down() and is_entry_down().
class control_plane {
public:
    explicit control_plane(control_options options);

    outputs on_tick(time_point now);
    /// @brief Handles a probe, probe_ack or probe_request packet.
    outputs on_probe(const wire::packet& message, const endpoint& from,
                     time_point now);
    outputs on_head(const config::head& it, time_point now);
    outputs on_records(const std::vector<records::raw_record>& read,
                       time_point now);
    outputs on_platform_error(time_point now);

    struct sync_answer {
        bytes reply;
        outputs actions;
    };
    sync_answer on_sync_request(byte_view request, time_point now);
    outputs on_sync_reply(const endpoint& peer, byte_view reply,
                          time_point now);
    outputs on_sync_error(const endpoint& peer, time_point now);

    void on_instances(const std::vector<listed_instance>& list, time_point now);
    /// @brief Announces to the peers that this process leaves.
    void leave(time_point now);

    bool is_down(process_id id) const { return members_.is_down(id); }
    /// @brief True if membership marks the entry with this packet address as
    /// down, or if the configuration doesn't list it.
    bool is_entry_down(const endpoint& packets) const;
    const membership::member_table& members() const { return members_; }
    records::snapshot_ptr current() const { return sync_.current(); }
    bool is_reader(time_point now) const { return sync_.is_reader(now); }

private:
    void append_probes(membership::actions probes, outputs& out) const;
    outputs convert(config::sync_actions actions, time_point now);

    control_options options_;
    membership::member_table members_;
    config::config_sync sync_;
};

} // namespace arbutusport::node
