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
constexpr std::size_t repeated_events = 2;

class member_table::impl {
public:
    explicit impl(options settings)
        : settings_(std::move(settings)),
          roster_(settings_.self), own_{settings_.self, settings_.run, 0,
                                        member_state::alive},
          random_(settings_.seed ^ settings_.self.value()) {}

    void set_snapshot(const records::snapshot_ptr& it);
    actions on_tick(time_point now);
    actions on_probe(probe_kind kind, process_id from, const endpoint& address,
                     byte_view body, time_point now);
    void on_events(const std::vector<member_event>& events, time_point now) {
        for (const member_event& it : events)
            apply(it, now);
    }
    std::vector<member_event> take_events() {
        return events_for_message(repeated_events);
    }
    void on_listed_leaving(process_id id, time_point now);
    void leave();
    bool has_left() const { return own_.state == member_state::leaving; }

    bool take_resumed() { return std::exchange(resumed_, false); }
    member_state state(process_id id) const {
        const std::shared_lock lock(view_mutex_);
        const auto it = view_.find(id);
        return it == view_.end() ? member_state::alive : it->second;
    }
    std::vector<member_event> members() const;

private:
    struct pending_probe {
        process_id target;
        time_point sent;
        /// Time of the indirect probes; empty while there are none.
        std::optional<time_point> asked;
    };
    struct relay {
        process_id origin;
        endpoint address;
        std::uint64_t sequence = 0;
        time_point sent;
    };

    bool is_plausible(const member_event& it, time_point now) const;
    void apply(member_event it, time_point now);
    void apply_own(const member_event& it);
    void change(member& it, const member_event& next, time_point now);
    void publish(const member& it);
    void notice_pause(time_point now);
    void check_probes(time_point now, actions& out);
    void check_suspects(time_point now);
    void start_probes(time_point now, actions& out);
    void probe(member& it, time_point now, actions& out);
    void ask_others(std::uint64_t sequence, process_id target, actions& out);
    void push_news(actions& out);
    void on_ack(const probe_body& it, actions& out);
    void relay_probe(const probe_body& it, process_id from,
                     const endpoint& address, time_point now, actions& out);
    std::vector<member_event> events_for_message(std::size_t repeats);
    bytes make_body(std::uint64_t sequence, process_id subject,
                    std::optional<member_event> first,
                    std::size_t repeats = repeated_events);
    member_event event_of(process_id id) const {
        const member* it = roster_.find(id);
        return it && id != settings_.self ? it->event : own_;
    }

    options settings_;
    roster roster_;
    // The event that this process announces about itself.
    member_event own_;
    std::mt19937_64 random_;
    event_queue queue_;
    // Members that are not alive; messages repeat their state.
    std::set<process_id> not_alive_;
    std::map<std::uint64_t, pending_probe> pending_;
    std::map<std::uint64_t, relay> relays_;
    std::uint64_t last_sequence_ = 0;
    std::uint64_t rounds_ = 0;
    // Approximates the time at which the own incarnation began.
    std::optional<time_point> first_tick_;
    std::optional<time_point> last_tick_;
    time_point next_round_;
    bool has_news_ = false;
    bool resumed_ = false;

    // Guards view_, which worker threads read.
    mutable std::shared_mutex view_mutex_;
    std::unordered_map<process_id, member_state> view_;
};

} // namespace arbutusport::membership
