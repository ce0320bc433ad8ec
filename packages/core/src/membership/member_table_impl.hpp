// Implementation of member_table. member_table.cpp holds its state changes,
// probing.cpp its probes.
#pragma once

#include "event_queue.hpp"
#include "probe_body.hpp"
#include "roster.hpp"

#include <arbutusport/membership/membership.hpp>

#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <shared_mutex>
#include <unordered_map>

namespace arbutusport::membership {

// Messages with spare room repeat the state of members that are not alive, so
// that a process that joined late receives it.
constexpr std::size_t max_repeated_events = 2;

class member_table::impl {
public:
    explicit impl(options settings)
        : settings_(std::move(settings)),
          roster_(settings_.self), own_event_{settings_.self, settings_.run, 0,
                                              member_state::alive},
          random_(settings_.seed ^ settings_.self.value()) {}

    void set_snapshot(const records::snapshot_ptr& snapshot);
    actions on_tick(time_point now);
    actions on_probe(probe_kind kind, process_id from, const endpoint& address,
                     byte_view body, time_point now);
    void on_events(const std::vector<member_event>& events, time_point now) {
        for (const member_event& event : events)
            apply_event(event, now);
    }
    std::vector<member_event> take_events() {
        return events_for_message(max_repeated_events);
    }
    void on_listed_leaving(process_id id, time_point now);
    void leave();
    bool has_left() const { return own_event_.state == member_state::leaving; }

    bool take_resumed() { return std::exchange(resumed_, false); }
    member_state state(process_id id) const {
        const std::shared_lock lock(states_mutex_);
        const auto it = states_.find(id);
        return it == states_.end() ? member_state::alive : it->second;
    }
    std::vector<member_event> members() const;

private:
    struct pending_probe {
        process_id target;
        time_point sent_at;
        /// Time of the indirect probes; empty while there are none.
        std::optional<time_point> indirect_sent_at;
    };
    struct relayed_probe {
        process_id requester;
        endpoint address;
        std::uint64_t sequence = 0;
        time_point sent_at;
    };

    bool is_plausible(const member_event& event, time_point now) const;
    void apply_event(member_event event, time_point now);
    void apply_own_event(const member_event& event);
    void set_event(member& target, const member_event& next, time_point now);
    void publish_state(const member& target);
    void detect_pause(time_point now);
    void check_pending_probes(time_point now, actions& out);
    void expire_suspicions(time_point now);
    void run_probe_round(time_point now, actions& out);
    void start_probe(member& target, time_point now, actions& out);
    void send_indirect_probes(std::uint64_t sequence, process_id target,
                              actions& out);
    void send_urgent_events(actions& out);
    void on_ack(const probe_body& ack, actions& out);
    void relay_probe(const probe_body& request, process_id from,
                     const endpoint& address, time_point now, actions& out);
    std::vector<member_event> events_for_message(std::size_t repeats);
    bytes make_probe_body(std::uint64_t sequence, process_id subject,
                          std::optional<member_event> first,
                          std::size_t repeats = max_repeated_events);
    member_event event_of(process_id id) const {
        const member* it = roster_.find(id);
        return it && id != settings_.self ? it->event : own_event_;
    }

    options settings_;
    roster roster_;
    // The event that this process announces about itself.
    member_event own_event_;
    std::mt19937_64 random_;
    event_queue event_queue_;
    // Members that are not alive; messages repeat their state.
    std::set<process_id> not_alive_;
    std::map<std::uint64_t, pending_probe> pending_probes_;
    std::map<std::uint64_t, relayed_probe> relayed_probes_;
    std::uint64_t last_sequence_ = 0;
    std::uint64_t round_count_ = 0;
    // Approximates the time at which the own incarnation began.
    std::optional<time_point> first_tick_;
    std::optional<time_point> last_tick_;
    time_point next_round_;
    bool has_urgent_events_ = false;
    bool resumed_ = false;

    // Guards states_, which worker threads read.
    mutable std::shared_mutex states_mutex_;
    std::unordered_map<process_id, member_state> states_;
};

} // namespace arbutusport::membership
