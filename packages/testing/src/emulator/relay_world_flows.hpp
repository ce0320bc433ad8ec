// Flows of the tests that run in relay_world.
#pragma once

#include <arbutusport/emulator/relay_world.hpp>

#include <string>
#include <vector>

namespace arbutusport::emulator {

/// @brief Opens flows through the first `entries` entries in turn, and waits
/// until they are open.
inline std::vector<std::size_t>
open_flows(relay_world& world, std::size_t count, std::size_t entries = 3) {
    std::vector<std::size_t> out;
    for (std::size_t i = 0; i < count; ++i) {
        out.push_back(world.open_flow(i % entries));
        world.run_for(std::chrono::milliseconds(5));
    }
    world.run_for(std::chrono::milliseconds(500));
    return out;
}

/// @brief Sends a request on each flow through the entry.
inline void send_all(relay_world& world, const std::vector<std::size_t>& flows,
                     std::size_t entry) {
    for (const auto it : flows) {
        world.send_request(it, entry);
        world.run_for(std::chrono::milliseconds(2));
    }
}

/// @brief Number of draining hosts in the entry's directory.
inline std::size_t count_draining_hosts(const relay_world& world,
                                        std::size_t entry) {
    std::size_t count = 0;
    for (const auto& [key, it] : world.directory_of(entry).hosts())
        count += it.record.draining ? 1 : 0;
    return count;
}

/// @brief All entries lose the store, which returns from its backup.
inline void lose_and_restore(relay_world& world, std::size_t entries) {
    for (std::size_t i = 0; i < entries; ++i)
        world.disconnect_store(i);
    world.run_for(std::chrono::seconds(2));
    world.restore_store();
    for (std::size_t i = 0; i < entries; ++i)
        world.reconnect_store(i);
    world.run_for(std::chrono::milliseconds(50));
}

inline std::string join_lines(const violations& it) {
    std::string out;
    for (const auto& one : it)
        out += one + "\n";
    return out;
}

} // namespace arbutusport::emulator
