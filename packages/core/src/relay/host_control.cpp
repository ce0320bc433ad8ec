// Control side of a host's relay process: messages, announcements and timers.

#include <arbutusport/relay/host_relay.hpp>

#include <algorithm>
#include <utility>

namespace arbutusport::relay {

namespace {

constexpr duration sweep_interval = std::chrono::seconds(1);
// Entries listed in one report; later reports list the next ones.
constexpr std::size_t max_listed_entries = 4;
// Only entries heard within this time are listed, and share the room of a cold
// host. It covers two hellos.
constexpr duration listing_age = std::chrono::seconds(1);

// Entries take a single flow for one that has just opened. Any other that would
// be alone is named twice, which all builds can read.
void mark_as_known(owned_flows& it) {
    if (it.flows.size() == 1)
        it.flows.push_back(it.flows.front());
}

} // namespace

void host_relay::on_message(machine_address from, const message& it,
                            time_point now) {
    if (const auto* query = std::get_if<flow_query>(&it)) {
        on_query(from, *query, now);
        return;
    }
    const auto* hello_message = std::get_if<hello>(&it);
    if (hello_message == nullptr) {
        hooks_.report({.name = "dropped",
                       .reason = "unexpected_message",
                       .machine = from});
        return;
    }
    entry& sender = entries_[from];
    sender.data_centre = hello_message->data_centre;
    sender.heard_at = now;
    // An entry sends plain hellos too until this process has reported its work.
    if (std::exchange(sender.run, hello_message->run) != hello_message->run)
        sender.wants_work = false;
    sender.wants_work = sender.wants_work || hello_message->wants_work;
    if (hello_message->slots > 0)
        work_.set_slots(hello_message->slots, now);
    set_idle_timeout(sender, hello_message->idle_timeout);
    on_registration(hello_message->registered, now);
    gate_.on_hello(*hello_message, now);
    if (hello_message->host_started.value() + options_.restart_gap_ms >=
        options_.started.value())
        claim_all_flows(
            "host_started_later", from,
            static_cast<std::int64_t>(hello_message->host_started.value()),
            now);
    if (state_ == host_state::listener_closed && has_no_flows(now))
        end_all_flows(now);
    load_report report = make_report(now, sender);
    report.entries = next_listed_entries(sender, now);
    hooks_.send(from, report);
    if (hello_message->wants_flows)
        send_flows(from, hello_message->data_centre, now);
}

void host_relay::on_query(machine_address from, const flow_query& it,
                          time_point now) {
    flow_denial denial;
    owned_flows here = make_owned_flows();
    const bool is_certain = state_ == host_state::dead || knows_all_flows(now);
    auto& denied = is_certain ? denial.not_owned : denial.uncertain;
    for (const flow_key& flow : it.flows) {
        const auto known = flows_.find(flow);
        if (known == flows_.end() || state_ == host_state::dead)
            denied.push_back(flow);
        else
            here.flows.push_back(
                {flow, known->second.client_start, known->second.host_start});
    }
    mark_as_known(here);
    if (!here.flows.empty())
        hooks_.send(from, here);
    if (!denial.not_owned.empty() || !denial.uncertain.empty())
        hooks_.send(from, denial);
}

// An entry may have an outdated configuration. The longest idle timeout is
// used, because a shorter one would disown flows that are still in use.
void host_relay::set_idle_timeout(entry& sender, duration it) {
    if (it > duration::zero() && std::exchange(sender.idle_timeout, it) != it)
        update_idle_timeout();
}

void host_relay::update_idle_timeout() {
    duration longest{};
    for (const auto& [machine, it] : entries_)
        longest = std::max(longest, it.idle_timeout);
    if (longest > duration::zero())
        idle_timeout_ = longest;
}

// A drain reaches entries at different times, so an older `ready` must not
// override `draining`; a drain is never revoked.
void host_relay::on_registration(registration it, time_point now) {
    const bool old = now - registered_at_ > options_.registration_timeout;
    if (it == registration::unknown ||
        (registration_ == registration::draining && !old &&
         it == registration::ready))
        return;
    if (registration_ != it)
        hooks_.report({.severity = event::level::info,
                       .name = "registration_changed",
                       .reason = to_string(it)});
    registration_ = it;
    registered_at_ = now;
}

bool host_relay::is_registered_ready(time_point now) const {
    return registration_ == registration::ready &&
           now - registered_at_ < options_.registration_timeout;
}

void host_relay::on_tick(time_point now) {
    const duration limit = is_registered_ready(now)
                               ? options_.crash_timeout
                               : options_.closed_listener_timeout;
    silence_.on_tick(now);
    if (silence_.length() > limit)
        end_all_flows(now);
    // A host that does not react to a packet may own the flow or may have
    // ended; only packets from the host decide.
    std::erase_if(pending_deliveries_,
                  [&](const auto& it) { return now >= it.second.due; });
    if (now - last_sweep_at_ < sweep_interval)
        return;
    last_sweep_at_ = now;
    work_.expire(now);
    std::vector<flow_key> ended;
    for (const auto& [flow, it] : flows_) {
        if (it.host_closed &&
            now - it.host_closed_at >= options_.closed_request_timeout)
            work_.on_flow_end(flow, now);
        const duration silent = now - it.used_at;
        const bool closed = it.client_closed && it.host_closed;
        if ((closed && silent > options_.closed_flow_retention) ||
            (!it.confirmed && silent > options_.confirm_timeout) ||
            silent > 2 * idle_timeout_)
            ended.push_back(flow);
    }
    for (const flow_key& flow : ended)
        erase(flow, now);
    update_load(now);
    std::erase_if(entries_, [&](const auto& it) {
        return now - it.second.heard_at > options_.entry_timeout;
    });
    update_idle_timeout();
}

void host_relay::erase(const flow_key& flow, time_point now) {
    const auto it = flows_.find(flow);
    if (it == flows_.end())
        return;
    work_.on_flow_end(flow, now);
    update_load(now);
    flows_.erase(it);
}

// Announces the flow to the entries of its data centre, since any of them may
// receive the flow's next packet.
void host_relay::announce(const flow_key& flow, const flow_state& it,
                          bool is_new, time_point now,
                          machine_address additional_entry) {
    owned_flows here = make_owned_flows();
    here.flows.push_back({.flow = flow,
                          .client_start = it.client_start,
                          .host_start = it.host_start});
    if (!is_new)
        mark_as_known(here);
    const message announcement = here;
    bool was_sent = additional_entry == machine_address();
    for (const auto& [machine, one] : entries_) {
        if (machine != additional_entry &&
            (one.data_centre != it.via ||
             now - one.heard_at > options_.entry_timeout))
            continue;
        was_sent = was_sent || machine == additional_entry;
        hooks_.send(machine, announcement);
    }
    if (!was_sent)
        hooks_.send(additional_entry, announcement);
}

// From now on flows that are missing from the table are denied.
void host_relay::claim_all_flows(const char* reason, machine_address from,
                                 std::int64_t host_started_ms, time_point now) {
    if (!knows_all_flows(now))
        hooks_.report({.severity = event::level::info,
                       .name = "flow_table_complete",
                       .reason = reason,
                       .machine = from,
                       .value = flows_.size(),
                       .inputs = {{{"host_started_ms", host_started_ms},
                                   {"process_started_ms",
                                    static_cast<std::int64_t>(
                                        options_.started.value())}}}});
    flows_complete_since_ = now - idle_timeout_;
}

// Within the idle timeout every live flow has sent at least one packet.
bool host_relay::knows_all_flows(time_point now) const {
    return now - flows_complete_since_ >= idle_timeout_;
}

owned_flows host_relay::make_owned_flows() const {
    return {.outstanding = load_.outstanding(),
            .total = static_cast<std::uint32_t>(flows_.size())};
}

load_report host_relay::make_report(time_point now, const entry& recipient) {
    return {.run = options_.run,
            .service = make_service_tag(options_.service),
            .host = is_stopping_ && state_ == host_state::alive
                        ? host_state::listener_closed
                        : state_,
            .knows_all_flows = knows_all_flows(now),
            .outstanding = load_.outstanding(),
            .busy_milli = static_cast<std::uint32_t>(
                1000 * std::max(load_.mean(now), 0.0)),
            .flows = static_cast<std::uint32_t>(flows_.size()),
            .work = recipient.wants_work ? std::optional(make_work(now))
                                         : std::nullopt};
}

// Each entry places within the room that it knows until the next report. If
// each were told all of it, a report interval would bring many times the room,
// and most of that would be returned.
std::uint16_t host_relay::opening_room_share(time_point now) const {
    const std::uint16_t room = gate_.room(now);
    if (room == host_work::unlimited_room)
        return room;
    const auto entries = static_cast<std::size_t>(
        std::ranges::count_if(entries_, [&](const auto& it) {
            return now - it.second.heard_at <= listing_age;
        }));
    const auto n = std::max<std::size_t>(entries, 1);
    return static_cast<std::uint16_t>((room + n - 1) / n);
}

void host_relay::send_report_to_all(time_point now) {
    for (const auto& [machine, one] : entries_)
        hooks_.send(machine, make_report(now, one));
}

// Lists the entries of the recipient's data centre in turn, so that they find
// one another.
std::vector<machine_address> host_relay::next_listed_entries(entry& recipient,
                                                             time_point now) {
    std::vector<machine_address> out;
    auto it = entries_.upper_bound(recipient.last_listed);
    for (std::size_t n = entries_.size();
         n > 0 && out.size() < max_listed_entries; --n) {
        if (it == entries_.end())
            it = entries_.begin();
        if (it->second.data_centre == recipient.data_centre &&
            now - it->second.heard_at <= listing_age)
            out.push_back(it->first);
        ++it;
    }
    if (!out.empty())
        recipient.last_listed = out.back();
    return out;
}

void host_relay::send_flows(machine_address to, data_centre_id data_centre,
                            time_point) {
    owned_flows batch = make_owned_flows();
    for (const auto& [flow, it] : flows_) {
        if (it.via != data_centre && it.via != data_centre_id())
            continue;
        batch.flows.push_back({flow, it.client_start, it.host_start});
        if (batch.flows.size() == max_flows_per_message) {
            hooks_.send(to, batch);
            batch.flows.clear();
        }
    }
    mark_as_known(batch);
    // The last batch may be empty; it marks the end.
    hooks_.send(to, batch);
}

data_centre_id host_relay::data_centre_of(machine_address entry) const {
    const auto it = entries_.find(entry);
    return it == entries_.end() ? data_centre_id() : it->second.data_centre;
}

} // namespace arbutusport::relay
