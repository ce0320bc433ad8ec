// Order of the operator's requests to evacuate data centres.

#include <arbutusport/relay/evacuation_table.hpp>

#include <algorithm>

namespace arbutusport::relay {

namespace {

// More data centres than any deployment has.
constexpr std::size_t max_states = 256;

} // namespace

bool evacuation_table::adopt_listing(revision as_of,
                                     const std::vector<evacuation>& listed) {
    const auto before = list();
    for (const evacuation& it : listed)
        set(it.data_centre, {.at = it.at, .evacuated = true});
    for (auto& [data_centre, it] : states_)
        if (it.evacuated && it.at <= as_of && it.at.era() == as_of.era() &&
            std::ranges::find(listed, data_centre, &evacuation::data_centre) ==
                listed.end())
            it = {.at = as_of, .evacuated = false};
    complete_until_ = std::max(complete_until_, as_of);
    return list() != before;
}

bool evacuation_table::apply(const directory_change& change) {
    const auto before = list();
    if (const auto* one = std::get_if<evacuation_set>(&change.what))
        set(one->data_centre, {.at = change.at, .evacuated = true});
    else if (const auto* other = std::get_if<evacuation_removed>(&change.what))
        set(other->data_centre, {.at = change.at, .evacuated = false});
    return list() != before;
}

void evacuation_table::advance(revision after, revision as_of) {
    if (is_known() && complete_until_ >= after &&
        complete_until_.era() == as_of.era())
        complete_until_ = std::max(complete_until_, as_of);
}

bool evacuation_table::adopt_peer(const operator_intent& it) {
    return adopt_listing(it.as_of, it.evacuations);
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

void evacuation_table::set(data_centre_id data_centre, state it) {
    const auto found = states_.find(data_centre);
    if (found == states_.end()) {
        if (it.evacuated && states_.size() < max_states)
            states_.emplace(data_centre, it);
    } else if (it.at > found->second.at) {
        found->second = it;
    }
}

} // namespace arbutusport::relay
