// Hosts that may receive a new flow, as an entry's table of host processes has
// them.

#include <arbutusport/relay/host_directive.hpp>
#include <arbutusport/relay/host_peers.hpp>

#include <algorithm>

namespace arbutusport::relay {

namespace {

// Whether a host of another service has registered at the address since, and
// the process there cannot be told apart by its tag.
bool is_taken_over(const directory::host* newest, const directory::host& host) {
    return newest != nullptr && newest->record.service != host.record.service &&
           make_service_tag(newest->record.service) ==
               make_service_tag(host.record.service);
}

} // namespace

std::vector<candidate> host_peers::candidates(const directory& known,
                                              service_id service,
                                              time_point now) const {
    std::vector<candidate> out;
    std::vector<candidate> others;
    for (const auto& [key, host] : known.hosts()) {
        if (host.record.service != service || host.record.draining ||
            known.is_superseded(host) ||
            options_.is_evacuated(host.record.data_centre))
            continue;
        const auto it = make_candidate(known, host, now);
        if (!it || is_taken_over(record_of(known, it->machine), host))
            continue;
        const peer* known_peer = find(it->machine);
        const bool followed = known_peer == nullptr || known_peer->followed;
        (followed ? out : others).push_back(*it);
    }
    if (std::ranges::none_of(out, [](const candidate& it) {
            return it.reachable && it.opening_room > 0;
        }))
        out.insert(out.end(), others.begin(), others.end());
    return out;
}

// Returns nothing if the address is already used by another service.
std::optional<candidate>
host_peers::make_candidate(const directory& known_hosts,
                           const directory::host& host, time_point now) const {
    const host_record& record = host.record;
    const machine_address machine(record.address.address);
    const peer* known = find(machine);
    if (known != nullptr && known->has_reported &&
        known->report.service != make_service_tag(record.service))
        return std::nullopt;
    candidate out{.machine = machine,
                  .local = record.data_centre == options_.data_centre,
                  .slots = record.slots,
                  .warming_up = now - host.seen_at < record.warmup_left};
    const bool has_reported = known != nullptr && known->has_reported;
    if (known != nullptr) {
        out.reachable = !known->followed || is_reachable(*known, now);
        out.placed_since = known->placed.value();
        out.opened_since = known->opened.value();
        out.unanswered = known->unanswered;
        out.opening_room = opening_room(known_hosts, host, *known, now);
    }
    if (has_reported) {
        out.busy = known->report.busy_milli / 1000.0;
        out.outstanding = known->report.outstanding;
        out.flows = known->report.flows;
        out.work = known->report.work;
        out.report_age = now - known->heard_at;
    }
    if (host.lapsed)
        out.reachable = out.reachable && has_reported;
    return out;
}

// Room that a cold host reported, or before its process knows that it is cold,
// what it bears in one interval of reports.
std::uint32_t host_peers::opening_room(const directory& known,
                                       const directory::host& host,
                                       const peer& process,
                                       time_point now) const {
    std::uint32_t room = candidate::unlimited_room;
    const warmup_limit* limit = known.warmup_limit_of(host.record.service);
    if (options_.limits_cold_hosts && limit != nullptr &&
        cold_left(host, now) > duration::zero())
        room = std::max(
            1U, static_cast<std::uint32_t>(
                    limit->openings_per_second *
                    std::chrono::duration<double>(interval(process)).count()));
    if (process.has_reported && process.report.work &&
        process.report.work->opening_room != host_work::unlimited_room)
        room = process.report.work->opening_room;
    if (room == candidate::unlimited_room || has_expired_openings(process, now))
        return room;
    return process.returned_since
               ? 0
               : room - std::min(room, process.openings_since);
}

} // namespace arbutusport::relay
