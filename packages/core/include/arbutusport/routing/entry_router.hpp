// Decides at an entry where a client's datagram goes. Holds only hints, all
// of which may be lost at any time.
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
    /// Where hosts send answers for this entry.
    endpoint packets;
    /// At the limit, the hints unused for longest are dropped first, in
    /// bulk; a packet without a hint takes one more hop.
    std::size_t max_hints = 500'000;
    /// A hint is dropped when `silent_packets` went through it and no answer
    /// came for this time.
    duration silent_after = std::chrono::milliseconds(1500);
    std::uint32_t silent_packets = 2;
    /// Answers whether a host is believed down. Unset: none is.
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

const char* to_string(drop_reason it);

/// @brief Send `message` to `to`.
struct send_packet {
    endpoint to;
    wire::packet message;
};

/// @brief Send `datagram` to the client of `flow`, from the service address.
struct send_to_client {
    flow_key flow;
    bytes datagram;
};

struct drop_packet {
    drop_reason reason;
};

using entry_action = std::variant<send_packet, send_to_client, drop_packet>;

/// @brief Thread-safe: shards its hints by flow.
class entry_router {
public:
    explicit entry_router(entry_options options);
    ~entry_router();

    /// @brief Adopts a newer configuration; hints to hosts that are gone or
    /// that changed service are dropped.
    void set_snapshot(records::snapshot_ptr snapshot);

    /// @brief A datagram from a client.
    entry_action on_client(const flow_key& flow, byte_view datagram,
                           time_point now);

    /// @brief An `answer` packet from a host.
    entry_action on_host(wire::packet message, time_point now);

    std::size_t hints() const;
    /// @brief Bytes of the hint tables, unused buckets included.
    std::size_t hint_memory() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace arbutusport::routing
