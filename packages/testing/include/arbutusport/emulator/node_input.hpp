// The inputs of a process as values that can be recorded and replayed.
#pragma once

#include <arbutusport/node/entry_node.hpp>
#include <arbutusport/node/host_node.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace arbutusport::emulator {

struct packet_input {
    endpoint from;
    wire::packet message;
};

struct client_input {
    flow_key flow;
    bytes datagram;
};

struct upstream_input {
    bytes datagram;
};

struct tick_input {};

struct head_input {
    config::head value;
};

struct records_input {
    std::vector<records::raw_record> read;
};

struct platform_error_input {};

struct sync_request_input {
    bytes request;
};

struct sync_reply_input {
    endpoint peer;
    bytes reply;
};

struct sync_error_input {
    endpoint peer;
};

struct instances_input {
    std::vector<node::listed_instance> list;
};

/// @brief Planned stop of a host process within `limit`.
struct stop_input {
    duration limit{};
};

using node_input =
    std::variant<packet_input, client_input, upstream_input, tick_input,
                 head_input, records_input, platform_error_input,
                 sync_request_input, sync_reply_input, sync_error_input,
                 instances_input, stop_input>;

struct node_result {
    node::outputs actions;
    /// Set for a sync request.
    std::optional<bytes> reply;
};

/// @brief Passes the input to the node. Returns an empty result for an input
/// that the role of the node does not have.
node_result feed(node::entry_node& to, const node_input& it, time_point now);
node_result feed(node::host_node& to, const node_input& it, time_point now);

} // namespace arbutusport::emulator
