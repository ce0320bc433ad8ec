// A CoAP client of one service. It never repeats a request in a way that could
// execute it twice. Independent of sockets and clocks.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/time.hpp>
#include <arbutusport/emulator/history.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace arbutusport::emulator {

struct client_options {
    /// Unique within a history; the prefix of request names.
    std::string name;
    std::string service;
    duration ack_timeout = std::chrono::seconds(2);
    std::uint32_t max_retransmit = 4;
    /// The outcome of a request is `timeout` after this time.
    duration request_timeout = std::chrono::seconds(30);
    /// Sends the request again if no response follows the acknowledgement
    /// within this time.
    duration response_wait = std::chrono::seconds(4);
    /// Sent with each request if greater than zero; observations have none.
    duration deadline{};
    duration backoff = std::chrono::milliseconds(500);
    /// Registers an observation again after this time without a notification.
    duration silent_after = std::chrono::seconds(4);
    std::size_t body_size = 256;
    std::uint64_t seed = 1;
};

struct client_counters {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t timeout = 0;
    /// Sessions that ended without a closing notice because the binding was
    /// rejected or another host responded. Each session counts once,
    /// regardless of the number of open requests.
    std::uint64_t broken_flows = 0;
    /// Observations that were registered again for lack of notifications.
    std::uint64_t silent_observations = 0;
    std::uint64_t closing_notices = 0;
    std::uint64_t notifications = 0;
    std::uint64_t restarted_transfers = 0;
    std::uint64_t retransmissions = 0;
    std::uint64_t unexpected_codes = 0;
};

/// @brief Not thread-safe. Each function returns the datagrams to send.
class load_client {
public:
    explicit load_client(client_options options);
    load_client(load_client&& other) noexcept;
    ~load_client();

    std::vector<bytes> contribute(time_point now);
    std::vector<bytes> read_text(const std::string& text, time_point now);
    /// @brief Observes the deadlines until stop().
    std::vector<bytes> observe(time_point now);

    std::vector<bytes> on_datagram(byte_view data, time_point now);
    /// @brief Handles retransmissions, retries and timeouts. Call it every few
    /// milliseconds.
    std::vector<bytes> on_tick(time_point now);

    /// @brief Ends the observation; rejected requests are no longer retried.
    std::vector<bytes> stop();
    /// @brief The number of pending operations and scheduled retries. It
    /// includes observations until they end.
    std::size_t open() const;

    const client_counters& counters() const;
    const history& events() const;
    /// @brief Times from the first copy of a request to its complete response.
    const std::vector<duration>& latencies() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace arbutusport::emulator
