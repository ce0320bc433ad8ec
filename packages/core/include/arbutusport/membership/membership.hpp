// SWIM-style membership and failure detection without a coordinator. Tracks
// the state and the incarnation of each process.
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

/// @brief The state of a member as observed by some process. Events are ordered
/// by incarnation, then by refutation count, then by state; the greater event
/// supersedes the lesser.
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
    /// A longer gap between two ticks means that this process was suspended.
    duration pause_threshold = std::chrono::seconds(2);
    std::uint64_t seed = 0;
    /// Called on each change of a member's state.
    std::function<void(const member_event&)> on_change;
};

enum class probe_kind : std::uint8_t { probe, ack, request };

/// @brief Sends a probe packet (packet type probe, probe_ack or probe_request)
/// to `to`. The body holds the piggybacked events.
struct send_probe {
    probe_kind kind;
    process_id target;
    endpoint to;
    bytes body;
};

using actions = std::vector<send_probe>;

/// @brief Membership of all processes as seen by this one. Not thread-safe: the
/// caller serialises the calls. Only is_down() and state() may be called from
/// any thread.
class member_table {
public:
    explicit member_table(options settings);
    ~member_table();

    /// @brief Updates members and probe targets from a configuration.
    void set_snapshot(const records::snapshot_ptr& snapshot, time_point now);

    actions on_tick(time_point now);
    actions on_probe(probe_kind kind, process_id from, const endpoint& address,
                     byte_view body, time_point now);

    /// @brief Applies the events that were piggybacked on a control message.
    void on_events(const std::vector<member_event>& events, time_point now);
    /// @brief Returns the events to piggyback on a control message.
    std::vector<member_event> take_events();

    /// @brief Marks a member that the platform lists as leaving. The platform's
    /// list lags, so it never marks a member alive.
    void on_listed_leaving(process_id id, time_point now);
    /// @brief Announces that this process leaves.
    void leave(time_point now);

    /// @brief Returns true once after on_tick() detected a pause of this
    /// process.
    bool take_resumed();

    /// @brief True from the time this process leaves. It leaves by leave(),
    /// when any member reads it as leaving in the platform's list, or when a
    /// later process has the same name.
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
