// Decides how a process learns of new configurations: by a watch at the
// platform if it is a reader, otherwise from its peers.
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
    /// Control endpoints of other processes, to ask before any configuration is
    /// known.
    std::vector<endpoint> seeds;
    /// Others have this process among their seeds.
    bool is_seed = false;
    duration round_interval = std::chrono::seconds(1);
    duration startup_window = std::chrono::seconds(3);
    std::size_t readers_per_data_centre = 3;
    duration direct_read_after = std::chrono::seconds(10);
    duration watch_wait = std::chrono::seconds(30);
    /// Peers that a process contacts at once after it put a new generation in
    /// force.
    std::size_t push_peers = 3;
    /// A sync request without a reply for this long counts as failed.
    duration sync_timeout = std::chrono::seconds(2);
    std::uint64_t seed = 0;
    std::function<bool(process_id)> is_down;
    /// Membership events to send with a sync message.
    std::function<std::vector<membership::member_event>()> take_events;
    /// Membership events that came with a sync message.
    std::function<void(const std::vector<membership::member_event>&,
                       time_point)>
        on_events;
};

/// @brief Wait at the platform for a head newer than `after`. At most one
/// read is outstanding.
struct watch_head {
    generation after;
    duration wait;
};

/// @brief Read the records with these keys at the platform.
struct fetch_records {
    std::vector<std::string> keys;
};

/// @brief Send a sync request to a peer; deliver its reply to on_reply.
struct sync_with {
    endpoint peer;
    bytes request;
};

/// @brief This configuration is now in force.
struct put_in_force {
    records::snapshot_ptr snapshot;
};

/// @brief A generation was refused; the one in force stays.
struct refused {
    generation gen;
    failure why;
};

using sync_action =
    std::variant<watch_head, fetch_records, sync_with, put_in_force, refused>;
using sync_actions = std::vector<sync_action>;

/// @brief A record as listed by the platform's head.
struct head_record {
    std::string key;
    std::uint64_t revision = 0;
};

struct head {
    generation gen;
    std::vector<head_record> records;
};

/// @brief With a configuration in force, messages carry a keyed tag, and
/// nothing is learnt from one without a genuine tag. Before that, untagged
/// replies of the seeds are believed. An untagged request is answered with the
/// set, because a fresh process has no keys.
///
/// Open: whoever reaches the control endpoint can therefore read the records,
/// the keys among them, and whoever answers in place of a seed can mislead a
/// fresh process. Only the network protects against both. A recorded request
/// may be replayed, which brings nothing newer than was known. The epoch of a
/// set, and the revision before a set is in force, are not bounded.
class config_sync {
public:
    explicit config_sync(sync_options options);
    ~config_sync();

    sync_actions on_tick(time_point now);
    sync_actions on_head(const head& it, time_point now);
    sync_actions on_records(const std::vector<records::raw_record>& read,
                            time_point now);
    /// @brief A read or a watch failed or timed out.
    sync_actions on_platform_error(time_point now);

    /// @brief Answers a peer's sync request; also learns from it.
    struct sync_answer {
        bytes reply;
        sync_actions actions;
    };
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
