// Sends probes and handles their acks and time-outs.

#include "member_table_impl.hpp"

#include <algorithm>

namespace arbutusport::membership {

namespace {

// A process that probes members of every service probes a random member in
// every fourth interval, in addition to its successor, so that paths from
// entries to hosts are observed too.
constexpr std::uint64_t random_probe_interval_rounds = 4;
// Interval, in rounds, of probes to a down member. They detect members that
// return and reconnect both sides of a healed partition.
constexpr std::uint64_t down_probe_interval_rounds = 10;
// Expected number of processes that probe down members. If all processes of a
// large fleet did, a member that has just returned would receive hundreds of
// probes a second.
constexpr std::uint64_t expected_down_probers = 32;
// Urgent events are sent at once to this many members, rather than with the
// next probe.
constexpr std::size_t push_fanout = 3;
constexpr std::size_t max_relayed_probes = 256;

} // namespace

actions member_table::impl::on_tick(time_point now) {
    actions out;
    detect_pause(now);
    check_pending_probes(now, out);
    expire_suspicions(now);
    if (now >= next_round_) {
        next_round_ = std::max(next_round_ + settings_.probe_interval,
                               now + settings_.probe_interval / 2);
        run_probe_round(now, out);
    }
    std::erase_if(relayed_probes_, [&](const auto& item) {
        return now - item.second.sent_at > 4 * settings_.probe_timeout;
    });
    send_urgent_events(out);
    return out;
}

// Time-outs that passed while this process was suspended are no evidence
// against its peers. Outstanding probes are discarded, and the time-outs of
// suspicions are extended by the length of the pause.
void member_table::impl::detect_pause(time_point now) {
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
        has_urgent_events_ = true;
        pending_probes_.clear();
        relayed_probes_.clear();
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
void member_table::impl::check_pending_probes(time_point now, actions& out) {
    for (auto it = pending_probes_.begin(); it != pending_probes_.end();) {
        auto& [sequence, pending] = *it;
        member* target = roster_.find(pending.target);
        const bool is_overdue =
            now - pending.sent_at >= settings_.probe_timeout;
        if (target && !pending.indirect_sent_at && is_overdue) {
            pending.indirect_sent_at = now;
            target->has_unanswered_probe = true;
            if (!target->unanswered_since)
                target->unanswered_since = now;
            send_indirect_probes(sequence, pending.target, out);
            // The target's successor may have lost its prober, so it is probed
            // next: members of one rack may fail together.
            if (member* next = roster_.successor())
                this->start_probe(*next, now, out);
        }
        // Counted from the time of the indirect probes, so that a late tick
        // doesn't shorten the time for their acks.
        if (!pending.indirect_sent_at ||
            now - *pending.indirect_sent_at < settings_.probe_timeout) {
            ++it;
            continue;
        }
        it = pending_probes_.erase(it);
        if (target && target->event.state == member_state::alive) {
            member_event next = target->event;
            next.state = member_state::suspect;
            set_event(*target, next, now);
        }
    }
}

void member_table::impl::send_indirect_probes(std::uint64_t sequence,
                                              process_id target, actions& out) {
    const member* target_member = roster_.find(target);
    out.push_back({probe_kind::probe, target, target_member->packets,
                   make_probe_body(sequence, target, target_member->event)});
    for (const process_id id :
         roster_.sample(settings_.indirect_probes, target, random_))
        out.push_back({probe_kind::request, id, roster_.find(id)->packets,
                       make_probe_body(sequence, target, std::nullopt)});
}

void member_table::impl::expire_suspicions(time_point now) {
    for (auto& [id, it] : roster_.all()) {
        if (it.is_down() || !it.unanswered_since ||
            now - *it.unanswered_since < settings_.suspect_timeout)
            continue;
        member_event next = it.event;
        next.state = member_state::down;
        set_event(it, next, now);
    }
}

void member_table::impl::run_probe_round(time_point now, actions& out) {
    ++round_count_;
    if (member* it = roster_.successor())
        start_probe(*it, now, out);
    if (roster_.probes_all_services() &&
        round_count_ % random_probe_interval_rounds == 0)
        for (const process_id id : roster_.sample(1, settings_.self, random_))
            start_probe(*roster_.find(id), now, out);
    // Probes an unresponsive member again, so that it receives the suspicion
    // and can refute it. Only the process without an answer does so: all the
    // others receive the suspicion too, and their probes would overload the
    // member.
    for (const auto& [id, it] : roster_.all())
        if (it.has_unanswered_probe && !it.is_down())
            out.push_back({probe_kind::probe, id, it.packets,
                           make_probe_body(++last_sequence_, id, it.event)});
    if (round_count_ % down_probe_interval_rounds != 0 || not_alive_.empty() ||
        random_() % roster_.size() >= expected_down_probers)
        return;
    auto it = not_alive_.lower_bound(process_id(random_()));
    if (it == not_alive_.end())
        it = not_alive_.begin();
    const member* target = roster_.find(*it);
    if (target && target->is_down())
        out.push_back({probe_kind::probe, *it, target->packets,
                       make_probe_body(++last_sequence_, *it, target->event)});
}

void member_table::impl::start_probe(member& target, time_point now,
                                     actions& out) {
    const std::uint64_t sequence = ++last_sequence_;
    pending_probes_[sequence] = {target.event.id, now, std::nullopt};
    out.push_back({probe_kind::probe, target.event.id, target.packets,
                   make_probe_body(sequence, target.event.id, std::nullopt)});
}

void member_table::impl::send_urgent_events(actions& out) {
    if (!std::exchange(has_urgent_events_, false))
        return;
    for (const process_id id :
         roster_.sample(push_fanout, settings_.self, random_))
        out.push_back({probe_kind::probe, id, roster_.find(id)->packets,
                       make_probe_body(0, id, std::nullopt)});
}

actions member_table::impl::on_probe(probe_kind kind, process_id from,
                                     const endpoint& address, byte_view body,
                                     time_point now) {
    actions out;
    const auto message = handle_failure(
        [&]() -> result<std::optional<probe_body>> {
            BOOST_LEAF_AUTO(decoded, decode_probe(body));
            return std::optional(std::move(decoded));
        },
        [](const failure&) { return std::optional<probe_body>(); });
    if (!message)
        return out;
    const member_event before = event_of(from);
    on_events(message->events, now);
    if (kind == probe_kind::ack)
        on_ack(*message, out);
    else if (kind == probe_kind::request)
        relay_probe(*message, from, address, now, out);
    else if (message->subject == settings_.self) {
        const member_event after = event_of(from);
        const bool is_new_incarnation = before.run != after.run;
        const bool is_suspected = after.state == member_state::suspect ||
                                  after.state == member_state::down;
        if (message->sequence == 0 && !is_suspected && !is_new_incarnation)
            return out;
        // The own event comes first. A suspected sender also receives the event
        // about itself, so that it can refute it.
        probe_body reply{message->sequence, settings_.self, {own_event_}};
        if (is_suspected && from != settings_.self)
            reply.events.push_back(after);
        const auto events = events_for_message(
            is_new_incarnation ? settings_.max_events_per_message
                               : max_repeated_events);
        reply.events.insert(reply.events.end(), events.begin(), events.end());
        out.push_back({probe_kind::ack, from, address, encode_probe(reply)});
    }
    return out;
}

void member_table::impl::relay_probe(const probe_body& request, process_id from,
                                     const endpoint& address, time_point now,
                                     actions& out) {
    const member* subject = roster_.find(request.subject);
    if (!subject || relayed_probes_.size() >= max_relayed_probes)
        return;
    const std::uint64_t sequence = ++last_sequence_;
    relayed_probes_[sequence] = {from, address, request.sequence, now};
    out.push_back({probe_kind::probe, request.subject, subject->packets,
                   make_probe_body(sequence, request.subject, std::nullopt)});
}

void member_table::impl::on_ack(const probe_body& ack, actions& out) {
    if (const auto found = relayed_probes_.find(ack.sequence);
        found != relayed_probes_.end()) {
        const relayed_probe& relayed = found->second;
        out.push_back({probe_kind::ack, relayed.requester, relayed.address,
                       make_probe_body(relayed.sequence, ack.subject,
                                       event_of(ack.subject))});
        relayed_probes_.erase(found);
        return;
    }
    member* subject = roster_.find(ack.subject);
    if (!subject || ack.events.empty())
        return;
    const auto found = pending_probes_.find(ack.sequence);
    if (found != pending_probes_.end() && found->second.target == ack.subject)
        pending_probes_.erase(found);
    // An ack from an older incarnation doesn't prove that the present one is
    // alive, and only a refutation ends an announced suspicion.
    const member_event& first = ack.events.front();
    if (first.id == ack.subject && first.run >= subject->event.run &&
        subject->event.state != member_state::suspect && !subject->is_down())
        subject->clear_suspicion();
}

} // namespace arbutusport::membership
