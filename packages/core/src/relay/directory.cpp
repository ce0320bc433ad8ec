// Updates of the local copy of routes and hosts.

#include <arbutusport/base/hash.hpp>
#include <arbutusport/base/overloaded.hpp>
#include <arbutusport/relay/directory.hpp>

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace arbutusport::relay {

bool directory::adopt_listing(revision as_of,
                              std::vector<directory_change> items,
                              time_point now) {
    if (as_of < as_of_)
        return false;
    enter_era(as_of, now);
    std::set<host_key> listed;
    for (auto& item : items) {
        if (const auto* document = std::get_if<routing_document>(&item.what))
            apply_document(item.at, *document);
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
    forget_outdated_except(listed);
    as_of_ = as_of;
    update_derived();
    return true;
}

bool directory::apply(const directory_change& change, time_point now) {
    // The history of another era does not continue this one.
    if (change.at <= as_of_ || change.at.era() != as_of_.era())
        return false;
    std::visit(
        overloaded{
            [&](const routing_document& it) { apply_document(change.at, it); },
            [&](const host_record& it) { apply_host(change.at, it, now); },
            [&](const host_removed& it) { remove_host(it.key, now); },
            // Kept by evacuation_table.
            [](const evacuation_set&) {}, [](const evacuation_removed&) {}},
        change.what);
    update_derived();
    return true;
}

void directory::advance(revision as_of) {
    if (as_of.era() == as_of_.era())
        as_of_ = std::max(as_of_, as_of);
}

bool directory::adopt_view(const directory_view& view, time_point now) {
    if (!view.has_routes && view.routing_at != routing_at_)
        return false;
    const bool has_newer_routes =
        view.has_routes && apply_routing(view.routing_at, view.routing);
    if (view.as_of <= as_of_) {
        // A peer may know a configuration that the restored store has lost.
        if (has_newer_routes)
            update_derived();
        return has_newer_routes;
    }
    enter_era(view.as_of, now);
    std::set<host_key> listed;
    for (const auto& it : view.hosts) {
        listed.insert(it.record.key);
        apply_host(it.at, it.record, now);
    }
    // The peer has already observed the grace period of lapsed records, unless
    // it knows nothing from before a restore.
    std::vector<host_key> missing;
    for (auto& [key, it] : hosts_) {
        if (listed.contains(key))
            continue;
        if (is_in_lapse_grace(now) && it.at.era() < view.as_of.era())
            it.lapsed = true;
        else
            missing.push_back(key);
    }
    for (const host_key key : missing)
        erase_host(key, now);
    forget_outdated_except(listed);
    as_of_ = view.as_of;
    update_derived();
    return true;
}

bool directory::adopt_delta(const directory_delta& delta, time_point now) {
    // A record that lapsed changes the contents, but not the position.
    if (delta.as_of < as_of_ || delta.as_of.era() != as_of_.era() ||
        delta.base_digest != digest_)
        return false;
    if (delta.routing)
        apply_routing(delta.routing->at, changed_by(*delta.routing));
    for (const auto& it : delta.changed)
        apply_host(it.at, it.record, now);
    for (const host_key key : delta.removed) {
        outdated_.erase(key);
        erase_host(key, now);
    }
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
    expire_removals(now);
    bool changed = false;
    if (!outdated_.empty() && !may_be_from_copy(restored_as_of_, now)) {
        for (const auto& [key, it] : std::exchange(outdated_, {}))
            put_host(it.at, it.record, now);
        changed = true;
    }
    if (!is_in_lapse_grace(now)) {
        std::vector<host_key> lapsed;
        for (const auto& [key, it] : hosts_)
            if (it.lapsed)
                lapsed.push_back(key);
        for (const host_key key : lapsed)
            erase_host(key, now);
        changed = changed || !lapsed.empty();
    }
    if (changed)
        update_derived();
}

const route* directory::find_route(const endpoint& service) const {
    const auto it = routes_.find(service);
    return it == routes_.end() ? nullptr : &it->second;
}

// Versions order configurations across restores of the store, in which the
// revision of one may be given to another.
bool directory::apply_routing(revision at, routing_document document) {
    if (document.version < routing_.version ||
        (document.version == routing_.version && at <= routing_at_))
        return false;
    routing_at_ = at;
    routing_ = std::move(document);
    // A peer's copy lacks the terms; the known ones are kept.
    const auto previous = std::exchange(routes_, {});
    routed_.clear();
    routed_tags_.clear();
    for (const route& it : routing_.routes) {
        for (const weighted_service& target : it.targets) {
            routed_.insert(target.service);
            routed_tags_.insert(make_service_tag(target.service));
        }
        route& added = routes_.emplace(it.address, it).first->second;
        const auto known = previous.find(it.address);
        if (known != previous.end() && added.terms == route_terms())
            added.terms = known->second.terms;
    }
    return true;
}

// The result states no terms: those of known routes are kept.
routing_document directory::changed_by(const routing_delta& it) const {
    std::unordered_set<endpoint> replaced(it.removed.begin(), it.removed.end());
    for (const route& one : it.changed)
        replaced.insert(one.address);
    routing_document out{.version = it.version,
                         .idle_timeout = it.idle_timeout};
    for (const route& one : routing_.routes)
        if (!replaced.contains(one.address))
            out.routes.push_back(
                {.address = one.address, .targets = one.targets});
    out.routes.insert(out.routes.end(), it.changed.begin(), it.changed.end());
    return out;
}

void directory::apply_host(revision at, const host_record& record,
                           time_point now) {
    if (may_be_from_copy(at, now) && is_outdated(at, record)) {
        outdated_[record.key] = {at, record};
        return;
    }
    put_host(at, record, now);
}

void directory::put_host(revision at, const host_record& record,
                         time_point now) {
    outdated_.erase(record.key);
    removed_.erase(record.key);
    auto& it = hosts_[record.key];
    if (at > it.at)
        it = {.at = at, .record = record, .seen_at = now};
    it.lapsed = false;
}

void directory::remove_host(host_key key, time_point now) {
    outdated_.erase(key);
    const auto it = hosts_.find(key);
    if (it == hosts_.end())
        return;
    if (is_in_lapse_grace(now))
        it->second.lapsed = true;
    else
        erase_host(key, now);
}

void directory::erase_host(host_key key, time_point now) {
    const auto it = hosts_.find(key);
    if (it == hosts_.end())
        return;
    removed_[key] = {it->second.record.started, now};
    hosts_.erase(it);
}

void directory::forget_outdated_except(const std::set<host_key>& listed) {
    std::erase_if(outdated_,
                  [&](const auto& it) { return !listed.contains(it.first); });
}

void directory::expire_removals(time_point now) {
    std::erase_if(removed_, [&](const auto& it) {
        return now - it.second.removed_at > options_.removal_retention;
    });
}

// Must be called before the contents of a position are adopted.
void directory::enter_era(revision as_of, time_point now) {
    if (as_of_ == revision() || as_of.era() <= as_of_.era())
        return;
    restored_as_of_ = as_of;
    restored_at_ = now;
    outdated_.clear();
}

// True while a record may be missing although its host is alive.
bool directory::is_in_lapse_grace(time_point now) const {
    const auto is_recent = [&](const std::optional<time_point>& it) {
        return it && now - *it < options_.lapse_grace_period;
    };
    return store_lost_ || is_recent(regained_at_) || is_recent(restored_at_);
}

// True while a record of this revision may be older than what was known before
// the restore.
bool directory::may_be_from_copy(revision at, time_point now) const {
    return restored_at_ && at <= restored_as_of_ &&
           now - *restored_at_ <
               options_.copy_heartbeats * options_.heartbeat_interval;
}

// Whether what was known before the restore shows that the record is older.
bool directory::is_outdated(revision at, const host_record& record) const {
    const auto removed = removed_.find(record.key);
    if (removed != removed_.end())
        return record.started <= removed->second.started;
    const auto it = hosts_.find(record.key);
    if (it == hosts_.end() || it->second.at.era() >= at.era())
        return false;
    // A drain is never revoked.
    const host_record& known = it->second.record;
    return record.started < known.started ||
           (record.started == known.started && known.draining &&
            !record.draining);
}

const directory::host*
directory::host_at(std::uint32_t address,
                   std::optional<service_tag> reported) const {
    const auto found = by_address_.find(address);
    if (found == by_address_.end())
        return nullptr;
    const host& first = hosts_.at(found->second.front());
    const host* newest = is_routed(first.record.service) ? &first : nullptr;
    // A tag that a routed service has stands for that service.
    if (!reported || routed_tags_.contains(*reported))
        return newest;
    for (const host_key key : found->second) {
        const host& it = hosts_.at(key);
        if (make_service_tag(it.record.service) == *reported &&
            (newest == nullptr || is_older(*newest, it)))
            newest = &it;
    }
    return newest;
}

void directory::update_derived() {
    digest_ = hash_of_position(0, routing_at_);
    by_address_.clear();
    superseded_.clear();
    std::vector<std::uint32_t> shared;
    for (const auto& [key, it] : hosts_) {
        digest_ = hash_combine(digest_, hash_of_position(key.value(), it.at));
        auto& keys = by_address_[it.record.address.address];
        keys.push_back(key);
        if (keys.size() == 2)
            shared.push_back(it.record.address.address);
    }
    for (const std::uint32_t address : shared)
        choose_at(address);
}

// Keeps one record of each service, and of the routed services together.
void directory::choose_at(std::uint32_t address) {
    auto& keys = by_address_.at(address);
    std::map<service_id, unix_milliseconds> draining;
    for (const host_key key : keys) {
        const host_record& it = hosts_.at(key).record;
        if (it.draining)
            draining[it.service] = std::max(draining[it.service], it.started);
    }
    const auto keep_newer = [](const host*& newest, const host& it) {
        if (newest == nullptr || is_older(*newest, it))
            newest = &it;
    };
    std::map<service_id, const host*> chosen;
    for (const host_key key : keys) {
        const host& it = hosts_.at(key);
        const auto drain = draining.find(it.record.service);
        if (it.record.draining || drain == draining.end() ||
            it.record.started > drain->second)
            keep_newer(chosen[it.record.service], it);
    }
    for (const host_key key : keys)
        if (chosen.at(hosts_.at(key).record.service) != &hosts_.at(key))
            superseded_.insert(key);
    keys.clear();
    const host* routed = nullptr;
    for (const auto& [service, it] : chosen)
        if (is_routed(service))
            keep_newer(routed, *it);
    if (routed != nullptr)
        keys.push_back(routed->record.key);
    for (const auto& [service, it] : chosen)
        if (!is_routed(service))
            keys.push_back(it->record.key);
}

// Within the era of as_of() the hash is the one of processes that know no eras.
std::uint64_t directory::hash_of_position(std::uint64_t seed,
                                          revision at) const {
    const auto hash = hash_combine(seed, at.number());
    return at.era() == as_of_.era() ? hash
                                    : hash_combine(hash, at.era().value());
}

bool directory::is_older(const host& left, const host& right) {
    // The restored store may name the host that had the address before.
    if (left.at.era() != right.at.era() &&
        left.record.started != right.record.started)
        return left.record.started < right.record.started;
    return left.at < right.at;
}

} // namespace arbutusport::relay
