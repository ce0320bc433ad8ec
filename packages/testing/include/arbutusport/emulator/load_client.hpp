// One client of a service: a CoAP endpoint that never repeats a request in
// a way that could run it twice. Without sockets or a clock.
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
    /// Unique in a history; request names start with it.
    std::string name;
    std::string service;
    duration ack_timeout = std::chrono::seconds(2);
    std::uint32_t max_retransmit = 4;
    /// A request without an outcome after this is told as `timeout`.
    duration request_timeout = std::chrono::seconds(30);
    /// After an acknowledgement without a response, asks again after this.
    duration response_wait = std::chrono::seconds(4);
    /// Sent with each request if above zero.
    duration deadline{};
    duration backoff = std::chrono::milliseconds(500);
    /// An observation without a notification for this time is registered
    /// again.
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
    /// Sessions that ended without a closing notice: the binding was
    /// refused, or another host answers. Each end counts once, however many
    /// requests were open.
    std::uint64_t broken_flows = 0;
    /// Observations that fell silent and were registered again.
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
    /// @brief Observes deadlines until the end.
    std::vector<bytes> observe(time_point now);

    std::vector<bytes> on_datagram(byte_view data, time_point now);
    /// @brief Retransmits, retries and gives up. Every few milliseconds.
    std::vector<bytes> on_tick(time_point now);

    /// @brief Retries nothing that was refused from now on, and ends the
    /// observation.
    std::vector<bytes> stop();
    /// @brief Requests without an outcome, observations apart.
    std::size_t open() const;

    const client_counters& counters() const;
    const history& events() const;
    /// @brief From the first copy to the whole answer.
    const std::vector<duration>& latencies() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace arbutusport::emulator
