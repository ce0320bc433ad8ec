// Compares the directory with the hosts that were last reported.

#include <arbutusport/relay/host_changes.hpp>

#include <algorithm>
#include <utility>

namespace arbutusport::relay {

void host_changes::update(const directory& known,
                          const std::function<void(const event&)>& report) {
    const auto tell = [&](const char* name, const char* reason,
                          const seen& host) {
        report({.severity = event::level::info,
                .name = name,
                .reason = reason,
                .machine = host.machine,
                .inputs = {{{"revision",
                             static_cast<std::int64_t>(host.at.value())}}}});
    };
    std::map<host_key, seen> now;
    for (const auto& [key, it] : known.hosts())
        now[key] = {.machine = machine_address(it.record.address.address),
                    .service = it.record.service,
                    .at = it.at,
                    .draining = it.record.draining,
                    .lapsed = it.lapsed};
    if (std::exchange(is_first_, false)) {
        hosts_ = std::move(now);
        return;
    }
    for (const auto& [key, old] : hosts_)
        if (!now.contains(key))
            tell("host_gone", old.lapsed ? "lapsed" : "removed", old);
    for (const auto& [key, it] : now) {
        const auto old = hosts_.find(key);
        if (old == hosts_.end()) {
            const bool reused =
                std::ranges::any_of(hosts_, [host = it](const auto& o) {
                    return o.second.machine == host.machine &&
                           o.second.service != host.service;
                });
            tell("host_learned", reused ? "address_reused" : "registered", it);
        }
        const bool drained = old != hosts_.end() && old->second.draining;
        const bool lapsed = old != hosts_.end() && old->second.lapsed;
        if (it.draining && !drained)
            tell("host_drains", "registered_so", it);
        if (it.lapsed && !lapsed)
            tell("host_lapsed", "store_unwell", it);
        if (!it.lapsed && lapsed)
            tell("host_back", "registered_again", it);
    }
    hosts_ = std::move(now);
}

} // namespace arbutusport::relay
