// Compares two configurations and describes each change.

#include <arbutusport/records/diff.hpp>

#include <algorithm>
#include <map>
#include <tuple>

namespace arbutusport::records {

namespace {

const char* state_name(host_state it) {
    switch (it) {
    case host_state::active:
        return "active";
    case host_state::draining:
        return "draining";
    case host_state::out:
        return "out";
    }
    return "unknown";
}

const char* state_name(key_state it) {
    return it == key_state::active ? "active" : "accepted";
}

std::string format_number(double it) {
    std::string text = std::to_string(it);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.ends_with('.'))
        text.pop_back();
    return text;
}

std::string format_limits(const host_limits& it) {
    return "slots=" + std::to_string(it.slots) +
           " connections=" + std::to_string(it.connections) +
           " queue=" + std::to_string(it.queue);
}

std::string format_objectives(const objectives& it) {
    return "flows_kept=" + format_number(it.flows_kept) +
           " requests_served=" + format_number(it.requests_served) +
           " latency_us=" + std::to_string(it.latency.count()) +
           " requests_in_time=" + format_number(it.requests_in_time);
}

std::string format_timers(const service& it) {
    return "drain_timeout_us=" + std::to_string(it.drain_timeout.count()) +
           " slow_start_us=" + std::to_string(it.slow_start.count());
}

// Calls on_both for each name in both lists, and on_left or on_right for each
// name in one of them.
template <class Item, class Both, class Left, class Right>
void match_by_name(const std::vector<Item>& left,
                   const std::vector<Item>& right, Both on_both, Left on_left,
                   Right on_right) {
    std::map<std::string, std::pair<const Item*, const Item*>> pairs;
    for (const Item& it : left)
        pairs[it.name].first = &it;
    for (const Item& it : right)
        pairs[it.name].second = &it;
    for (const auto& [name, pair] : pairs)
        if (pair.first && pair.second)
            on_both(*pair.first, *pair.second);
        else if (pair.first)
            on_left(*pair.first);
        else
            on_right(*pair.second);
}

class comparison {
public:
    explicit comparison(std::vector<change>& out) : out_(out) {}

    void compare_services(const service& from, const service& to) {
        service_ = to.name;
        if (from.address != to.address)
            add({.kind = change_kind::service_address,
                 .before = to_string(from.address),
                 .after = to_string(to.address),
                 .flows_may_end = true,
                 .effect = "packets to the old address are dropped; its "
                           "flows end unless clients change to the new one"});
        add_if_changed(
            change_kind::limits, format_limits(from.limits),
            format_limits(to.limits),
            to.limits.connections < from.limits.connections
                ? "hosts above the new limit accept no flows until below it"
                : "none on open flows");
        add_if_changed(
            change_kind::objectives, format_objectives(from.service_objectives),
            format_objectives(to.service_objectives), "none on flows");
        add_if_changed(change_kind::timers, format_timers(from),
                       format_timers(to),
                       "sessions of draining hosts end at the new time-out");
        match_by_name(
            from.hosts, to.hosts,
            [&](const host& a, const host& b) { compare_hosts(a, b); },
            [&](const host& a) { report_removed_host(a); },
            [&](const host& b) { report_new_host(b); });
    }

    void report_removed_service(const service& it) {
        service_ = it.name;
        add({.kind = change_kind::service_removed,
             .before = to_string(it.address),
             .flows_may_end = true,
             .no_new_work = true,
             .effect = "every flow of the service ends"});
    }

    void report_new_service(const service& it) {
        service_ = it.name;
        add({.kind = change_kind::service_added,
             .after = to_string(it.address),
             .effect = "none on open flows"});
    }

    void compare_entries(const entry& from, const entry& to) {
        service_.clear();
        if (std::tie(from.packets, from.control) !=
            std::tie(to.packets, to.control))
            add({.kind = change_kind::entry_address,
                 .subject = to.name,
                 .before = to_string(from.packets),
                 .after = to_string(to.packets),
                 .effect = "answers use the new address; none on open flows"});
    }

    void report_entry_change(change_kind kind, const entry& it) {
        service_.clear();
        const bool is_new = kind == change_kind::entry_added;
        add({.kind = kind,
             .subject = it.name,
             .before = is_new ? "" : to_string(it.packets),
             .after = is_new ? to_string(it.packets) : "",
             .no_new_work = !is_new,
             .effect = "answers return through other entries; none on open "
                       "flows"});
    }

    void compare_keys(const std::vector<packet_key>& from,
                      const std::vector<packet_key>& to);
    void compare_epochs(generation from, generation to);

private:
    void compare_hosts(const host& from, const host& to) {
        if (from.state != to.state)
            report_host_state_change(from, to);
        if (from.weight != to.weight)
            add({.kind = change_kind::host_weight,
                 .subject = to.name,
                 .before = format_number(from.weight),
                 .after = format_number(to.weight),
                 .effect = "share of new flows changes; open flows stay"});
        if (std::tie(from.packets, from.control) !=
            std::tie(to.packets, to.control))
            add({.kind = change_kind::host_address,
                 .subject = to.name,
                 .before =
                     to_string(from.packets) + " " + to_string(from.control),
                 .after = to_string(to.packets) + " " + to_string(to.control),
                 .flows_may_end = true,
                 .effect = "flows of the host end unless the same process "
                           "also receives at the new address"});
        if (from.data_centre != to.data_centre)
            add({.kind = change_kind::host_data_centre,
                 .subject = to.name,
                 .before = from.data_centre,
                 .after = to.data_centre,
                 .effect = "gossip and readers change; none on open flows"});
    }

