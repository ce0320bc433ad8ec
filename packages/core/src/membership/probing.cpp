// Sends probes and handles their acks and time-outs.

#include "member_table_impl.hpp"

#include <algorithm>

namespace arbutusport::membership {

namespace {

// A process that probes members of every service probes a random member in
// every fourth interval, in addition to its successor, so that paths from
// entries to hosts are observed too.
constexpr std::uint64_t random_probe_every = 4;
// Interval, in rounds, of probes to a down member. They detect members that
// return and reconnect both sides of a healed partition.
constexpr std::uint64_t down_probe_every = 10;
// Expected number of processes that probe down members. If all processes of a
// large fleet did, a member that has just returned would receive hundreds of
// probes a second.
constexpr std::uint64_t down_probers = 32;
// Urgent events are sent at once to this many members, rather than with the
// next probe.
constexpr std::size_t push_fanout = 3;
constexpr std::size_t max_relays = 256;

} // namespace

actions member_table::impl::on_tick(time_point now) {
    actions out;
    notice_pause(now);
    check_probes(now, out);
    check_suspects(now);
    if (now >= next_round_) {
        next_round_ = std::max(next_round_ + settings_.probe_interval,
                               now + settings_.probe_interval / 2);
        start_probes(now, out);
    }
    std::erase_if(relays_, [&](const auto& item) {
        return now - item.second.sent > 4 * settings_.probe_timeout;
    });
    push_news(out);
    return out;
}

// Time-outs that passed while this process was suspended are no evidence
// against its peers. Outstanding probes are discarded, and the time-outs of
// suspicions are extended by the length of the pause.
void member_table::impl::notice_pause(time_point now) {
    if (!last_tick_) {
        first_tick_ = now;
        // A random offset spreads the rounds of different processes over the
        // interval.
        next_round_ =
            now + duration(static_cast<duration::rep>(
                      random_() % static_cast<std::uint64_t>(
                                      settings_.probe_interval.count())));
    } else if (now - *last_tick_ > settings_.pause_threshold) {
        resumed_ = true;
        has_news_ = true;
        pending_.clear();
        relays_.clear();
        const auto gap = now - *last_tick_;
        for (auto& [id, it] : roster_.all())
            if (it.unanswered_since)
                *it.unanswered_since += gap;
    }
    last_tick_ = now;
}

// The suspicion time-out runs from the first unanswered probe. The suspicion is
// announced only after the indirect probes failed too, because one lost packet
// must not cause a message to every process.
void member_table::impl::check_probes(time_point now, actions& out) {
    for (auto it = pending_.begin(); it != pending_.end();) {
        auto& [sequence, probe] = *it;
        member* target = roster_.find(probe.target);
        const bool late = now - probe.sent >= settings_.probe_timeout;
        if (target && !probe.asked && late) {
            probe.asked = now;
            target->unanswered_here = true;
            if (!target->unanswered_since)
                target->unanswered_since = now;
            ask_others(sequence, probe.target, out);
            // The target's successor may have lost its prober, so it is probed
            // next: members of one rack may fail together.
            if (member* next = roster_.successor())
                this->probe(*next, now, out);
        }
        // Counted from the time of the indirect probes, so that a late tick
        // doesn't shorten the time for their acks.
        if (!probe.asked || now - *probe.asked < settings_.probe_timeout) {
            ++it;
            continue;
        }
        it = pending_.erase(it);
        if (target && target->event.state == member_state::alive) {
            member_event next = target->event;
            next.state = member_state::suspect;
            change(*target, next, now);
        }
    }
}

void member_table::impl::ask_others(std::uint64_t sequence, process_id target,
                                    actions& out) {
    const member* it = roster_.find(target);
    out.push_back({probe_kind::probe, target, it->packets,
                   make_body(sequence, target, it->event)});
    for (const process_id id :
         roster_.sample(settings_.indirect_probes, target, random_))
        out.push_back({probe_kind::request, id, roster_.find(id)->packets,
                       make_body(sequence, target, std::nullopt)});
}

void member_table::impl::check_suspects(time_point now) {
    for (auto& [id, it] : roster_.all()) {
        if (it.is_down() || !it.unanswered_since ||
            now - *it.unanswered_since < settings_.suspect_timeout)
            continue;
        member_event next = it.event;
        next.state = member_state::down;
        change(it, next, now);
    }
}

void member_table::impl::start_probes(time_point now, actions& out) {
    ++rounds_;
    if (member* it = roster_.successor())
        probe(*it, now, out);
    if (roster_.probes_any() && rounds_ % random_probe_every == 0)
        for (const process_id id : roster_.sample(1, settings_.self, random_))
            probe(*roster_.find(id), now, out);
    // Probes an unresponsive member again, so that it receives the suspicion
    // and can refute it. Only the process without an answer does so: all the
    // others receive the suspicion too, and their probes would overload the
    // member.
    for (const auto& [id, it] : roster_.all())
        if (it.unanswered_here && !it.is_down())
            out.push_back({probe_kind::probe, id, it.packets,
                           make_body(++last_sequence_, id, it.event)});
    if (rounds_ % down_probe_every != 0 || not_alive_.empty() ||
        random_() % roster_.size() >= down_probers)
        return;
    auto it = not_alive_.lower_bound(process_id(random_()));
    if (it == not_alive_.end())
        it = not_alive_.begin();
    const member* target = roster_.find(*it);
    if (target && target->is_down())
        out.push_back({probe_kind::probe, *it, target->packets,
                       make_body(++last_sequence_, *it, target->event)});
}

void member_table::impl::probe(member& it, time_point now, actions& out) {
    const std::uint64_t sequence = ++last_sequence_;
    pending_[sequence] = {it.event.id, now, std::nullopt};
    out.push_back({probe_kind::probe, it.event.id, it.packets,
                   make_body(sequence, it.event.id, std::nullopt)});
}

void member_table::impl::push_news(actions& out) {
    if (!std::exchange(has_news_, false))
        return;
    for (const process_id id :
         roster_.sample(push_fanout, settings_.self, random_))
        out.push_back({probe_kind::probe, id, roster_.find(id)->packets,
                       make_body(0, id, std::nullopt)});
}

actions member_table::impl::on_probe(probe_kind kind, process_id from,
                                     const endpoint& address, byte_view body,
                                     time_point now) {
    actions out;
    const auto it = handle_failure(
        [&]() -> result<std::optional<probe_body>> {
            BOOST_LEAF_AUTO(decoded, decode_probe(body));
            return std::optional(std::move(decoded));
        },
        [](const failure&) { return std::optional<probe_body>(); });
    if (!it)
        return out;
    const member_event before = event_of(from);
    on_events(it->events, now);
    if (kind == probe_kind::ack)
        on_ack(*it, out);
    else if (kind == probe_kind::request)
        relay_probe(*it, from, address, now, out);
    else if (it->subject == settings_.self) {
        const member_event after = event_of(from);
        const bool newcomer = before.run != after.run;
        const bool accused = after.state == member_state::suspect ||
                             after.state == member_state::down;
        if (it->sequence == 0 && !accused && !newcomer)
            return out;
        // The own event comes first. A suspected sender also receives the event
        // about itself, so that it can refute it.
        probe_body reply{it->sequence, settings_.self, {own_}};
        if (accused && from != settings_.self)
            reply.events.push_back(after);
        const auto events = events_for_message(
            newcomer ? settings_.max_events_per_message : repeated_events);
        reply.events.insert(reply.events.end(), events.begin(), events.end());
        out.push_back({probe_kind::ack, from, address, encode_probe(reply)});
    }
    return out;
}

void member_table::impl::relay_probe(const probe_body& it, process_id from,
                                     const endpoint& address, time_point now,
                                     actions& out) {
    const member* subject = roster_.find(it.subject);
    if (!subject || relays_.size() >= max_relays)
        return;
    const std::uint64_t sequence = ++last_sequence_;
    relays_[sequence] = {from, address, it.sequence, now};
    out.push_back({probe_kind::probe, it.subject, subject->packets,
                   make_body(sequence, it.subject, std::nullopt)});
}

void member_table::impl::on_ack(const probe_body& it, actions& out) {
    if (const auto found = relays_.find(it.sequence); found != relays_.end()) {
        const relay& origin = found->second;
        out.push_back(
            {probe_kind::ack, origin.origin, origin.address,
             make_body(origin.sequence, it.subject, event_of(it.subject))});
        relays_.erase(found);
        return;
    }
    member* subject = roster_.find(it.subject);
    if (!subject || it.events.empty())
        return;
    const auto found = pending_.find(it.sequence);
    if (found != pending_.end() && found->second.target == it.subject)
        pending_.erase(found);
    // An ack from an older incarnation doesn't prove that the present one is
    // alive, and only a refutation ends an announced suspicion.
    const member_event& first = it.events.front();
    if (first.id == it.subject && first.run >= subject->event.run &&
        subject->event.state != member_state::suspect && !subject->is_down())
        subject->answered();
}

} // namespace arbutusport::membership
