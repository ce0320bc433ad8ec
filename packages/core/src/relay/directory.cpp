// Updates of the local copy of routes and hosts.

#include <arbutusport/base/hash.hpp>
#include <arbutusport/base/overloaded.hpp>
#include <arbutusport/relay/directory.hpp>

#include <algorithm>
#include <set>

namespace arbutusport::relay {

bool directory::adopt_listing(revision as_of,
                              std::vector<directory_change> items,
                              time_point now) {
    if (as_of < as_of_)
        return false;
    std::set<host_key> listed;
    for (auto& item : items) {
        if (auto* document = std::get_if<routing_document>(&item.what))
            apply_routing(item.at, std::move(*document));
        else if (const auto* record = std::get_if<host_record>(&item.what)) {
            listed.insert(record->key);
            apply_host(item.at, *record, now);
        }
    }
    std::vector<host_key> missing;
    for (const auto& [key, it] : hosts_)
        if (!listed.contains(key))
            missing.push_back(key);
    for (const host_key key : missing)
        remove_host(key, now);
    as_of_ = as_of;
    update_derived();
    return true;
}

bool directory::apply(const directory_change& change, time_point now) {
    if (change.at <= as_of_)
        return false;
    std::visit(
        overloaded{
            [&](const routing_document& it) { apply_routing(change.at, it); },
            [&](const host_record& it) { apply_host(change.at, it, now); },
            [&](const host_removed& it) { remove_host(it.key, now); }},
        change.what);
    update_derived();
    return true;
}

void directory::advance(revision as_of) {
    as_of_ = std::max(as_of_, as_of);
}

bool directory::adopt_view(const directory_view& view, time_point now) {
    if (view.as_of <= as_of_ ||
        (!view.has_routes && view.routing_at != routing_at_))
        return false;
    std::set<host_key> listed;
    if (view.has_routes)
        apply_routing(view.routing_at, view.routing);
    for (const auto& it : view.hosts) {
        listed.insert(it.record.key);
        apply_host(it.at, it.record, now);
    }
    // The peer has already observed the grace period of lapsed records.
    std::erase_if(hosts_,
                  [&](const auto& it) { return !listed.contains(it.first); });
    as_of_ = view.as_of;
    update_derived();
    return true;
}

bool directory::adopt_delta(const directory_delta& delta, time_point now) {
    if (delta.as_of <= as_of_ || delta.base_digest != digest_)
        return false;
    for (const auto& it : delta.changed)
        apply_host(it.at, it.record, now);
    for (const host_key key : delta.removed)
        hosts_.erase(key);
    update_derived();
    // If the result differs, the revision stays, so that a whole view of the
    // peer can be adopted.
    if (digest_ == delta.digest)
        as_of_ = delta.as_of;
    return true;
}

directory_view directory::view() const {
    directory_view out{
        .as_of = as_of_, .routing_at = routing_at_, .routing = routing_};
    for (const auto& [key, it] : hosts_)
        out.hosts.push_back({it.at, it.record});
    return out;
}

void directory::on_store_lost(time_point) {
    store_lost_ = true;
}

void directory::on_store_regained(time_point now) {
    if (!store_lost_)
        return;
    store_lost_ = false;
    regained_at_ = now;
}

void directory::on_tick(time_point now) {
    if (is_in_lapse_grace(now))
        return;
    const auto erased =
        std::erase_if(hosts_, [](const auto& it) { return it.second.lapsed; });
    if (erased != 0)
        update_derived();
}

const route* directory::find_route(const endpoint& service) const {
    const auto it = routes_.find(service);
    return it == routes_.end() ? nullptr : &it->second;
}

void directory::apply_routing(revision at, routing_document document) {
    if (at <= routing_at_)
        return;
    routing_at_ = at;
    routing_ = std::move(document);
    routes_.clear();
    for (const route& it : routing_.routes)
        routes_.emplace(it.address, it);
}

void directory::apply_host(revision at, const host_record& record,
                           time_point now) {
    auto& it = hosts_[record.key];
    if (at > it.at)
        it = {.at = at, .record = record, .seen_at = now};
    it.lapsed = false;
}

void directory::remove_host(host_key key, time_point now) {
    const auto it = hosts_.find(key);
    if (it == hosts_.end())
        return;
    if (is_in_lapse_grace(now))
        it->second.lapsed = true;
    else
        hosts_.erase(it);
}

// True while a record may be missing although its host is alive.
bool directory::is_in_lapse_grace(time_point now) const {
    return store_lost_ ||
           (regained_at_ && now - *regained_at_ < options_.lapse_grace_period);
}

const directory::host* directory::newest_at(std::uint32_t address) const {
    const auto it = newest_by_address_.find(address);
    return it == newest_by_address_.end() ? nullptr : &hosts_.at(it->second);
}

void directory::update_derived() {
    digest_ = hash_combine(0, routing_at_.value());
    newest_by_address_.clear();
    for (const auto& [key, it] : hosts_) {
        digest_ =
            hash_combine(digest_, hash_combine(key.value(), it.at.value()));
        const auto [position, is_first] =
            newest_by_address_.try_emplace(it.record.address.address, key);
        if (!is_first && hosts_.at(position->second).at < it.at)
            position->second = key;
    }
}

} // namespace arbutusport::relay
