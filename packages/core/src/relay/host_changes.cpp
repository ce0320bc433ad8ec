// Compares the directory with the hosts that were last reported.

#include <arbutusport/relay/host_changes.hpp>

#include <algorithm>
#include <utility>

namespace arbutusport::relay {

void host_changes::update(const directory& known,
                          const std::function<void(const event&)>& report) {
    const auto report_host = [&](const char* name, const char* reason,
                                 const reported_host& host) {
        report({.severity = event::level::info,
                .name = name,
                .reason = reason,
                .machine = host.machine,
                .inputs = {{{"revision",
                             static_cast<std::int64_t>(host.at.number())}}}});
    };
    std::map<host_key, reported_host> current;
    for (const auto& [key, it] : known.hosts())
        current[key] = {.machine = machine_address(it.record.address.address),
                        .service = it.record.service,
                        .at = it.at,
                        .draining = it.record.draining,
                        .lapsed = it.lapsed};
    if (std::exchange(is_first_, false)) {
        hosts_ = std::move(current);
        return;
    }
    for (const auto& [key, old] : hosts_)
        if (!current.contains(key))
            report_host("host_gone", old.lapsed ? "lapsed" : "removed", old);
    for (const auto& [key, it] : current) {
        const auto old = hosts_.find(key);
        if (old == hosts_.end()) {
            const bool is_reused =
                std::ranges::any_of(hosts_, [host = it](const auto& o) {
                    return o.second.machine == host.machine &&
                           o.second.service != host.service;
                });
            report_host("host_learned",
                        !known.is_routed(it.service) ? "service_without_route"
                        : is_reused                  ? "address_reused"
                                                     : "registered",
                        it);
        }
        const bool was_draining = old != hosts_.end() && old->second.draining;
        const bool was_lapsed = old != hosts_.end() && old->second.lapsed;
        if (it.draining && !was_draining)
            report_host("host_drains", "registered_so", it);
        if (it.lapsed && !was_lapsed)
            report_host("host_lapsed", "store_unwell", it);
        if (!it.lapsed && was_lapsed)
            report_host("host_back", "registered_again", it);
    }
    hosts_ = std::move(current);
}

} // namespace arbutusport::relay
