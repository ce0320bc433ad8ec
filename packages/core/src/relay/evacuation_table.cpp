// Order of evacuation requests across listings, watches, peers and restores of
// the store.
//
// Within an era a complete view as of P decides on every request up to P. It
// says nothing about requests of an earlier era: the restored store may have
// lost them. Those end by a change in the new era only, which peers pass on as
// an ended request.

#include <arbutusport/relay/evacuation_table.hpp>

#include <algorithm>

namespace arbutusport::relay {

bool evacuation_table::adopt_listing(revision as_of,
                                     const std::vector<evacuation>& listed) {
    if (as_of >= complete_until_)
        has_refused_ = false;
    return adopt(as_of, listed, {});
}

bool evacuation_table::adopt_peer(const operator_intent& it) {
    return adopt(it.as_of, it.evacuations, it.ended);
}

bool evacuation_table::adopt(revision as_of,
                             const std::vector<evacuation>& listed,
                             const std::vector<evacuation>& ended) {
    bool changed = false;
    // Another view of its era is not newer.
    const bool decides = as_of >= known_until(as_of.era());
    for (const evacuation& it : listed) {
        const bool is_of_view = decides && it.at.era() == as_of.era();
        if (is_of_view || it.at > known_until(it.at.era()))
            changed |= set(it.data_centre, {it.at, true});
    }
    for (const evacuation& it : ended)
        changed |= set(it.data_centre, {it.at, false});
    if (!decides)
        return changed;
    for (auto& [data_centre, it] : states_) {
        const bool is_listed =
            std::ranges::find(listed, data_centre, &evacuation::data_centre) !=
            listed.end();
        if (!it.evacuated || it.at.era() != as_of.era() || it.at > as_of ||
            is_listed)
            continue;
        it = {as_of, false};
        changed = true;
    }
    note_complete(as_of);
    return changed;
}

bool evacuation_table::apply(const directory_change& change) {
    if (change.at <= known_until(change.at.era()))
        return false;
    if (const auto* it = std::get_if<evacuation_set>(&change.what))
        return set(it->data_centre, {change.at, true});
    if (const auto* it = std::get_if<evacuation_removed>(&change.what))
        return set(it->data_centre, {change.at, false});
    return false;
}

void evacuation_table::advance(revision after, revision as_of) {
    if (is_known() && after.era() == complete_until_.era() &&
        as_of.era() == complete_until_.era() && after <= complete_until_)
        note_complete(as_of);
}

// Returns whether the set of evacuated data centres has changed.
bool evacuation_table::set(data_centre_id data_centre, state it) {
    const auto found = states_.find(data_centre);
    if (found == states_.end()) {
        if (!make_room(data_centre)) {
            has_refused_ = has_refused_ || it.evacuated;
            return false;
        }
        states_.emplace(data_centre, it);
        return it.evacuated;
    }
    if (it.at <= found->second.at)
        return false;
    const bool changed = found->second.evacuated != it.evacuated;
    found->second = it;
    return changed;
}

// Requests that have ended give way first. Returns false if there is no room.
bool evacuation_table::make_room(data_centre_id data_centre) {
    if (states_.size() < max_without_hosts || has_hosts_(data_centre))
        return true;
    std::size_t count = 0;
    auto oldest = states_.end();
    for (auto it = states_.begin(); it != states_.end(); ++it) {
        if (has_hosts_(it->first))
            continue;
        ++count;
        if (!it->second.evacuated &&
            (oldest == states_.end() || it->second.at < oldest->second.at))
            oldest = it;
    }
    if (count < max_without_hosts)
        return true;
    if (oldest == states_.end())
        return false;
    states_.erase(oldest);
    return true;
}

revision evacuation_table::known_until(store_era era) const {
    if (era == complete_until_.era())
        return complete_until_;
    return era == previous_until_.era() ? previous_until_ : revision(0, era);
}

void evacuation_table::note_complete(revision as_of) {
    if (as_of.era() > complete_until_.era()) {
        previous_until_ = complete_until_;
        complete_until_ = as_of;
    } else if (as_of.era() == complete_until_.era()) {
        complete_until_ = std::max(complete_until_, as_of);
    } else if (as_of.era() == previous_until_.era()) {
        previous_until_ = std::max(previous_until_, as_of);
    }
}

bool evacuation_table::is_evacuated(data_centre_id it) const {
    const auto found = states_.find(it);
    return found != states_.end() && found->second.evacuated;
}

bool evacuation_table::was_evacuated(data_centre_id it) const {
    return states_.contains(it);
}

revision evacuation_table::changed_at(data_centre_id it) const {
    const auto found = states_.find(it);
    return found == states_.end() ? revision() : found->second.at;
}

std::vector<evacuation> evacuation_table::list() const {
    std::vector<evacuation> out;
    for (const auto& [data_centre, it] : states_)
        if (it.evacuated)
            out.push_back({data_centre, it.at});
    return out;
}

// A table of a later era says nothing about requests of the earlier ones, so a
// peer that missed a removal before the restore has to be told of it. Without a
// restore, the absence of a request in the table ends it.
std::vector<evacuation> evacuation_table::list_ended() const {
    std::vector<evacuation> out;
    for (const auto& [data_centre, it] : states_)
        if (!it.evacuated &&
            (it.at.era() > first_era || complete_until_.era() > first_era))
            out.push_back({data_centre, it.at});
    return out;
}

std::vector<evacuation>
evacuation_requests(const std::vector<directory_change>& items) {
    std::vector<evacuation> out;
    for (const directory_change& it : items)
        if (const auto* request = std::get_if<evacuation_set>(&it.what))
            out.push_back({request->data_centre, it.at});
    return out;
}

} // namespace arbutusport::relay
