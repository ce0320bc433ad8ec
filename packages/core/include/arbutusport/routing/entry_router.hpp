// Chooses the host for a client's datagram at an entry. The only state per
// flow is a hint to its owner, and every hint may be lost at any time.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/base/ids.hpp>
#include <arbutusport/base/time.hpp>
#include <arbutusport/records/records.hpp>
#include <arbutusport/wire/packet.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <variant>

namespace arbutusport::routing {

struct entry_options {
    process_id self;
    /// Address to which hosts send answers for clients of this entry.
    endpoint packets;
    /// At the limit, the least recently used hints are evicted in bulk. A
    /// packet without a hint takes one more hop.
    std::size_t max_hints = 500'000;
    /// A hint is dropped when `max_unanswered_packets` packets were sent by it
    /// and no answer arrived for this time.
    duration unanswered_timeout = std::chrono::milliseconds(1500);
    std::uint32_t max_unanswered_packets = 2;
    /// Returns whether a host is believed down. If unset, no host is.
    std::function<bool(process_id)> is_down;
};

enum class drop_reason : std::uint8_t {
    no_configuration,
    unknown_service,
    no_host,
    oversized,
    wrong_target,
    unexpected_type,
};

const char* to_string(drop_reason reason);

/// @brief Sends `message` to `to`.
struct send_packet {
    endpoint to;
    wire::packet message;
};

/// @brief Sends `datagram` to the client of `flow` from the service address.
struct send_to_client {
    flow_key flow;
    bytes datagram;
};

struct drop_packet {
    drop_reason reason;
};

using entry_action = std::variant<send_packet, send_to_client, drop_packet>;

/// @brief Routes datagrams of clients. Thread-safe: hints are sharded by flow.
class entry_router {
public:
    explicit entry_router(entry_options options);
    ~entry_router();

    /// @brief Adopts a newer configuration. Drops hints to hosts that it does
    /// not have or that changed service or address.
    void set_snapshot(records::snapshot_ptr snapshot);

    /// @brief Routes a datagram from a client.
    entry_action on_client(const flow_key& flow, byte_view datagram,
                           time_point now);

    /// @brief Handles an `answer` packet from a host.
    entry_action on_host(wire::packet message, time_point now);

    /// @brief Number of hints.
    std::size_t hints() const;
    /// @brief Bytes of the hint tables, unused buckets included.
    std::size_t hint_memory_bytes() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace arbutusport::routing
