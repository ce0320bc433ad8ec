// Updates and queries of an entry's table of host processes.

#include <arbutusport/relay/host_peers.hpp>

#include <algorithm>
#include <utility>

namespace arbutusport::relay {

namespace {

// Keeps a hello between entries within one Ethernet frame.
constexpr std::size_t max_listed_departed = 64;
// Reports of an earlier run of a process arrive late by at most this time.
constexpr duration earlier_run_timeout = std::chrono::seconds(1);
// The first request follows the opening by a client's round trip, a few
// milliseconds within a region; a report includes it after that.
constexpr duration first_request_delay = std::chrono::milliseconds(20);

} // namespace

void recent_count::add(time_point now) {
    if (now - newest_from_ > first_request_delay) {
        newest_ = 0;
        newest_from_ = now;
    }
    ++newest_;
    ++total_;
}

void recent_count::subtract(std::uint32_t n) {
    total_ -= std::min(total_, n);
    newest_ = std::min(newest_, total_);
}

void recent_count::on_report(time_point now) {
    if (now - newest_from_ > first_request_delay)
        newest_ = 0;
    total_ = newest_;
}

void host_peers::update_from_directory(const directory& known, time_point now) {
    for (auto& [machine, it] : peers_)
        it.registered = false;
    for (const auto& [key, it] : known.hosts()) {
        const machine_address machine(it.record.address.address);
        // One record for each machine decides.
        if (record_of(known, machine) != &it)
            continue;
        peer& one = peers_
                        .try_emplace(machine, peer{.followed = false,
                                                   .known_since = now})
                        .first->second;
        register_host(one, it);
    }
    if (known.is_ready() && !std::exchange(asked_unrouted_, true))
        ask_unrouted(known, now);
    // A host serves its flows after its registration vanished, so its process
    // is followed until it no longer answers.
    for (auto& [machine, it] : peers_)
        if (!it.registered)
            follow(it, true, now);
    select_followed(known, now);
    forget_departed(now);
}

void host_peers::update_from_directory(const directory& known,
                                       machine_address machine) {
    const auto found = peers_.find(machine);
    if (found == peers_.end())
        return;
    if (const directory::host* it = record_of(known, machine))
        register_host(found->second, *it);
    else
        found->second.registered = false;
    found->second.hello_at = {};
}

void host_peers::register_host(peer& one, const directory::host& it) {
    one.registered = true;
    // What a process that is not followed has named becomes outdated.
    if (!one.has_named_service || !one.followed)
        one.service = make_service_tag(it.record.service);
    one.data_centre = it.record.data_centre;
    // The host process must know soon that its host may close its listener.
    if (std::exchange(one.draining, it.record.draining) != it.record.draining)
        one.hello_at = {};
    const std::pair registration(it.record.key, it.record.started);
    if (std::exchange(one.registered_as, registration) == registration)
        return;
    one.has_new_host = one.has_reported;
    // Its process limits the opening packets of a cold host.
    if (options_.limits_cold_hosts && it.record.warmup_left > duration())
        one.hello_at = {};
}

// An entry that has just started knows hosts whose service has lost its routes
// by their records only. A process that runs there answers, and is then kept
// like any other without a registered host.
void host_peers::ask_unrouted(const directory& known, time_point now) {
    for (const auto& [key, it] : known.hosts())
        if (!known.is_routed(it.record.service))
            add_departed({machine_address(it.record.address.address),
                          make_service_tag(it.record.service)},
                         now);
}

const directory::host* host_peers::record_of(const directory& known,
                                             machine_address machine) const {
    const peer* it = find(machine);
    return known.host_at(machine.value(), it != nullptr && it->has_named_service
                                              ? std::optional(it->service)
                                              : std::nullopt);
}

bool host_peers::may_describe(const host_record& it,
                              machine_address machine) const {
    const peer* known = find(machine);
    return known == nullptr || !known->has_named_service ||
           known->service == make_service_tag(it.service);
}

void host_peers::follow(peer& it, bool followed, time_point now) {
    if (it.followed == followed)
        return;
    it.followed = followed;
    it.known_since = now;
    it.hello_at = {};
    // Figures of a process that is not followed become outdated.
    it.has_reported = false;
    it.sent_flows = false;
    it.placed.clear();
    it.opened.clear();
    it.openings_since = 0;
    it.returned_since = false;
    it.unanswered = 0;
}

void host_peers::forget_departed(time_point now) {
    std::erase_if(peers_, [&](const auto& it) {
        const peer& one = it.second;
        return !one.registered &&
               now - (one.has_reported ? one.heard_at : one.known_since) >
                   options_.departed_timeout;
    });
}

void host_peers::add_departed(const departed_host& it, time_point now) {
    peers_.try_emplace(
        it.machine,
        peer{.registered = false, .service = it.service, .known_since = now});
}

std::vector<departed_host> host_peers::departed() const {
    std::vector<departed_host> out;
    for (const auto& [machine, it] : peers_)
        if (!it.registered && it.has_reported &&
            out.size() < max_listed_departed)
            out.push_back({machine, it.service});
    return out;
}

std::vector<machine_address> host_peers::take_due_hellos(const directory& known,
                                                         time_point now) {
    forget_departed(now);
    if (now - selected_at_ >= options_.selection_interval)
        select_followed(known, now);
    std::vector<machine_address> due;
    for (auto& [machine, it] : peers_) {
        if (!it.followed || now - it.hello_at < interval(it))
            continue;
        it.hello_at = now;
        due.push_back(machine);
    }
    return due;
}

hello_kinds host_peers::next_hello(machine_address machine, time_point now) {
    const auto it = peers_.find(machine);
    if (it == peers_.end())
        return {};
    peer& known = it->second;
    const bool is_silent =
        !known.has_reported ||
        now - known.heard_at > interval(known) + options_.answer_delay;
    return known.hellos.next(is_silent);
}

void host_peers::hasten_hellos(data_centre_id data_centre) {
    for (auto& [machine, it] : peers_)
        if (it.data_centre == data_centre)
            it.hello_at = {};
}

bool host_peers::on_report(machine_address from, const load_report& report,
                           time_point now) {
    const auto it = peers_.find(from);
    if (it == peers_.end())
        return false;
    peer& known = it->second;
    // An earlier run's report may arrive late. A run may have a lower number
    // than the one before it after a step of the clock.
    if (!known.followed ||
        (known.has_reported && report.run < known.report.run &&
         now - known.heard_at < earlier_run_timeout))
        return false;
    const bool is_other_service =
        known.service != report.service ||
        (!known.has_named_service && !known.registered);
    if (known.has_reported && known.report.run != report.run)
        known.unanswered = 0;
    known.has_reported = true;
    known.has_new_host = false;
    known.heard_at = now;
    known.report = report;
    known.service = report.service;
    known.has_named_service = true;
    known.placed.on_report(now);
    known.opened.on_report(now);
    known.openings_since = 0;
    known.returned_since = false;
    known.hellos.on_report(report.run, report.work.has_value());
    if (now - known.unanswered_at > options_.unanswered_retention)
        known.unanswered = 0;
    return is_other_service;
}

void host_peers::on_flows(machine_address from, const owned_flows& here,
                          time_point now) {
    const auto it = peers_.find(from);
    if (it == peers_.end())
        return;
    peer& known = it->second;
    known.sent_flows = known.sent_flows || known.has_reported;
    known.report.outstanding = here.outstanding;
    known.report.flows = here.total;
    // An opening is announced alone, to all entries of its data centre. Lists
    // name flows that the host has had for some time; if there is only one such
    // flow, it is named twice.
    if (here.flows.size() == 1) {
        known.placed.subtract(1);
        known.opened.add(now);
    }
}

void host_peers::on_placed(machine_address machine, time_point now) {
    const auto it = peers_.find(machine);
    if (it == peers_.end())
        return;
    expire_openings(it->second, now);
    it->second.placed.add(now);
    ++it->second.openings_since;
}

void host_peers::on_returned(machine_address machine, time_point now) {
    const auto it = peers_.find(machine);
    if (it == peers_.end())
        return;
    expire_openings(it->second, now);
    it->second.returned_since = true;
}

// Nobody reports to this entry for a process that is not followed.
bool host_peers::has_expired_openings(const peer& it, time_point now) const {
    return !it.followed && now - it.openings_from >= interval(it);
}

void host_peers::expire_openings(peer& it, time_point now) const {
    if (!has_expired_openings(it, now))
        return;
    it.openings_since = 0;
    it.returned_since = false;
    it.openings_from = now;
}

void host_peers::on_answered(machine_address machine) {
    if (const auto it = peers_.find(machine); it != peers_.end())
        it->second.unanswered = 0;
}

void host_peers::on_unanswered(machine_address machine, time_point now) {
    const auto it = peers_.find(machine);
    if (it == peers_.end())
        return;
    ++it->second.unanswered;
    it->second.unanswered_at = now;
}

void host_peers::on_resumed(time_point now) {
    for (auto& [machine, it] : peers_) {
        it.heard_at = now;
        it.hello_at = {};
        it.known_since = now;
        it.unanswered = 0;
    }
}

const host_peers::peer* host_peers::find(machine_address machine) const {
    const auto it = peers_.find(machine);
    return it == peers_.end() ? nullptr : &it->second;
}

bool host_peers::host_is_dead(machine_address machine) const {
    const peer* it = find(machine);
    return it != nullptr && host_is_dead(*it);
}

bool host_peers::host_is_dead(const peer& it) {
    return it.has_reported && !it.has_new_host &&
           it.report.host == host_state::dead;
}

std::int64_t host_peers::report_age_ms(machine_address machine,
                                       time_point now) const {
    const peer* it = find(machine);
    return it == nullptr || !it->has_reported
               ? -1
               : (now - it->heard_at) / std::chrono::milliseconds(1);
}

duration host_peers::interval(const peer& it) const {
    const bool near = it.data_centre == options_.data_centre || !it.registered;
    return near ? options_.hello_interval : options_.remote_hello_interval;
}

duration host_peers::silence_timeout(const peer& it) const {
    return options_.silence_hellos * interval(it) + options_.answer_delay;
}

bool host_peers::is_isolated(time_point now) const {
    bool follows_any = false;
    for (const auto& [machine, it] : peers_) {
        if (!it.followed)
            continue;
        follows_any = true;
        const time_point since = it.has_reported ? it.heard_at : it.known_since;
        if (now - since <=
            options_.isolation_hellos * interval(it) + options_.answer_delay)
            return false;
    }
    return follows_any;
}

bool host_peers::has_initial_reports(time_point now) const {
    return std::ranges::none_of(peers_, [&](const auto& it) {
        const peer& one = it.second;
        return one.followed && !one.has_reported &&
               now - one.known_since < silence_timeout(one);
    });
}

bool host_peers::is_reachable(const peer& it, time_point now) const {
    if (!it.has_reported)
        return now - it.known_since < silence_timeout(it);
    return it.report.host == host_state::alive &&
           now - it.heard_at < silence_timeout(it);
}

std::vector<owner_search::target>
host_peers::possible_owners(std::span<const service_tag> services,
                            std::uint64_t flow_hash, time_point now) const {
    std::vector<owner_search::target> out;
    std::vector<std::pair<std::uint64_t, machine_address>> likely_machines;
    for (const auto& [machine, it] : peers_) {
        const bool dead = host_is_dead(it);
        // The process beside a crashed host ends soon after it.
        if (dead && now - it.heard_at > interval(it) + options_.answer_delay)
            continue;
        const bool near = it.data_centre == options_.data_centre ||
                          it.data_centre == data_centre_id();
        out.push_back(
            {.machine = machine, .service = it.service, .near = near});
        const bool is_target_service =
            std::ranges::find(services, it.service) != services.end();
        // A process that has sent its flows and knows all of them has announced
        // this one if its host owns it.
        const bool has_announced = it.sent_flows && it.report.knows_all_flows;
        if (!dead && is_target_service &&
            it.data_centre == options_.data_centre && !has_announced)
            likely_machines.emplace_back(placement_rank(flow_hash, machine),
                                         machine);
    }
    const auto n = std::min(likely_machines.size(), options_.likely_owners);
    std::ranges::partial_sort(likely_machines,
                              likely_machines.begin() +
                                  static_cast<std::ptrdiff_t>(n));
    likely_machines.resize(n);
    for (owner_search::target& it : out)
        it.likely = std::ranges::any_of(likely_machines, [&](const auto& one) {
            return one.second == it.machine;
        });
    return out;
}

std::uint64_t host_peers::reported_flows(data_centre_id data_centre) const {
    std::uint64_t out = 0;
    for (const auto& [machine, it] : peers_)
        if (it.data_centre == data_centre && it.has_reported)
            out += it.report.flows;
    return out;
}

} // namespace arbutusport::relay
