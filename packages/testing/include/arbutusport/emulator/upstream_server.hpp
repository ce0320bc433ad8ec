// Emulated upstream: a plain CoAP server that processes contributions, serves
// texts and sends deadline notifications. It uses neither sockets nor a clock.
#pragma once

#include <arbutusport/base/time.hpp>
#include <arbutusport/emulator/history.hpp>
#include <arbutusport/emulator/http.hpp>
#include <arbutusport/emulator/udp_socket.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace arbutusport::emulator {

struct upstream_options {
    std::string service;
    std::string host;
    std::uint32_t slots = 2;
    duration service_time = std::chrono::milliseconds(20);
    /// Added to the service time, uniform from zero.
    duration jitter = std::chrono::milliseconds(10);
    /// Requests take up to `cold_factor` times as long during this time.
    duration cold_start{};
    double cold_factor = 5;
    /// Bytes of /texts/large and of every other text.
    std::size_t large_text = 1 << 20;
    std::size_t small_text = 4096;
    duration notify_interval = std::chrono::seconds(1);
    duration ack_timeout = std::chrono::seconds(2);
    std::uint64_t seed = 1;
};

/// @brief Not thread-safe. Like a plain server, it de-duplicates by peer and
/// message id only: the same request in a new message runs again.
class upstream_server {
public:
    upstream_server(upstream_options options, time_point now);
    ~upstream_server();

    std::vector<datagram> on_datagram(const endpoint& from, byte_view data,
                                      time_point now);
    /// @brief Finishes requests, notifies and retransmits. Call it every few
    /// milliseconds.
    std::vector<datagram> on_tick(time_point now);

    /// @brief POST /admin/upstream sets "shed" (bool), "slow" (factor),
    /// "cold" (seconds), "drain" (true: records that new work must stop) and
    /// "change_text" (name). GET returns the state.
    http_answer on_admin(const http_call& call, time_point now);

    const history& events() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace arbutusport::emulator
