// Handles the requests of owned flows: sessions, bindings, de-duplication,
// admission, deadlines, retries, cancellation and drain.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/base/ids.hpp>
#include <arbutusport/base/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <variant>
#include <vector>

namespace arbutusport::requests {

/// @brief Safety checks. Tests switch single checks off to show that each is
/// necessary; all are on in production.
struct safety_checks {
    bool deduplicate = true;
    bool check_binding = true;
    bool record_refusals = true;
    bool match_exchanges = true;
    bool recheck_deadlines = true;
};

struct broker_options {
    process_id self;
    incarnation run;
    std::uint32_t slots = 2;
    std::size_t max_queue = 16;
    std::size_t max_sessions = 8192;
    std::size_t max_dedup = 32'768;
    duration binding_lifetime = std::chrono::seconds(300);
    /// Applies to requests without a deadline option.
    duration default_deadline = std::chrono::seconds(30);
    double retry_ratio = 0.1;
    /// Authenticates bindings; each incarnation generates a new key.
    std::array<std::uint8_t, 16> binding_key{};
    std::uint64_t seed = 0;
    safety_checks checks;
    /// Returns whether a host is considered down. A request whose binding names
    /// such a host is answered here. If unset, no host is considered down.
    std::function<bool(process_id)> is_down;
};

/// @brief Send a datagram to the client of an owned flow.
struct reply {
    flow_key flow;
    bytes datagram;
    bool retransmission = false;
};

/// @brief Send a datagram to the upstream.
struct to_upstream {
    bytes datagram;
};

/// @brief Run an idempotent request at another host of the service.
struct execute_remotely {
    std::uint64_t exchange = 0;
    bytes request;
};

/// @brief Send the response to another host's execute_remotely.
struct send_remote_response {
    process_id origin;
    std::uint64_t exchange = 0;
    bytes response;
};

/// @brief Forward the datagram to the host that its binding names.
struct forward_datagram {
    process_id host;
    flow_key flow;
    bytes datagram;
    /// The flow has a session here and stays here: the datagram may be a late
    /// copy of a request in an earlier session at the other host.
    bool keep_flow = false;
};

/// @brief Move the session from one flow key to another.
struct migrate_flow {
    flow_key from;
    flow_key to;
};

/// @brief Release the flow of a session that has ended; another host may open
/// it.
struct release_flow {
    flow_key flow;
};

/// @brief Report that the upstream sheds load (false) or accepts requests
/// again (true).
struct report_upstream_accepting {
    bool value = true;
};

using broker_action =
    std::variant<reply, to_upstream, execute_remotely, send_remote_response,
                 forward_datagram, migrate_flow, release_flow,
                 report_upstream_accepting>;
using broker_actions = std::vector<broker_action>;

struct broker_counters {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown_outcomes = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t deadlines_missed = 0;
    std::uint64_t retries = 0;
    std::uint64_t unmatched_responses = 0;
    std::uint64_t malformed = 0;
};

class request_broker {
public:
    explicit request_broker(broker_options options);
    ~request_broker();

    /// @brief Handles a datagram of an owned flow.
    broker_actions on_client(const flow_key& flow, byte_view datagram,
                             time_point now);
    /// @brief Handles a datagram from the upstream.
    broker_actions on_upstream(byte_view datagram, time_point now);
    /// @brief Handles an idempotent request that another host sent here.
    broker_actions on_remote_request(process_id origin, std::uint64_t exchange,
                                     byte_view request, time_point now);
    /// @brief Handles the response to an execute_remotely of this broker.
    broker_actions on_remote_response(std::uint64_t exchange,
                                      byte_view response, time_point now);
    /// @brief Handles deadlines, retransmissions, back-off and drain. To be
    /// called every 10 ms.
    broker_actions on_tick(time_point now);

    /// @brief Ends the session of a flow that the flow layer has closed.
    void on_flow_closed(const flow_key& flow, time_point now);
    /// @brief Applies the published limits; queued requests are kept.
    void set_limits(std::uint32_t slots, std::size_t max_queue);
    /// @brief Starts a drain; at `deadline` the sessions are closed with a
    /// notice.
    void drain(time_point deadline);
    /// @brief Accepts new sessions again; ended sessions stay ended.
    void end_drain();
    /// @brief True if a drain was started, no request is in progress and no
    /// session is open.
    bool is_drained() const;

    std::size_t sessions() const;
    std::size_t running() const;
    std::size_t queued() const;
    const broker_counters& counters() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace arbutusport::requests