    void report_host_state_change(const host& from, const host& to) {
        change it{.kind = change_kind::host_returns,
                  .subject = to.name,
                  .before = state_name(from.state),
                  .after = state_name(to.state),
                  .effect = "the host gets new flows again, with slow start"};
        if (to.state == host_state::draining) {
            it.kind = change_kind::host_drains;
            it.no_new_work = true;
            it.flows_may_end = true;
            it.effect = "no new flows; open flows end by notice at the drain "
                        "time-out";
        } else if (to.state == host_state::out) {
            it.kind = change_kind::host_out;
            it.no_new_work = true;
            it.flows_may_end = true;
            it.effect = from.state == host_state::draining
                            ? "flows that are still open on the host end"
                            : "every flow of the host ends; drain it first";
        }
        add(std::move(it));
    }

    void report_removed_host(const host& it) {
        add({.kind = change_kind::host_removed,
             .subject = it.name,
             .before = state_name(it.state),
             .flows_may_end = it.state != host_state::out,
             .no_new_work = true,
             .effect = it.state == host_state::out
                           ? "none: the host was already out"
                           : "flows that are still open on the host end"});
    }

    void report_new_host(const host& it) {
        add({.kind = change_kind::host_added,
             .subject = it.name,
             .after = state_name(it.state),
             .no_new_work = it.state != host_state::active,
             .effect = "takes new flows with slow start; open flows stay"});
    }

    void add_if_changed(change_kind kind, const std::string& before,
                        const std::string& after, const char* effect) {
        if (before != after)
            add({.kind = kind,
                 .before = before,
                 .after = after,
                 .effect = effect});
    }

    void add(change it) {
        it.service = service_;
        out_.push_back(std::move(it));
    }

    // The service under comparison; empty for entries, keys and the epoch.
    std::string service_;
    std::vector<change>& out_;
};

void comparison::compare_keys(const std::vector<packet_key>& from,
                              const std::vector<packet_key>& to) {
    service_.clear();
    std::map<key_id, std::pair<const packet_key*, const packet_key*>> pairs;
    for (const packet_key& it : from)
        pairs[it.id].first = &it;
    for (const packet_key& it : to)
        pairs[it.id].second = &it;
    for (const auto& [id, pair] : pairs) {
        const auto [a, b] = pair;
        const std::string subject = std::to_string(id.value());
        const std::string before = a ? state_name(a->state) : "";
        const std::string after = b ? state_name(b->state) : "";
        if (!a || (b && a->secret_hex != b->secret_hex))
            add({.kind = change_kind::key_added,
                 .subject = subject,
                 .before = before,
                 .after = after,
                 .effect = b->state == key_state::active
                               ? "processes on older generations drop packets "
                                 "signed with it; publish it as accepted first"
                               : "none"});
        else if (!b)
            add({.kind = change_kind::key_removed,
                 .subject = subject,
                 .before = before,
                 .effect = a->state == key_state::active
                               ? "packets signed by processes on older "
                                 "generations are dropped"
                               : "none if no process still signs with it"});
        else if (before != after)
            add({.kind = change_kind::key_state,
                 .subject = subject,
                 .before = before,
                 .after = after,
                 .effect = "none: both states verify"});
    }
}

void comparison::compare_epochs(generation from, generation to) {
    service_.clear();
    if (from.epoch != to.epoch)
        add({.kind = change_kind::epoch,
             .before = std::to_string(from.epoch),
             .after = std::to_string(to.epoch),
             .effect = from.epoch < to.epoch
                           ? "replaces every generation of older epochs"
                           : "refused: processes keep the newer epoch"});
}

} // namespace

const char* to_string(change_kind it) {
    static constexpr const char* names[] = {
        "service_added", "service_removed",  "service_address", "limits",
        "objectives",    "timers",           "host_added",      "host_removed",
        "host_drains",   "host_out",         "host_returns",    "host_weight",
        "host_address",  "host_data_centre", "entry_added",     "entry_removed",
        "entry_address", "key_added",        "key_removed",     "key_state",
        "epoch"};
    return names[static_cast<std::size_t>(it)];
}

std::vector<change> diff(const snapshot& from, const snapshot& to) {
    std::vector<change> out;
    comparison differences(out);
    differences.compare_epochs(from.gen, to.gen);
    differences.compare_keys(from.keys, to.keys);
    match_by_name(
        from.entries, to.entries,
        [&](const entry& a, const entry& b) {
            differences.compare_entries(a, b);
        },
        [&](const entry& a) {
            differences.report_entry_change(change_kind::entry_removed, a);
        },
        [&](const entry& b) {
            differences.report_entry_change(change_kind::entry_added, b);
        });
    match_by_name(
        from.services, to.services,
        [&](const service& a, const service& b) {
            differences.compare_services(a, b);
        },
        [&](const service& a) { differences.report_removed_service(a); },
        [&](const service& b) { differences.report_new_service(b); });
    std::ranges::stable_sort(out, [](const change& a, const change& b) {
        return std::tie(a.service, a.subject) < std::tie(b.service, b.subject);
    });
    return out;
}

} // namespace arbutusport::records
