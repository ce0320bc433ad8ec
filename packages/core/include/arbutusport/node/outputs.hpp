// Outputs of the decision logic, which the adapters of a process execute.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/base/error.hpp>
#include <arbutusport/base/ids.hpp>
#include <arbutusport/config/config_sync.hpp>
#include <arbutusport/records/records.hpp>
#include <arbutusport/wire/packet.hpp>

#include <string>
#include <variant>
#include <vector>

namespace arbutusport::node {

/// @brief Signs a packet and sends it to another process.
struct send_packet {
    endpoint to;
    wire::packet message;
};

/// @brief Sends a datagram to the client of a flow, through the fabric.
struct send_to_client {
    flow_key flow;
    bytes datagram;
};

struct send_to_upstream {
    bytes datagram;
};

/// @brief Sends a sync request to a peer's control endpoint.
struct send_sync {
    endpoint peer;
    bytes request;
};

struct watch_head {
    generation after;
    duration wait;
};

struct fetch_records {
    std::vector<std::string> keys;
};

/// @brief Reports that a newer configuration is in force. The adapter rebuilds
/// the keyring.
struct configuration_changed {
    records::snapshot_ptr snapshot;
};

struct configuration_refused {
    generation gen;
    failure why;
};

/// @brief Reports a dropped packet or datagram. `reason` is one of a fixed set
/// of names.
struct dropped {
    std::string reason;
    process_id peer;
};

using output =
    std::variant<send_packet, send_to_client, send_to_upstream, send_sync,
                 watch_head, fetch_records, configuration_changed,
                 configuration_refused, dropped>;
using outputs = std::vector<output>;

} // namespace arbutusport::node
