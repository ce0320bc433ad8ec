// Who is alive, in which incarnation; SWIM-like, without a coordinator.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/base/ids.hpp>
#include <arbutusport/base/time.hpp>
#include <arbutusport/records/records.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace arbutusport::membership {

enum class member_state : std::uint8_t { alive, suspect, leaving, down };

const char* to_string(member_state it);

/// @brief One observation. Ordered by incarnation, then by refutation count,
/// then by state.
struct member_event {
    process_id id;
    incarnation run;
    std::uint32_t refutations = 0;
    member_state state = member_state::alive;
};

struct options {
    process_id self;
    incarnation run;
    duration probe_interval = std::chrono::seconds(1);
    duration probe_timeout = std::chrono::milliseconds(500);
    std::size_t indirect_probes = 3;
    duration suspect_timeout = std::chrono::seconds(3);
    std::size_t max_events_per_message = 20;
    /// A gap between two ticks above this is a pause of this process.
    duration pause_threshold = std::chrono::seconds(2);
    std::uint64_t seed = 0;
    /// Called on each change of a member's state.
    std::function<void(const member_event&)> on_change;
};

enum class probe_kind : std::uint8_t { probe, ack, request };

/// @brief Send a probe message (packet types probe, probe_ack and
/// probe_request) to `to`. The body holds the piggybacked events.
struct send_probe {
    probe_kind kind;
    process_id target;
    endpoint to;
    bytes body;
};

using actions = std::vector<send_probe>;

/// @brief Not thread-safe: the caller serialises, but is_down() and state()
/// may be called from any thread.
class member_table {
public:
    explicit member_table(options settings);
    ~member_table();

    /// @brief Members and probe targets follow the configuration.
    void set_snapshot(const records::snapshot_ptr& snapshot, time_point now);

    actions on_tick(time_point now);
    actions on_probe(probe_kind kind, process_id from, const endpoint& address,
                     byte_view body, time_point now);

    /// @brief Events that rode on a control message, and those to send.
    void on_events(const std::vector<member_event>& events, time_point now);
    std::vector<member_event> take_events();

    /// @brief The platform's lagging list: marks leaving, never alive.
    void on_listed_leaving(process_id id, time_point now);
    /// @brief This process itself leaves.
    void leave(time_point now);

    /// @brief True once after a pause was noticed by on_tick.
    bool take_resumed();

    /// @brief True once this process leaves: by leave(), by the platform's
    /// list as read by any member, or because a later process has its name.
    bool has_left() const;
    bool is_down(process_id id) const;
    bool is_leaving(process_id id) const;
    member_state state(process_id id) const;
    std::vector<member_event> members() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace arbutusport::membership
