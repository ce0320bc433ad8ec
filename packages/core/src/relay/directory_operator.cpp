// The parts of the operator's configuration that are not in the directory that
// entries exchange: the limits of cold hosts, and the terms of routes.

#include <arbutusport/relay/directory.hpp>

#include <algorithm>
#include <utility>

namespace arbutusport::relay {

// Adopts the configuration as read from the store.
void directory::apply_document(revision at, const routing_document& document) {
    apply_routing(at, document);
    // The routes may be known from a peer already, without their terms.
    if (document.version == routing_.version) {
        for (const route& it : document.routes)
            if (const auto known = routes_.find(it.address);
                known != routes_.end())
                known->second.terms = it.terms;
    }
    if (knows_warmup_limits_ && document.version < warmup_limits_version_)
        return;
    std::map<service_id, warmup_limit> limits;
    if (document.warmup_limits_unreadable)
        limits = warmup_limits_;
    for (const warmup_limit& it : document.warmup_limits)
        limits.emplace(it.service, it);
    for (const service_id it : document.invalid_warmup_limits)
        if (const auto known = warmup_limits_.find(it);
            known != warmup_limits_.end())
            limits.insert(*known);
    warmup_limits_ = std::move(limits);
    warmup_limits_version_ = document.version;
    knows_warmup_limits_ = true;
}

// Limits of one version differ only where the configuration has an invalid
// value and one process knows the last valid one.
bool directory::adopt_warmup_limits(std::uint64_t version,
                                    const std::vector<warmup_limit>& limits) {
    if (knows_warmup_limits_ && version < warmup_limits_version_)
        return false;
    std::map<service_id, warmup_limit> adopted;
    if (knows_warmup_limits_ && version == warmup_limits_version_)
        adopted = warmup_limits_;
    for (const warmup_limit& it : limits)
        adopted.emplace(it.service, it);
    const bool changed = !knows_warmup_limits_ || adopted != warmup_limits_;
    warmup_limits_ = std::move(adopted);
    warmup_limits_version_ = version;
    knows_warmup_limits_ = true;
    return changed;
}

const warmup_limit* directory::warmup_limit_of(service_id service) const {
    const auto it = warmup_limits_.find(service);
    return it == warmup_limits_.end() ? nullptr : &it->second;
}

std::vector<warmup_limit> directory::warmup_limits() const {
    std::vector<warmup_limit> out;
    for (const auto& [service, it] : warmup_limits_)
        out.push_back(it);
    return out;
}

} // namespace arbutusport::relay
