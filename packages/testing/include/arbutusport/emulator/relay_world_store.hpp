// Contents of the platform's store in simulations: one routing document, the
// registrations of hosts and the evacuated data centres, with a revision for
// each change and an era for each restore.
#pragma once

#include <arbutusport/relay/directory.hpp>

#include <map>
#include <optional>
#include <vector>

namespace arbutusport::emulator {

/// @brief A copy of an object is a backup of the store's contents.
class relay_world_store {
public:
    relay::directory_change put(const relay::host_record& it);
    relay::directory_change put(const relay::routing_document& it);
    relay::directory_change remove(relay::host_key key);
    relay::directory_change evacuate(relay::data_centre_id it);
    relay::directory_change take_back(relay::data_centre_id it);
    /// @brief All registrations expire, in one revision.
    void expire_registrations();
    /// @brief Returns to the contents and the revision of `backup`, in the next
    /// era.
    void restore(const relay_world_store& backup);

    bool contains(const relay::host_record& it) const;
    relay::revision as_of() const { return relay::revision(revision_, era_); }
    std::vector<relay::directory_change> items() const;

private:
    relay::store_era era_ = relay::first_era;
    std::uint64_t revision_ = 0;
    std::optional<relay::directory_change> routing_;
    std::map<relay::host_key, relay::directory_change> hosts_;
    std::map<relay::data_centre_id, relay::directory_change> evacuations_;
};

} // namespace arbutusport::emulator
