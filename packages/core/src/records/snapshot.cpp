// Looks up services in a snapshot.

#include <arbutusport/records/records.hpp>

#include <algorithm>

namespace arbutusport::records {

const service* snapshot::find_service(service_id id) const {
    const auto it = std::ranges::find(services, id, &service::id);
    return it == services.end() ? nullptr : &*it;
}

const service* snapshot::find_service(const endpoint& address) const {
    const auto it = std::ranges::find(services, address, &service::address);
    return it == services.end() ? nullptr : &*it;
}

} // namespace arbutusport::records
