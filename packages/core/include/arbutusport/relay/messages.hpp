// Messages between the relay's own processes. One datagram each; a directory
// takes several parts.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/error.hpp>
#include <arbutusport/relay/directory.hpp>
#include <arbutusport/relay/segment.hpp>

#include <cstdint>
#include <variant>
#include <vector>

namespace arbutusport::relay {

/// @brief Address of a machine; every process uses the same ports.
using machine_address = strong_value<struct machine_address_tag, std::uint32_t>;

/// @brief What the directory says of the host beside a process.
enum class registration : std::uint8_t {
    unknown, // the entry cannot read the store now
    ready,
    draining,
    absent,
};

const char* to_string(registration it);

/// @brief Whether the host beside a process can be reached.
enum class host_state : std::uint8_t {
    alive,
    /// It accepts no connections any more, but may still serve its flows.
    leaving,
    dead,
};

/// @brief Entry to the process beside a host, at a regular interval.
struct hello {
    incarnation run;
    data_centre_id data_centre;
    duration idle_timeout{};
    registration registered = registration::unknown;
    /// When the registered host started, by its clock; 0 if unknown.
    unix_milliseconds host_started{};
    /// Asks for all flows that the data centre's entries should know.
    bool wants_flows = false;
};

/// @brief Answer to a hello, and sent unasked when `host` changes.
struct load_report {
    incarnation run;
    service_tag service;
    host_state host = host_state::alive;
    /// Every flow of the host is known: an unknown flow is not here.
    bool knows_all_flows = false;
    /// Requests in progress or queued at the host.
    std::uint32_t outstanding = 0;
    /// Their mean over the last second, in thousandths.
    std::uint32_t busy_milli = 0;
    std::uint32_t flows = 0;
    /// Entries that this process hears from.
    std::vector<machine_address> entries;
};

/// @brief A flow and the sequence numbers with which it was opened.
struct owned_flow {
    flow_key flow;
    std::uint32_t client_start = 0;
    std::uint32_t host_start = 0;
};

/// @brief "My host has these flows", and its load now: after a loss of power
/// hundreds of flows open between two reports.
struct flows_here {
    std::uint32_t outstanding = 0;
    std::uint32_t total = 0;
    std::vector<owned_flow> flows;
};

/// @brief Entry to the process beside a host: "does your host have these?"
struct flow_query {
    std::vector<flow_key> flows;
};

/// @brief Answer to a query or to a searched packet. Flows that the host has
/// come as flows_here.
struct flow_denial {
    std::vector<flow_key> not_here;
    /// Older than the process: only the host knows.
    std::vector<flow_key> unsure;
};

enum class return_reason : std::uint8_t {
    host_refused,
    host_dead,
    unknown_flow,
    wrong_service,
};

const char* to_string(return_reason it);

/// @brief A packet that the host cannot take goes back to its entry.
struct packet_returned {
    return_reason reason{};
    bytes datagram;
};

/// @brief A process whose host is no longer registered but may still serve.
struct departed_host {
    machine_address machine;
    service_tag service;
};

/// @brief Entry to entry, at a regular interval.
struct peer_hello {
    incarnation run;
    data_centre_id data_centre;
    revision as_of;
    std::uint64_t digest = 0;
    /// The sender reads the store, and the store answers.
    bool reads_store = false;
    bool is_reply = false;
    std::vector<machine_address> entries;
    std::vector<departed_host> departed;
};

/// @brief Entry to entry: "send me your directory."
struct directory_request {};

/// @brief Part of an encoded directory_view.
struct directory_part {
    revision as_of;
    std::uint64_t digest = 0;
    std::uint16_t index = 0;
    std::uint16_t count = 0;
    bytes content;
};

using message = std::variant<hello, load_report, flows_here, flow_query,
                             flow_denial, packet_returned, peer_hello,
                             directory_request, directory_part>;

bytes encode(const message& it);

/// @brief Fails with step "decode_relay_message".
result<message> decode(byte_view data);

/// Content of one part; fits an Ethernet frame with its headers.
inline constexpr std::size_t max_part_bytes = 1200;

/// @brief Without routes, the view is of use only to a process that has the
/// same routes.
bytes encode_view(const directory_view& it, bool with_routes = true);
result<directory_view> decode_view(byte_view data);

/// Flows of one flows_here message; fits an Ethernet frame.
inline constexpr std::size_t max_flows_per_message = 60;

} // namespace arbutusport::relay
