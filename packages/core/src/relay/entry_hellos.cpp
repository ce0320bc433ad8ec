// Hellos of an entry to the processes beside hosts.

#include <arbutusport/relay/entry_relay.hpp>
#include <arbutusport/relay/host_directive.hpp>

#include <algorithm>
#include <limits>

namespace arbutusport::relay {

namespace {

constexpr std::uint32_t max_slots = std::numeric_limits<std::uint16_t>::max();

} // namespace

void entry_relay::send_hellos(time_point now) {
    for (const machine_address machine :
         peers_.take_due_hellos(directory_, now))
        send_hello(machine, now);
}

// A process of an unknown build gets two messages. The first one has the
// directive, which must arrive before any flow.
void entry_relay::send_hello(machine_address machine, time_point now) {
    hello it{.run = options_.run,
             .data_centre = options_.data_centre,
             .idle_timeout = directory_.idle_timeout(),
             .wants_flows = !peers_.find(machine)->sent_flows};
    const directory::host* host = peers_.record_of(directory_, machine);
    // The record is of the service that takes over the address; the process of
    // the former one may still run.
    const bool is_other =
        host != nullptr && !peers_.may_describe(host->record, machine);
    if (is_other)
        host = nullptr;
    if (host != nullptr)
        it.host_started = host->record.started;
    if (!directory_.is_store_lost() && !is_other)
        it.registered = host == nullptr         ? registration::absent
                        : host->record.draining ? registration::draining
                                                : registration::ready;
    const hello_kinds kinds = peers_.next_hello(machine, now);
    if (kinds.with_work) {
        hello with_work = it;
        with_work.wants_work = true;
        if (host != nullptr) {
            with_work.slots = static_cast<std::uint16_t>(
                std::min(host->record.slots, max_slots));
            with_work.directive =
                make_directive(*host, directory_, evacuations_,
                               options_.peers.limits_cold_hosts, now);
        }
        // The flows are sent once, by any build.
        with_work.wants_flows = it.wants_flows && !kinds.plain;
        hooks_.send(machine, with_work);
    }
    if (kinds.plain)
        hooks_.send(machine, it);
}

} // namespace arbutusport::relay
