// Order in which an entry sends clients' packets on a narrow link: packets of
// bulk transfers wait while the link is full, so that the small packets of
// other flows are neither lost nor late.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/time.hpp>
#include <arbutusport/relay/messages.hpp>
#include <arbutusport/relay/segment.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>

namespace arbutusport::relay {

struct egress_options {
    double link_bytes_per_second = 125e6;
    /// Share of the link for clients' packets and whole directories; the rest
    /// is for other messages and what a timer that fires late sends at once.
    double usable_share = 0.9;
    /// Bytes that may be sent at once, as a time at the usable rate. Somewhat
    /// more than the interval of ticks.
    duration burst = std::chrono::milliseconds(15);
    /// Packets of at least this size belong to bulk transfers: their sender
    /// filled them.
    std::size_t bulk_bytes = 1200;
    /// Bulk packets that would wait for longer are dropped. Below the clients'
    /// first retransmission after 200 ms, which would only add copies.
    duration max_wait = std::chrono::milliseconds(150);
};

/// @brief Not thread-safe. At most max_wait x the usable rate bytes wait.
///
/// Small packets are never delayed; they use up the link's capacity, and bulk
/// packets get what is left, in order.
class egress_scheduler {
public:
    using send_function =
        std::function<void(machine_address, routing_mark, byte_view)>;

    egress_scheduler(egress_options options, send_function send);

    /// @brief Sends the packet now or later. Returns false if it was dropped.
    bool submit(machine_address to, routing_mark mark, byte_view datagram,
                time_point now);
    /// @brief Takes the bytes of a datagram that was sent besides, so that bulk
    /// packets leave room for it.
    void charge(std::size_t datagram_bytes, time_point now);
    /// @brief Sends what the link can take. Must be called after each batch of
    /// packets and with each tick.
    void flush(time_point now);

    std::size_t queued_bytes() const { return queued_bytes_; }
    /// @brief Packets that had to wait, and that were dropped, so far.
    std::uint64_t delayed() const { return delayed_; }
    std::uint64_t dropped() const { return dropped_; }

private:
    struct packet {
        machine_address to;
        routing_mark mark;
        bytes datagram;
    };

    double bytes_in(duration time) const;
    void refill(time_point now);
    void send_now(machine_address to, routing_mark mark, byte_view datagram);

    egress_options options_;
    send_function send_;
    std::deque<packet> queue_;
    std::size_t queued_bytes_ = 0;
    // Negative after small packets that exceeded the rate.
    double available_bytes_;
    time_point updated_at_;
    std::uint64_t delayed_ = 0;
    std::uint64_t dropped_ = 0;
};

} // namespace arbutusport::relay
