// Derives the directive from the directory and the evacuations.

#include <arbutusport/relay/host_directive.hpp>

#include <algorithm>

namespace arbutusport::relay {

duration cold_left(const directory::host& host, time_point now) {
    return std::max(host.record.warmup_left - (now - host.seen_at),
                    duration::zero());
}

std::optional<host_directive>
make_directive(const directory::host& host, const directory& known,
               const evacuation_table& evacuations, bool limits_cold_hosts,
               time_point now) {
    const data_centre_id at = host.record.data_centre;
    host_directive out{.as_of = evacuations.changed_at(at),
                       .evacuated = evacuations.is_evacuated(at)};
    if (limits_cold_hosts) {
        const warmup_limit* limit = known.warmup_limit_of(host.record.service);
        out.cold_left = cold_left(host, now);
        if (limit != nullptr) {
            out.openings_per_second = limit->openings_per_second;
            out.warmup = limit->warmup;
            // A host does not stay cold for longer than its service's time.
            if (limit->warmup > duration::zero())
                out.cold_left = std::min(out.cold_left, limit->warmup);
        } else if (known.knows_warmup_limits()) {
            out.cold_left = duration::zero();
        }
    }
    // The limit is also stated for a warm host, whose next start may be known
    // to its process alone.
    if (out.cold_left == duration::zero() && out.openings_per_second == 0 &&
        !evacuations.was_evacuated(at))
        return std::nullopt;
    return out;
}

} // namespace arbutusport::relay
