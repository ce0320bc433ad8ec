// State of each member, and the events that announce it.

#include "member_table_impl.hpp"

#include <algorithm>
#include <tuple>

namespace arbutusport::membership {

namespace {

// Largest accepted difference between the clocks of two processes.
constexpr std::uint64_t max_clock_lead_ms = 60'000;

std::tuple<incarnation, std::uint32_t, member_state>
order_of(const member_event& it) {
    return {it.run, it.refutations, it.state};
}

} // namespace

const char* to_string(member_state it) {
    switch (it) {
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::leaving:
        return "leaving";
    case member_state::down:
        return "down";
    }
    return "unknown";
}

void member_table::impl::set_snapshot(const records::snapshot_ptr& snapshot) {
    for (const process_id id : roster_.update(*snapshot)) {
        event_queue_.remove(id);
        not_alive_.erase(id);
        std::erase_if(pending_probes_,
                      [&](auto& item) { return item.second.target == id; });
    }
    decltype(states_) next;
    for (const auto& [id, member] : roster_.all()) {
        const auto seen = event_of(id).state;
        next[id] = member.config_leaving && seen != member_state::down
                       ? member_state::leaving
                       : seen;
    }
    {
        const std::unique_lock lock(states_mutex_);
        states_.swap(next);
    }
    if (!settings_.on_change)
        return;
    // After the swap, `next` holds the previous states.
    for (const auto& [id, before] : next)
        if (const auto now = states_.find(id);
            now != states_.end() && now->second != before) {
            member_event changed = event_of(id);
            changed.state = now->second;
            settings_.on_change(changed);
        }
}

std::vector<member_event> member_table::impl::members() const {
    std::vector<member_event> out;
    for (const auto& [id, it] : roster_.all()) {
        out.push_back(event_of(id));
        out.back().state = state(id);
    }
    std::ranges::sort(out, {}, &member_event::id);
    return out;
}

// Rejects an incarnation whose start time lies in the future: it would
// supersede every later genuine restart of the process.
bool member_table::impl::is_plausible(const member_event& event,
                                      time_point now) const {
    const auto start_ms = [](incarnation run) { return run.value() >> 16; };
    const auto age = std::chrono::floor<std::chrono::milliseconds>(
        now - first_tick_.value_or(now));
    return start_ms(event.run) <= start_ms(settings_.run) +
                                      static_cast<std::uint64_t>(age.count()) +
                                      max_clock_lead_ms;
}

void member_table::impl::apply_event(member_event event, time_point now) {
    if (!is_plausible(event, now))
        return;
    if (event.id == settings_.self)
        return apply_own_event(event);
    member* known = roster_.find(event.id);
    if (!known || order_of(event) <= order_of(known->event))
        return;
    // A leaving member remains leaving for the rest of its incarnation.
    if (known->event.run == event.run &&
        known->event.state == member_state::leaving &&
        event.state < member_state::leaving)
        event.state = member_state::leaving;
    set_event(*known, event, now);
}

void member_table::impl::apply_own_event(const member_event& event) {
    if (event.run != own_event_.run) {
        // A later process has the same name, so this one takes no new work.
        if (event.run > own_event_.run &&
            own_event_.state != member_state::leaving)
            leave();
        return;
    }
    const bool is_suspected = event.state == member_state::suspect ||
                              event.state == member_state::down;
    if (is_suspected && event.refutations >= own_event_.refutations) {
        own_event_.refutations = event.refutations + 1;
        event_queue_.add(own_event_);
        has_urgent_events_ = true;
    }
    if (event.state == member_state::leaving &&
        own_event_.state != member_state::leaving)
        leave();
}

void member_table::impl::set_event(member& target, const member_event& next,
                                   time_point now) {
    const bool has_changed =
        target.event.state != next.state || target.event.run != next.run;
    target.event = next;
    if (next.state == member_state::suspect) {
        if (!target.unanswered_since)
            target.unanswered_since = now;
    } else {
        target.clear_suspicion();
    }
    if (next.state == member_state::alive)
        not_alive_.erase(next.id);
    else
        not_alive_.insert(next.id);
    if (next.state >= member_state::leaving)
        has_urgent_events_ = true;
    event_queue_.add(next);
    if (has_changed)
        publish_state(target);
}

void member_table::impl::publish_state(const member& target) {
    member_event published = target.event;
    if (target.config_leaving && published.state != member_state::down)
        published.state = member_state::leaving;
    {
        const std::unique_lock lock(states_mutex_);
        states_[published.id] = published.state;
    }
    if (settings_.on_change)
        settings_.on_change(published);
}

void member_table::impl::on_listed_leaving(process_id id, time_point now) {
    if (id == settings_.self)
        return leave();
    const member* it = roster_.find(id);
    if (!it || it->event.state >= member_state::leaving)
        return;
    member_event next = it->event;
    next.state = member_state::leaving;
    apply_event(next, now);
}

void member_table::impl::leave() {
    if (own_event_.state == member_state::leaving)
        return;
    own_event_.state = member_state::leaving;
    event_queue_.add(own_event_);
    has_urgent_events_ = true;
    if (member* it = roster_.find(settings_.self)) {
        it->event = own_event_;
        publish_state(*it);
    }
}

std::vector<member_event>
member_table::impl::events_for_message(std::size_t repeats) {
    const std::size_t limit = settings_.max_events_per_message;
    auto out = event_queue_.take(limit, roster_.size());
    auto it = not_alive_.lower_bound(process_id(random_()));
    repeats = std::min({repeats, not_alive_.size(), limit - out.size()});
    for (std::size_t i = 0; i < repeats; ++i, ++it) {
        if (it == not_alive_.end())
            it = not_alive_.begin();
        out.push_back(event_of(*it));
    }
    return out;
}

bytes member_table::impl::make_probe_body(std::uint64_t sequence,
                                          process_id subject,
                                          std::optional<member_event> first,
                                          std::size_t repeats) {
    probe_body body{sequence, subject, {}};
    if (first)
        body.events.push_back(*first);
    body.events.push_back(own_event_);
    const auto events = events_for_message(repeats);
    body.events.insert(body.events.end(), events.begin(), events.end());
    return encode_probe(body);
}

member_table::member_table(options settings)
    : impl_(std::make_unique<impl>(std::move(settings))) {}
member_table::~member_table() = default;

void member_table::set_snapshot(const records::snapshot_ptr& snapshot,
                                time_point) {
    if (snapshot)
        impl_->set_snapshot(snapshot);
}
actions member_table::on_tick(time_point now) {
    return impl_->on_tick(now);
}
actions member_table::on_probe(probe_kind kind, process_id from,
                               const endpoint& address, byte_view body,
                               time_point now) {
    return impl_->on_probe(kind, from, address, body, now);
}
void member_table::on_events(const std::vector<member_event>& events,
                             time_point now) {
    impl_->on_events(events, now);
}
std::vector<member_event> member_table::take_events() {
    return impl_->take_events();
}
void member_table::on_listed_leaving(process_id id, time_point now) {
    impl_->on_listed_leaving(id, now);
}
void member_table::leave(time_point) {
    impl_->leave();
}
bool member_table::take_resumed() {
    return impl_->take_resumed();
}
bool member_table::is_down(process_id id) const {
    return impl_->state(id) == member_state::down;
}
bool member_table::has_left() const {
    return impl_->has_left();
}

bool member_table::is_leaving(process_id id) const {
    return impl_->state(id) == member_state::leaving;
}
member_state member_table::state(process_id id) const {
    return impl_->state(id);
}
std::vector<member_event> member_table::members() const {
    return impl_->members();
}

} // namespace arbutusport::membership
