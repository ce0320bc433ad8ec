// Updates and queries of an entry's table of host processes.

#include <arbutusport/relay/host_peers.hpp>

#include <algorithm>

namespace arbutusport::relay {

namespace {

// Keeps a hello between entries within one Ethernet frame.
constexpr std::size_t max_listed_departed = 64;

} // namespace

void host_peers::update_from_directory(const directory& known, time_point now) {
    for (auto& [machine, it] : peers_)
        it.registered = false;
    for (const auto& [key, it] : known.hosts()) {
        const machine_address machine(it.record.address.address);
        peer& one =
            peers_.try_emplace(machine, peer{.known_since = now}).first->second;
        one.registered = true;
        one.service = make_service_tag(it.record.service);
        one.data_centre = it.record.data_centre;
    }
    forget_departed(now);
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

std::vector<machine_address> host_peers::take_due_hellos(time_point now) {
    forget_departed(now);
    std::vector<machine_address> due;
    for (auto& [machine, it] : peers_) {
        if (now - it.hello_at < options_.hello_interval)
            continue;
        it.hello_at = now;
        due.push_back(machine);
    }
    return due;
}

void host_peers::on_report(machine_address from, const load_report& report,
                           time_point now) {
    const auto it = peers_.find(from);
    if (it == peers_.end())
        return;
    peer& known = it->second;
    if (known.has_reported && known.report.run != report.run)
        known.unanswered = 0;
    known.has_reported = true;
    known.heard_at = now;
    known.report = report;
    known.service = report.service;
    known.placed_since = 0;
    if (now - known.unanswered_at > options_.unanswered_retention)
        known.unanswered = 0;
}

void host_peers::on_flows(machine_address from, const owned_flows& here) {
    const auto it = peers_.find(from);
    if (it == peers_.end())
        return;
    peer& known = it->second;
    known.sent_flows = known.sent_flows || known.has_reported;
    known.report.outstanding = here.outstanding;
    known.report.flows = here.total;
    const auto announced = static_cast<std::uint32_t>(here.flows.size());
    known.placed_since -= std::min(known.placed_since, announced);
}

void host_peers::on_placed(machine_address machine) {
    if (const auto it = peers_.find(machine); it != peers_.end())
        ++it->second.placed_since;
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
    return it != nullptr && it->has_reported &&
           it->report.host == host_state::dead;
}

std::int64_t host_peers::report_age_ms(machine_address machine,
                                       time_point now) const {
    const peer* it = find(machine);
    return it == nullptr || !it->has_reported
               ? -1
               : (now - it->heard_at) / std::chrono::milliseconds(1);
}

bool host_peers::is_isolated(time_point now) const {
    return !peers_.empty() && std::ranges::all_of(peers_, [&](const auto& it) {
        const peer& one = it.second;
        const time_point since =
            one.has_reported ? one.heard_at : one.known_since;
        return now - since > options_.isolation_timeout;
    });
}

bool host_peers::has_initial_reports(time_point now) const {
    for (const auto& [machine, it] : peers_)
        if (!it.has_reported && now - it.known_since < options_.silence_timeout)
            return false;
    return true;
}

bool host_peers::is_reachable(const peer& it, time_point now) const {
    if (!it.has_reported)
        return now - it.known_since < options_.silence_timeout;
    return it.report.host == host_state::alive &&
           now - it.heard_at < options_.silence_timeout;
}

std::vector<owner_search::target>
host_peers::possible_owners(std::span<const service_tag> services,
                            data_centre_id own, std::uint64_t flow_hash) const {
    std::vector<owner_search::target> out;
    std::vector<std::pair<std::uint64_t, machine_address>> likely_machines;
    for (const auto& [machine, it] : peers_) {
        const bool dead = it.has_reported && it.report.host == host_state::dead;
        if (dead)
            continue;
        out.push_back({machine, it.service});
        const bool is_target_service =
            std::ranges::find(services, it.service) != services.end();
        // A process that has sent its flows has announced this one if its host
        // owns it.
        if (is_target_service && it.data_centre == own && !it.sent_flows)
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

std::vector<candidate> host_peers::candidates(const directory& known,
                                              service_id service,
                                              data_centre_id own,
                                              time_point now) const {
    std::vector<candidate> out;
    for (const auto& [key, host] : known.hosts()) {
        const host_record& record = host.record;
        if (record.service != service || record.draining)
            continue;
        const machine_address machine(record.address.address);
        const peer* known_peer = find(machine);
        // The address is already used by another service.
        if (known_peer != nullptr && known_peer->has_reported &&
            known_peer->report.service != make_service_tag(service))
            continue;
        candidate host_candidate{.machine = machine,
                                 .local = record.data_centre == own,
                                 .slots = record.slots,
                                 .warming_up =
                                     now - host.seen_at < record.warmup_left};
        if (known_peer != nullptr) {
            host_candidate.reachable = is_reachable(*known_peer, now);
            host_candidate.busy = known_peer->report.busy_milli / 1000.0;
            host_candidate.outstanding = known_peer->report.outstanding;
            host_candidate.flows = known_peer->report.flows;
            host_candidate.placed_since = known_peer->placed_since;
            host_candidate.unanswered = known_peer->unanswered;
        }
        if (host.lapsed)
            host_candidate.reachable = host_candidate.reachable &&
                                       known_peer != nullptr &&
                                       known_peer->has_reported;
        out.push_back(host_candidate);
    }
    return out;
}

} // namespace arbutusport::relay
