// Operator's intent at an entry: how the entries of a data centre learn which
// data centres are evacuated, and what follows for new flows.

#include <arbutusport/relay/entry_relay.hpp>

#include <algorithm>

namespace arbutusport::relay {

namespace {

// Interval of requests to a peer by an entry that waits for the table.
constexpr duration ask_interval = std::chrono::milliseconds(500);
// Rounds of hellos with which a changed table is sent to the whole data centre
// again, since any one message may be lost.
constexpr int change_repeats = 2;
// Minimum time between two repeated listings, because the store limits calls.
constexpr duration reread_interval = std::chrono::seconds(2);

} // namespace

// True if the process takes part in the exchange of the table. Otherwise it
// sends and reads what it would without evacuations.
bool entry_relay::handles_evacuations() const {
    return options_.expects_evacuations || !evacuations_.is_empty();
}

bool entry_relay::apply_evacuations(
    const std::vector<directory_change>& items) {
    bool changed = false;
    for (const directory_change& it : items)
        changed |= evacuations_.apply(it);
    return changed;
}

// An answer of the own watch. Its changes follow those of the answer before,
// or the position from which reading was continued.
void entry_relay::advance_evacuations(revision as_of, time_point now) {
    evacuations_.advance(watched_until_, as_of);
    watched_until_ = std::max(watched_until_, as_of);
    if (reading_ && !evacuations_.is_empty() &&
        evacuations_.complete_until() < watched_until_)
        read_again("evacuations_incomplete", now);
}

// Returns false if the last repeated listing is too recent.
bool entry_relay::read_again(const char* reason, time_point now) {
    if (now - last_reread_at_ <= reread_interval)
        return false;
    last_reread_at_ = now;
    hooks_.restart_reading(reason);
    return true;
}

// A watch has to bring every change that the directory or the table lacks.
revision entry_relay::reading_position() const {
    const revision known = directory_.as_of();
    return handles_evacuations() && evacuations_.is_known()
               ? std::min(known, evacuations_.complete_until())
               : known;
}

// A watch cannot complete a table that is unknown or of another era.
bool entry_relay::needs_listing() const {
    return directory_.is_ready() && handles_evacuations() &&
           (!evacuations_.is_known() ||
            evacuations_.complete_until().era() != directory_.as_of().era());
}

void entry_relay::on_intent(const operator_intent& it, time_point now) {
    // A sender without a configuration states version 0.
    if (it.version > 0)
        directory_.adopt_warmup_limits(it.version, it.warmup_limits);
    if (evacuations_.adopt_peer(it))
        on_evacuations_changed("from_peer", now);
}

void entry_relay::send_intent(std::span<const machine_address> to) const {
    if (!handles_evacuations() || !evacuations_.is_known())
        return;
    const operator_intent it{.as_of = evacuations_.complete_until(),
                             .version = directory_.warmup_limits_version(),
                             .evacuations = evacuations_.list(),
                             .ended = evacuations_.list_ended(),
                             .warmup_limits = directory_.warmup_limits()};
    for (const machine_address machine : to)
        hooks_.send(machine, it);
}

// Goes with the hellos of a reader. Entries of other data centres get it once
// there is something to tell: their data centre may have no access to the
// store, and the digests of their directories do not differ.
void entry_relay::repeat_intent() {
    auto to = entries_.take_round_receivers();
    if (to.empty() || !reading_)
        return;
    if (evacuations_.is_empty())
        std::erase_if(to, [&](machine_address it) {
            return entries_.data_centre_of(it) != options_.data_centre;
        });
    if (intent_repeats_ > 0) {
        --intent_repeats_;
        for (const machine_address it : entries_.near_entries())
            if (std::ranges::find(to, it) == to.end())
                to.push_back(it);
    }
    send_intent(to);
}

void entry_relay::on_evacuations_changed(const char* reason, time_point now) {
    const auto before = std::exchange(in_force_, evacuations_.list());
    const auto report_one = [&](const char* name, const evacuation& it) {
        report({.severity = event::level::info,
                .name = name,
                .reason = reason,
                .value = it.data_centre.value(),
                .inputs = {
                    {{"revision", static_cast<std::int64_t>(it.at.number())},
                     {"era", static_cast<std::int64_t>(it.at.era().value())},
                     as_of_input()}}});
    };
    for (const evacuation& it : in_force_)
        if (std::ranges::find(before, it) == before.end()) {
            report_one("evacuation_in_force", it);
            peers_.hasten_hellos(it.data_centre);
        }
    for (const evacuation& it : before)
        if (!evacuations_.is_evacuated(it.data_centre)) {
            report_one(
                "evacuation_lifted",
                {it.data_centre, evacuations_.changed_at(it.data_centre)});
            peers_.hasten_hellos(it.data_centre);
        }
    peers_.select_followed(directory_, now);
    check_evacuations(now);
    if (!reading_)
        return;
    intent_repeats_ = change_repeats;
    send_intent(entries_.near_entries());
}

bool entry_relay::has_hosts(data_centre_id it) const {
    return std::ranges::any_of(directory_.hosts(), [&](const auto& one) {
        return one.second.record.data_centre == it &&
               directory_.is_routed(one.second.record.service);
    });
}

// Must be called after each change of the table or of the directory.
void entry_relay::check_evacuations(time_point now) {
    if (!directory_.is_ready() || evacuations_.is_empty())
        return;
    std::erase_if(reported_without_hosts_, [&](data_centre_id it) {
        return !evacuations_.is_evacuated(it);
    });
    for (const evacuation& it : in_force_) {
        if (reported_without_hosts_.contains(it.data_centre) ||
            has_hosts(it.data_centre))
            continue;
        reported_without_hosts_.insert(it.data_centre);
        report({.severity = event::level::warning,
                .name = "evacuation_without_effect",
                .reason = "no_host_in_data_centre",
                .value = it.data_centre.value()});
    }
    check_refused_evacuations(now);
}

// A refused request may be of a data centre whose hosts have come since.
void entry_relay::check_refused_evacuations(time_point now) {
    if (!evacuations_.has_refused()) {
        refused_with_.reset();
        return;
    }
    std::set<data_centre_id> present;
    for (const auto& [key, it] : directory_.hosts())
        if (directory_.is_routed(it.record.service))
            present.insert(it.record.data_centre);
    if (!refused_with_) {
        report({.severity = event::level::warning,
                .name = "evacuations_refused",
                .reason = "too_many_without_hosts"});
        refused_with_ = std::move(present);
    } else if (reading_ && !std::ranges::includes(*refused_with_, present) &&
               read_again("evacuations_refused", now)) {
        refused_with_ = std::move(present);
    }
}

// True while an entry that has just started cannot tell where new flows are
// permitted.
bool entry_relay::awaits_evacuations(time_point now) const {
    return options_.expects_evacuations && !evacuations_.is_known() &&
           !(directory_at_ &&
             now - *directory_at_ >= options_.max_evacuations_wait);
}

// The message that comes with a directory may have been lost.
void entry_relay::ask_for_evacuations(time_point now) {
    if (!directory_at_ || !awaits_evacuations(now) ||
        now - std::max(asked_evacuations_at_, *directory_at_) < ask_interval)
        return;
    asked_evacuations_at_ = now;
    const auto reader = entries_.reader();
    const auto near = entries_.near_entries();
    // The reader has the newest table, but may be of a build without one.
    if (reader && (asked_ == 0 || near.empty()))
        hooks_.send(*reader, directory_request{});
    else if (!near.empty())
        hooks_.send(near[asked_ % near.size()], directory_request{});
    ++asked_;
}

// Whether hosts that the route could use are excluded by evacuations only.
bool entry_relay::is_evacuated(const route& it) const {
    if (evacuations_.is_empty())
        return false;
    return std::ranges::any_of(directory_.hosts(), [&](const auto& one) {
        const host_record& host = one.second.record;
        return !host.draining && evacuations_.is_evacuated(host.data_centre) &&
               std::ranges::find(it.targets, host.service,
                                 &weighted_service::service) !=
                   it.targets.end();
    });
}

std::uint64_t entry_relay::flows_to_evacuate() const {
    return evacuations_.is_evacuated(options_.data_centre)
               ? peers_.reported_flows(options_.data_centre)
               : 0;
}

} // namespace arbutusport::relay
