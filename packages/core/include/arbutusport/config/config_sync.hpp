// Distributes configurations. Readers watch the platform for new generations;
// the other processes receive them from their peers by gossip.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/base/error.hpp>
#include <arbutusport/base/ids.hpp>
#include <arbutusport/base/time.hpp>
#include <arbutusport/membership/membership.hpp>
#include <arbutusport/records/records.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace arbutusport::config {

struct sync_options {
    process_id self;
    std::string data_centre;
    /// Control endpoints of the processes to query before any configuration is
    /// known.
    std::vector<endpoint> seeds;
    /// True if this process is a seed of other processes.
    bool is_seed = false;
    duration round_interval = std::chrono::seconds(1);
    duration startup_window = std::chrono::seconds(3);
    std::size_t readers_per_data_centre = 3;
    duration direct_read_after = std::chrono::seconds(10);
    duration watch_wait = std::chrono::seconds(30);
    /// Number of peers that a process contacts immediately after it put a new
    /// generation in force.
    std::size_t push_peer_count = 3;
    /// A sync request without a reply for this long counts as failed.
    duration sync_timeout = std::chrono::seconds(2);
    std::uint64_t seed = 0;
    std::function<bool(process_id)> is_down;
    /// Returns membership events to piggyback on a sync message.
    std::function<std::vector<membership::member_event>()> take_events;
    /// Called with the membership events of a received sync message.
    std::function<void(const std::vector<membership::member_event>&,
                       time_point)>
        on_events;
};

/// @brief Waits at the platform for a head newer than `after`. At most one read
/// is outstanding.
struct watch_head {
    generation after;
    duration wait;
};

/// @brief Reads the records with these keys from the platform.
struct fetch_records {
    std::vector<std::string> keys;
};

/// @brief Sends a sync request to a peer. The reply goes to
/// config_sync::on_reply().
struct send_sync_request {
    endpoint peer;
    bytes request;
};

/// @brief Reports that this configuration is now in force.
struct configuration_in_force {
    records::snapshot_ptr snapshot;
};

/// @brief Reports that a generation was refused. The one in force remains.
struct generation_refused {
    generation gen;
    failure why;
};

using sync_action = std::variant<watch_head, fetch_records, send_sync_request,
                                 configuration_in_force, generation_refused>;
using sync_actions = std::vector<sync_action>;

/// @brief A record as listed in the platform's head.
struct head_record {
    std::string key;
    std::uint64_t revision = 0;
};

/// @brief The newest generation at the platform, with the keys and revisions of
/// its records.
struct head {
    generation gen;
    std::vector<head_record> records;
};

/// @brief Obtains configurations from the platform and from peers, and decides
/// when one goes into force.
///
/// With a configuration in force, messages are authenticated by a keyed tag,
/// and the content of a message without a valid tag is ignored. Before that,
/// untagged replies from the seeds are accepted. An untagged request is
/// answered with the set, because a new process has no keys.
///
/// Known limits: any client that reaches the control endpoint can read the
/// records, including the keys, and an attacker that answers in place of a seed
/// can give a new process a false set. Only the network protects against both.
/// A recorded request may be replayed; it contains nothing newer than was
/// already known. The epoch of a set is not bounded, nor is its revision while
/// no set is in force.
class config_sync {
public:
    explicit config_sync(sync_options options);
    ~config_sync();

    sync_actions on_tick(time_point now);
    sync_actions on_head(const head& it, time_point now);
    sync_actions on_records(const std::vector<records::raw_record>& read,
                            time_point now);
    /// @brief Call when a read or a watch failed or timed out.
    sync_actions on_platform_error(time_point now);

    struct sync_answer {
        bytes reply;
        sync_actions actions;
    };
    /// @brief Answers a peer's sync request and applies its
    /// membership events and its delta if the request has a valid tag.
    sync_answer on_request(byte_view request, time_point now);
    sync_actions on_reply(const endpoint& peer, byte_view reply,
                          time_point now);
    sync_actions on_peer_error(const endpoint& peer, time_point now);

    /// @brief Null until the first configuration is in force.
    records::snapshot_ptr current() const;
    bool is_reader(time_point now) const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace arbutusport::config
