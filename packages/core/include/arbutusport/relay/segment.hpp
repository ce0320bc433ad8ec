// One packet of a flow whose bytes are carried but not read: what the relay
// needs to know to place it, find its owner and notice its end.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/base/ids.hpp>

#include <cstdint>

namespace arbutusport::relay {

/// @brief What an entry asks the process beside a host to do with a packet.
enum class handling : std::uint8_t {
    forward, // the entry believes that the host owns the flow
    place,   // an opening packet; the host may accept or refuse it
    search,  // sent to several hosts; only the owner keeps it
};

/// @brief Short form of a service id, for the few spare bytes of a packet. A
/// host process refuses packets that carry another service's tag, because
/// addresses are used again by other services.
using service_tag = strong_value<struct service_tag_tag, std::uint16_t>;

service_tag tag_of(service_id it);

/// @brief What one of our processes tells the next in a packet's spare bytes.
struct relay_mark {
    handling kind = handling::forward;
    service_tag service;
};

/// @brief A decoded packet. `datagram` is the whole packet as received and is
/// valid as long as the buffer that it was decoded from.
struct segment {
    flow_key flow;
    bool syn = false;
    bool ack = false;
    bool fin = false;
    bool rst = false;
    /// The host sent this client's packet back: it does not hold the flow or
    /// cannot accept it.
    bool returned = false;
    std::uint32_t sequence = 0;
    /// On an opening packet: how often the client sent it before.
    std::uint32_t acknowledged = 0;
    std::uint16_t payload_bytes = 0;
    relay_mark mark;
    /// The address of the entry that forwarded a packet that the host
    /// returned; 0 if unknown.
    std::uint32_t via_entry = 0;
    byte_view datagram;

    bool opening() const { return syn && !ack; }
};

} // namespace arbutusport::relay
