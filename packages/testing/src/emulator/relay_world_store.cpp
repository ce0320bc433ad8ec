// Changes of the simulated store's contents.

#include <arbutusport/emulator/relay_world_store.hpp>

namespace arbutusport::emulator {

using relay::directory_change;

directory_change relay_world_store::put(const relay::host_record& it) {
    ++revision_;
    return hosts_[it.key] = {as_of(), it};
}

directory_change relay_world_store::put(const relay::routing_document& it) {
    ++revision_;
    routing_ = {as_of(), it};
    return *routing_;
}

directory_change relay_world_store::remove(relay::host_key key) {
    ++revision_;
    hosts_.erase(key);
    return {as_of(), relay::host_removed{key}};
}

directory_change relay_world_store::evacuate(relay::data_centre_id it) {
    ++revision_;
    return evacuations_[it] = {as_of(), relay::evacuation_set{it}};
}

directory_change relay_world_store::take_back(relay::data_centre_id it) {
    ++revision_;
    evacuations_.erase(it);
    return {as_of(), relay::evacuation_removed{it}};
}

void relay_world_store::expire_registrations() {
    ++revision_;
    hosts_.clear();
}

void relay_world_store::restore(const relay_world_store& backup) {
    const relay::store_era next(era_.value() + 1);
    *this = backup;
    era_ = next;
    // All items of a response are of the era that the response states.
    const auto move_to_era = [&](directory_change& it) {
        it.at = relay::revision(it.at.number(), era_);
    };
    if (routing_)
        move_to_era(*routing_);
    for (auto& [key, it] : hosts_)
        move_to_era(it);
    for (auto& [data_centre, it] : evacuations_)
        move_to_era(it);
}

bool relay_world_store::contains(const relay::host_record& it) const {
    const auto found = hosts_.find(it.key);
    return found != hosts_.end() &&
           std::get<relay::host_record>(found->second.what) == it;
}

std::vector<directory_change> relay_world_store::items() const {
    std::vector<directory_change> out;
    if (routing_)
        out.push_back(*routing_);
    for (const auto& [key, it] : hosts_)
        out.push_back(it);
    for (const auto& [data_centre, it] : evacuations_)
        out.push_back(it);
    return out;
}

} // namespace arbutusport::emulator
