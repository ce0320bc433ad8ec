// Typed form of the records that operators publish, and an accepted set of
// them.
#pragma once

#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/base/ids.hpp>
#include <arbutusport/base/time.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace arbutusport::records {

/// @brief State of a host as set by operators.
enum class host_state : std::uint8_t { active, draining, out };

/// @brief An upstream host and the process beside it.
struct host {
    std::string name;
    process_id id;
    std::string data_centre;
    /// Receives data packets (UDP).
    endpoint packets;
    /// Receives control requests (nng over TCP).
    endpoint control;
    /// Share of new flows relative to the other hosts; greater than 0.
    double weight = 1.0;
    host_state state = host_state::active;
};

/// @brief Limits of each host of a service.
struct host_limits {
    std::uint32_t slots = 2;
    std::uint32_t connections = 2000;
    std::uint32_t queue = 16;
};

/// @brief Service-level objectives; ratios in 0..1.
struct objectives {
    double flows_kept = 0.9999;
    double requests_served = 0.999;
    duration latency = std::chrono::milliseconds(250);
    double requests_in_time = 0.99;
};

struct service {
    std::string name;
    service_id id;
    std::string organisation;
    /// The address that clients send to.
    endpoint address;
    host_limits limits;
    objectives service_objectives;
    /// Sessions of a draining host are ended by notice after this time.
    duration drain_timeout = std::chrono::minutes(30);
    /// Time in which a new host ramps up to its full weight.
    duration slow_start = std::chrono::seconds(30);
    /// Sorted by id, so that every process ranks the same list.
    std::vector<host> hosts;
};

struct entry {
    std::string name;
    process_id id;
    std::string data_centre;
    std::string region;
    endpoint packets;
    endpoint control;
};

enum class key_state : std::uint8_t { accepted, active };

/// @brief A key for packet authentication. The `active` key signs packets; keys
/// in both states verify them.
struct packet_key {
    key_id id;
    std::string secret_hex;
    key_state state = key_state::accepted;
};

/// @brief A published record, verbatim, so that fields of newer schemas are
/// preserved when it is forwarded.
struct raw_record {
    /// "kind/name", unique within a set.
    std::string key;
    std::string json;
    /// Store revision at which the record was last changed.
    std::uint64_t revision = 0;
};

/// @brief A complete, validated and immutable configuration.
struct snapshot {
    generation gen;
    std::vector<service> services;
    std::vector<entry> entries;
    std::vector<packet_key> keys;
    std::vector<raw_record> raw_records;

    /// @brief Returns null if there is no such service.
    const service* find_service(service_id id) const;
    const service* find_service(const endpoint& address) const;
};

using snapshot_ptr = std::shared_ptr<const snapshot>;

} // namespace arbutusport::records
