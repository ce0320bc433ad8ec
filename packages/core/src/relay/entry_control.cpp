// Control side of an entry: messages, directory updates and timers.

#include <arbutusport/base/overloaded.hpp>
#include <arbutusport/relay/entry_relay.hpp>

#include <algorithm>

namespace arbutusport::relay {

namespace {

// Wait for host processes to send their flows before an entry that has just
// started accepts traffic. A failed readiness check costs half a second, so the
// wait covers little more than a round trip.
constexpr duration initial_flows_timeout = std::chrono::milliseconds(40);
// Reading the store counts as stuck if peers have a newer directory and the own
// one has not changed for this long. Processes normally read the same change
// within some milliseconds of each other.
constexpr duration stuck_limit = std::chrono::milliseconds(700);

} // namespace

void entry_relay::on_message(machine_address from, const message& it,
                             time_point now) {
    std::visit(
        overloaded{
            [&](const load_report& one) { on_report(from, one, now); },
            [&](const owned_flows& one) {
                for (const owned_flow& flow : one.flows)
                    on_flow(from, flow, now);
                peers_.on_flows(from, one, now);
            },
            [&](const flow_denial& one) {
                for (const flow_key& flow : one.not_owned)
                    search_.on_not_owned(from, flow, now);
                for (const flow_key& flow : one.uncertain)
                    search_.on_uncertain(from, flow, now);
            },
            [&](const packet_returned& one) { on_returned(from, one, now); },
            [&](const peer_hello& one) {
                for (const departed_host& host : one.departed)
                    peers_.add_departed(host, now);
                entries_.on_hello(from, one, local_status(now), now);
            },
            [&](const directory_request&) {
                send_intent(std::span(&from, 1));
                entries_.on_request(from, directory_, now);
            },
            [&](const directory_part_request& one) {
                entries_.on_part_request(from, one, directory_, now);
            },
            [&](const directory_position& one) {
                entries_.on_position(from, one, now);
            },
            [&](const directory_delta& one) {
                const bool adopted = directory_.adopt_delta(one, now);
                if (adopted)
                    on_directory_changed("from_peer", now);
                if (one.wants_position)
                    entries_.send_position(from, directory_);
                else if (!adopted && one.as_of > directory_.as_of() &&
                         (one.as_of.era() != directory_.as_of().era() ||
                          one.digest != directory_.digest()))
                    entries_.request_from(from, now);
            },
            [&](const barrier_request& one) {
                barrier_.on_request(from, one, now);
            },
            [&](const barrier_reply& one) {
                barrier_.on_reply(from, one, directory_);
            },
            [&](const operator_intent& one) { on_intent(one, now); },
            [&](const directory_part& one) {
                const auto view = entries_.on_part(from, one, now);
                if (!view)
                    return;
                if (directory_.adopt_view(*view, now))
                    on_directory_changed("from_peer", now);
                entries_.send_position(from, directory_);
            },
            [&](const auto&) {
                report({.name = "dropped", .reason = "unexpected_message"});
            }},
        it);
}

void entry_relay::on_report(machine_address from, const load_report& it,
                            time_point now) {
    const bool was_dead = peers_.host_is_dead(from);
    if (peers_.on_report(from, it, now))
        peers_.update_from_directory(directory_, from);
    // Host processes list the entries of the recipient's data centre.
    for (const machine_address entry : it.entries)
        entries_.add_near_entry(entry, now);
    if (peers_.host_is_dead(from) != was_dead)
        report({.severity = event::level::info,
                .name = was_dead ? "host_back" : "host_dead",
                .reason = "process_says_so",
                .machine = from});
}

void entry_relay::on_flow(machine_address from, const owned_flow& owned,
                          time_point now) {
    const auto* peer = peers_.find(from);
    if (peer == nullptr)
        return;
    const auto open = openings_.find(owned.flow);
    // The client has used its port again; the announced flow is the old one.
    // A search means that the client's connection is already open.
    if (open != openings_.end() &&
        open->second.client_start != owned.client_start &&
        !search_.active(owned.flow))
        return;
    hint* known = hints_.find(owned.flow);
    if (known != nullptr && known->client_start == owned.client_start &&
        known->owner != from) {
        // Two hosts have accepted copies of one opening packet.
        known->alternative = from;
        known->alternative_service = peer->service;
        known->alternative_start = owned.host_start;
    } else {
        hints_.put(owned.flow, {.owner = from,
                                .service = peer->service,
                                .client_start = owned.client_start,
                                .host_start = owned.host_start});
    }
    peers_.on_answered(from);
    if (open != openings_.end()) {
        hooks_.record_latency("flow_open", now - open->second.first_at);
        openings_.erase(open);
    }
    if (const auto search_start = search_.started_at(owned.flow)) {
        hooks_.record_latency("owner_search", now - *search_start);
        report({.name = "owner_found",
                .flow = owned.flow,
                .machine = from,
                .inputs = {{{"after_ms", (now - *search_start) /
                                             std::chrono::milliseconds(1)}}}});
    }
    const routing_mark mark{forwarding_mode::forward, peer->service};
    for (const bytes& packet : search_.on_found(owned.flow, from))
        hooks_.forward(from, mark, packet);
}

void entry_relay::add_entries(const std::vector<machine_address>& machines,
                              time_point now) {
    for (const machine_address it : machines)
        entries_.add_entry(it, now);
}

void entry_relay::on_returned(machine_address from,
                              const packet_returned& returned, time_point now) {
    const auto packet = hooks_.decode(returned.datagram);
    if (!packet) {
        report({.severity = event::level::warning,
                .name = "dropped",
                .reason = "bad_returned_packet",
                .machine = from});
        return;
    }
    report({.name = "packet_returned",
            .reason = to_string(returned.reason),
            .flow = packet->flow,
            .machine = from});
    if (packet->is_opening() && returned.reason == return_reason::host_refused)
        peers_.on_returned(from, now);
    if (directory_.find_route(packet->flow.service) == nullptr) {
        on_unrouted(*packet, false, now);
        return;
    }
    const hint* known = hints_.find(packet->flow);
    const bool accepted = known != nullptr;
    if (accepted && known->owner == from)
        hints_.erase(packet->flow);
    if (!packet->is_opening()) {
        if (hint* current = hints_.find(packet->flow))
            on_known_flow(*packet, *current, now);
        else
            search_owner(*packet, from, now);
        return;
    }
    const auto open = openings_.find(packet->flow);
    // Another host has accepted the packet, or the client has proceeded.
    if (open == openings_.end() || accepted)
        return;
    if (++open->second.returns > options_.max_returns ||
        !place_flow(packet->flow, open->second, now)) {
        report({.severity = event::level::info,
                .name = "refused",
                .reason = "every_host_refused",
                .flow = packet->flow});
        hooks_.reset(packet->flow, packet->acknowledged);
        openings_.erase(open);
    }
}

void entry_relay::on_tick(time_point now) {
    if (last_tick_ && now - *last_tick_ > options_.pause_limit) {
        report({.severity = event::level::warning,
                .name = "resumed",
                .value = static_cast<std::uint64_t>(
                    (now - *last_tick_).count() / 1000)});
        peers_.on_resumed(now);
        entries_.on_resumed(now);
        hooks_.restart_reading("paused");
    }
    last_tick_ = now;
    directory_.on_tick(now);
    report_restore();
    if (directory_.digest() != last_digest_)
        on_directory_changed("lapsed", now);
    send_hellos(now);
    choose_reader(now);
    entries_.on_tick(local_status(now), now);
    if (reading_)
        entries_.push(directory_, now);
    repeat_intent();
    ask_for_evacuations(now);
    if (reading_ && entries_.is_stuck(directory_, stuck_limit, now))
        read_again("behind_peers", now);
    hedge_openings(now);
    decide_waiting(now);
    search_.on_tick(now);
    flush(now);
}

peer_entries::local_status entry_relay::local_status(time_point now) {
    if (!entries_heard_at_ && has_heard_entries(now))
        entries_heard_at_ = now;
    return {.known = directory_,
            .store_lost = directory_.is_store_lost(),
            .reads_store =
                reading_ && entries_.is_elected() && !awaits_store_answer_,
            .departed = peers_.departed(),
            .knows_departed =
                entries_heard_at_ &&
                now - *entries_heard_at_ >= options_.departed_report_time};
}

// Sends unanswered opening packets to further hosts.
void entry_relay::hedge_openings(time_point now) {
    std::vector<flow_key> ended;
    for (auto& [flow, it] : openings_) {
        if (now - it.first_at > options_.open_timeout) {
            ended.push_back(flow);
            continue;
        }
        if (now < it.due || it.hedges >= options_.max_hedges)
            continue;
        ++it.hedges;
        if (!it.tried.empty()) {
            peers_.on_unanswered(it.tried.back(), now);
            report({.severity = event::level::info,
                    .name = "opening_unanswered",
                    .flow = flow,
                    .machine = it.tried.back()});
        }
        place_flow(flow, it, now);
    }
    for (const flow_key& flow : ended)
        openings_.erase(flow);
}

void entry_relay::on_listing(revision as_of,
                             std::vector<directory_change> items,
                             time_point now) {
    directory_.on_store_regained(now);
    awaits_store_answer_ = false;
    const auto listed = evacuation_requests(items);
    if (directory_.adopt_listing(as_of, std::move(items), now))
        on_directory_changed("listing", now);
    else
        report_ignored("listing", as_of);
    watched_until_ = as_of;
    if (evacuations_.adopt_listing(as_of, listed))
        on_evacuations_changed("listing", now);
}

void entry_relay::on_changes(revision as_of,
                             const std::vector<directory_change>& items,
                             time_point now) {
    directory_.on_store_regained(now);
    awaits_store_answer_ = false;
    apply_changes(as_of, items, now);
    const bool changed = apply_evacuations(items);
    advance_evacuations(as_of, now);
    if (changed)
        on_evacuations_changed("change", now);
}

// Changes that a read barrier has brought already arrive again with the watch.
void entry_relay::apply_changes(revision as_of,
                                const std::vector<directory_change>& items,
                                time_point now) {
    const bool is_older = as_of < directory_.as_of();
    for (const directory_change& it : items)
        if (!directory_.apply(it, now) && is_older)
            report_ignored("change", it.at);
    directory_.advance(as_of);
    if (!items.empty())
        on_directory_changed("change", now);
}

// After a restore of the store, the listing of the process that reads for its
// data centre comes first.
void entry_relay::on_store_read(std::uint64_t id, store_read it,
                                time_point now) {
    if (it.as_of.era() != directory_.as_of().era()) {
        barrier_.on_read_failed(id, now);
        return;
    }
    if (reading_) {
        directory_.on_store_regained(now);
        awaits_store_answer_ = false;
    }
    if (!it.is_listing) {
        apply_changes(it.as_of, it.items, now);
        if (apply_evacuations(it.items))
            on_evacuations_changed("change", now);
    } else {
        const auto listed = evacuation_requests(it.items);
        if (directory_.adopt_listing(it.as_of, std::move(it.items), now))
            on_directory_changed("listing", now);
        if (evacuations_.adopt_listing(it.as_of, listed))
            on_evacuations_changed("listing", now);
    }
    barrier_.on_read(id, directory_);
    flush(now);
}

void entry_relay::on_store_read_failed(std::uint64_t id, time_point now) {
    barrier_.on_read_failed(id, now);
}

void entry_relay::report_ignored(const char* what, revision at) const {
    report({.severity = event::level::info,
            .name = "store_answer_ignored",
            .reason = what,
            .inputs = {{{"revision", static_cast<std::int64_t>(at.number())},
                        {"era", static_cast<std::int64_t>(at.era().value())},
                        as_of_input(),
                        version_input()}}});
}

void entry_relay::on_store_error(time_point now) {
    if (reading_)
        directory_.on_store_lost(now);
}

// One entry reads the store for its data centre and pushes changes to the
// others, so the number of calls to the store grows with the number of data
// centres, not of entries.
void entry_relay::choose_reader(time_point now) {
    if (directory_.is_store_lost())
        awaits_store_answer_ = true;
    const bool reads =
        !directory_.is_ready() ||
        entries_.should_read(reading_, awaits_store_answer_, now);
    if (reads == reading_)
        return;
    reading_ = reads;
    report({.severity = event::level::info,
            .name = reads ? "reads_store" : "follows_reader"});
    if (!reads)
        directory_.on_store_regained(now);
    const revision after = reading_position();
    if (reads)
        watched_until_ = std::max(watched_until_, after);
    hooks_.set_reading_enabled(reads, after);
    if (reads && needs_listing())
        hooks_.restart_reading("evacuations_unknown");
}

void entry_relay::on_directory_changed(const char* reason, time_point now) {
    if (directory_.digest() == last_digest_)
        return;
    last_digest_ = directory_.digest();
    if (!directory_at_ && directory_.is_ready())
        directory_at_ = now;
    peers_.update_from_directory(directory_, now);
    report({.severity = event::level::info,
            .name = "directory_changed",
            .reason = reason,
            .inputs = {{version_input(),
                        as_of_input(),
                        {"hosts", static_cast<std::int64_t>(
                                      directory_.hosts().size())}}}});
    host_changes_.update(directory_, hooks_.report);
    check_evacuations(now);
    send_hellos(now);
}

void entry_relay::report_restore() {
    const store_era era = directory_.as_of().era();
    if (!directory_at_ || era == era_)
        return;
    const bool is_first = era_ == store_era();
    era_ = era;
    if (!is_first)
        report({.severity = event::level::warning,
                .name = "store_restored",
                .value = era.value(),
                .inputs = {{version_input(), as_of_input()}}});
}

bool entry_relay::is_ready(time_point now) const {
    // Routers must not send traffic to a machine that reaches no host.
    return directory_at_ && !awaits_evacuations(now) &&
           !peers_.is_isolated(now) &&
           (peers_.has_initial_reports(now) ||
            now - *directory_at_ > initial_flows_timeout);
}

} // namespace arbutusport::relay
