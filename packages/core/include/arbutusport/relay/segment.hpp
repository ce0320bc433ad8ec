// Header fields of a flow's packet that the relay needs to place the flow, find
// its owner and detect its end. The payload is forwarded without inspection.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/base/ids.hpp>

#include <cstdint>

namespace arbutusport::relay {

/// @brief How the relay process on a host's machine has to handle a packet from
/// an entry.
enum class forwarding_mode : std::uint8_t {
    forward, // the host owns the flow according to the entry
    place,   // an opening packet; the host may accept or refuse it
    search,  // sent to several hosts; only the owner accepts it
};

/// @brief Short form of a service id that fits the few spare bytes of a packet.
/// A host's relay process rejects packets with another service's tag, because
/// addresses are reused by other services.
using service_tag = strong_value<struct service_tag_tag, std::uint16_t>;

/// @brief Further bits of a service id, never 0. Two services may have the same
/// tag, so an opening packet carries both.
using service_check = strong_value<struct service_check_tag, std::uint32_t>;

service_tag make_service_tag(service_id it);
service_check make_service_check(service_id it);

/// @brief Data that relay processes pass on in a packet's spare bytes.
struct routing_mark {
    forwarding_mode kind = forwarding_mode::forward;
    service_tag service;
    /// 0 if the sender does not know the service's id, or runs a build without
    /// this field.
    service_check check;
};

/// @brief The mark of an opening packet that is placed at a host of the
/// service.
routing_mark make_placement_mark(service_id it);

/// @brief A decoded packet. `datagram` is the whole packet as received; it is
/// valid as long as the buffer from which it was decoded.
struct segment {
    flow_key flow;
    bool syn = false;
    bool ack = false;
    bool fin = false;
    bool rst = false;
    /// The host returned this client's packet, because it does not own the flow
    /// or cannot accept it.
    bool returned = false;
    std::uint32_t sequence = 0;
    /// In an opening packet: the number of earlier transmissions by the client.
    std::uint32_t acknowledged = 0;
    std::uint16_t payload_bytes = 0;
    routing_mark mark;
    /// In a returned packet: the address of the entry that forwarded it; 0 if
    /// unknown. In a forwarded one these bytes hold the mark's check.
    std::uint32_t forwarding_entry = 0;
    byte_view datagram;

    bool is_opening() const { return syn && !ack; }
};

} // namespace arbutusport::relay
