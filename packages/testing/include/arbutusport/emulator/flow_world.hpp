// Builds successive configurations for the simulated flow network.
#pragma once

#include <arbutusport/records/records.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace arbutusport::emulator {

/// @brief Names of the two services in every configuration.
inline constexpr const char* session_service = "participa";
inline constexpr const char* document_service = "acervo";

/// @brief An editable configuration; next() returns a snapshot of it with the
/// next revision.
class flow_world {
public:
    /// @brief Creates both services with the given numbers of hosts, and
    /// `entries` entries.
    flow_world(std::size_t sessions, std::size_t documents,
               std::size_t entries);

    const records::snapshot& draft() const { return draft_; }
    records::service& service(const std::string& name);

    /// @brief Adds a host with a new name and returns its record. Assigns a
    /// new address if `packets` is not given.
    records::host add_host(const std::string& service, endpoint packets = {});
    records::entry add_entry();
    /// @brief Returns null if the configuration has no such host.
    records::host* find_host(process_id id);
    void remove_host(process_id id);

    /// @brief Increments the revision and returns a snapshot.
    records::snapshot_ptr next();

private:
    records::snapshot draft_;
    std::uint32_t last_address_ = 0x0a000000;
    std::size_t last_name_ = 0;
};

/// @brief The flow key of client `number` at a service.
flow_key flow_of(std::uint32_t number, const records::service& service);

} // namespace arbutusport::emulator
