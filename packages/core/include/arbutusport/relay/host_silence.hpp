// Measures how long a host has left packets unanswered that any live host
// reacts to. A host that has closed its listener has crashed or drains; only
// this tells the two apart.
#pragma once

#include <arbutusport/base/time.hpp>
#include <arbutusport/relay/segment.hpp>

#include <cstdint>
#include <optional>

namespace arbutusport::relay {

/// @brief Not thread-safe.
class host_silence {
public:
    /// @brief A packet that the host has not answered.
    struct unanswered_packet {
        flow_key flow;
        time_point delivered_at;
        std::uint16_t payload_bytes = 0;
        bool fin = false;
    };

    /// @brief A packet was delivered to the host. One that needs no reaction is
    /// ignored: a bare acknowledgement, or the reset of a flow.
    void on_delivered(const segment& it, time_point now);
    /// @brief The host has sent a packet, or has started anew.
    void end();
    /// @brief Must be called about every 50 ms. Time in which the process did
    /// not run is not counted, because the host's answers may still wait to be
    /// read.
    void on_tick(time_point now);

    /// @brief Time without any packet from the host since the first unanswered
    /// one was delivered; 0 if there is none.
    duration length() const { return length_; }
    /// @brief The first packet that the host has not answered.
    const std::optional<unanswered_packet>& first() const { return first_; }

private:
    std::optional<unanswered_packet> first_;
    // Observed since `first_` was delivered.
    duration length_{};
    time_point last_tick_at_;
};

} // namespace arbutusport::relay
