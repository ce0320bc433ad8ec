// Implementation of the broker, defined in request_broker.cpp,
// broker_client.cpp, broker_jobs.cpp, broker_upstream.cpp and
// broker_timers.cpp.
#pragma once

#include <arbutusport/requests/admission_queue.hpp>
#include <arbutusport/requests/binding.hpp>
#include <arbutusport/requests/coap_message.hpp>
#include <arbutusport/requests/dedup_table.hpp>
#include <arbutusport/requests/observations.hpp>
#include <arbutusport/requests/request_broker.hpp>
#include <arbutusport/requests/retry_budget.hpp>
#include <arbutusport/requests/session_table.hpp>
#include <arbutusport/requests/upstream_exchanges.hpp>

#include <map>
#include <optional>
#include <random>
#include <string_view>
#include <unordered_map>

namespace arbutusport::requests {

/// A client may retransmit a request for this long after sending it first
/// (RFC 7252, MAX_TRANSMIT_WAIT). De-duplication entries are kept at least as
/// long. That suffices for idempotent requests: a later copy may run again.
inline constexpr duration min_dedup_lifetime = std::chrono::seconds(93);

/// @brief Where and how to send the response to the latest copy of a request.
struct response_address {
    flow_key flow;
    coap_type type = coap_type::confirmable;
    std::uint16_t id = 0;
    bytes token;
};

enum class job_state : std::uint8_t {
    queued,
    running,     // sent to the upstream; occupies a slot
    backing_off, // shed by the upstream; waits to be sent to another host
    remote,      // sent to another host
};

/// @brief One request in progress.
struct job {
    std::uint64_t id = 0;
    job_state state = job_state::queued;
    /// Set for a client's request.
    session_id session;
    std::optional<operation_key> key;
    response_address reply_to;
    /// Set for a request of another host: that host and its exchange.
    process_id origin;
    std::uint64_t origin_exchange = 0;
    /// Without Echo and deadline options.
    coap_message request;
    /// Whether the request has a valid binding, and when that was issued.
    bool has_binding = false;
    time_point binding_issued;
    time_point deadline;
    /// Token of the exchange with the upstream or with another host.
    std::uint64_t exchange = 0;
    std::uint32_t remote_attempts = 0;
    time_point retry_at;
    /// The upstream's 5.03, which the client receives if no other host answers.
    coap_message overload_response;

    bool is_from_peer() const { return origin != process_id(); }
    bool has_idempotent_method() const { return is_idempotent(request.code); }
};

class request_broker::impl {
public:
    explicit impl(broker_options options);

    // Events from clients.
    void on_client(const flow_key& flow, byte_view datagram, time_point now);
    void on_flow_closed(const flow_key& flow, time_point now);

    // Events from the upstream and from other hosts.
    void on_upstream(byte_view datagram, time_point now);
    void on_remote_request(process_id origin, std::uint64_t exchange,
                           byte_view request, time_point now);
    void on_remote_response(std::uint64_t exchange, byte_view response,
                            time_point now);

    void on_tick(time_point now);
    void set_limits(std::uint32_t slots, std::size_t max_queue) {
        options_.slots = slots;
        queue_.set_limit(max_queue);
    }
    void drain(time_point deadline) { drain_deadline_ = deadline; }
    void end_drain() { drain_deadline_.reset(); }
    bool is_drained() const;

    broker_actions take_actions() { return std::exchange(actions_, {}); }

    const session_table& sessions() const { return sessions_; }
    std::size_t running() const { return running_; }
    std::size_t queued() const { return queue_.size(); }
    const broker_counters& counters() const { return counters_; }

private:
    // Whether a request may run here, as determined from its binding.
    enum class binding_state : std::uint8_t {
        unbound,       // no binding: the request was never admitted by any host
        valid,         // admits a new operation
        stale,         // issued here, but expired or revoked
        session_ended, // its session has ended: an unrecorded operation never
                       // ran
        foreign,       // another incarnation may have run the request
        other_host,    // issued by another host that is considered up
    };

    struct binding_status {
        binding_state state = binding_state::unbound;
        binding presented;
        /// The session of the binding, if it is known here.
        session* bound_session = nullptr;
    };

    // broker_client.cpp
    void on_request(const flow_key& flow, coap_message request, time_point now);
    void on_client_empty(const flow_key& flow, const coap_message& message,
                         time_point now);
    binding_status classify_binding(const coap_message& request,
                                    time_point now);
    session* resolve_session(const flow_key& flow, const binding_status& status,
                             const coap_message& request, time_point now);
    void reject_without_session(const response_address& reply_to,
                                bool idempotent, bool unbound, time_point now);
    void on_duplicate(operation& known, const response_address& reply_to);
    /// Handles a request whose binding belongs to an ended session.
    void on_ended_session(const flow_key& flow,
                          const response_address& reply_to,
                          coap_message request, const binding_status& status,
                          time_point now);
    void forward_to_bound_host(process_id host, const flow_key& flow,
                               const coap_message& request);
    void on_new_request(session& owner, const response_address& reply_to,
                        coap_message request, const binding_status& status,
                        time_point now);
    void reject_without_valid_binding(session& owner,
                                      const response_address& reply_to,
                                      bool unbound, time_point now);
    void deregister(const observation_key& key);
    void cancel(job& current_job, time_point now);
    void close_session(session_id id, time_point now);

    // broker_jobs.cpp
    /// Reads the deadline and removes the options addressed to the broker.
    job& add_job(job new_job, time_point now);
    void admit(std::uint64_t id, time_point now);
    void dispatch(job& current_job, time_point now);
    void start_queued(time_point now);
    /// Responds that the job will never run; requires that it never ran.
    void reject(std::uint64_t id, time_point now);
    void finish(std::uint64_t id, coap_message response, operation_state state,
                time_point now);
    /// Ends a job that may have run or may still run.
    void finish_with_unknown_outcome(std::uint64_t id, time_point now);
    void remove_job(std::uint64_t id);
    void release_slot(job& current_job);

    // broker_upstream.cpp
    void on_response(upstream_exchange& exchange, coap_message response,
                     time_point now);
    void on_overload(job& current_job, coap_message response, time_point now);
    void forward_overload(std::uint64_t id, time_point now);
    bool schedule_remote_retry(job& current_job, time_point now);
    /// Records the ETag of a block-wise response. True if it differs from that
    /// of the previous block.
    bool detect_etag_change(const job& current_job,
                            const coap_message& response, time_point now);
    /// True if the exchange now belongs to an observation.
    bool start_observation(job& current_job, upstream_exchange& exchange,
                           coap_message& response, time_point now);
    void on_notification(const observation_key& key, coap_message response,
                         time_point now);
    void cancel_exchange(std::uint64_t token);
    void set_accepting(bool value);

    // broker_timers.cpp
    void expire_jobs(time_point now);
    void send_remote_retries(time_point now);
    void send_due_notifications(time_point now);
    void close_idle_sessions(time_point now);
    void send_closing_notice(const session& owner);

    // Messages and helpers.
    void respond(const response_address& to, coap_message response);
    void respond_to_job(const job& current_job, coap_message response);
    coap_message make_rejection(bool never_runs) const;
    coap_message make_closing_response(std::string_view payload) const;
    void add_binding(const session& owner, coap_message& response,
                     time_point now) const;
    void send_notification(const observation_key& key, bool retransmission);
    duration expected_wait(std::size_t ahead) const;
    bool is_past_drain_deadline(time_point now) const {
        return drain_deadline_ && now >= *drain_deadline_;
    }

    broker_options options_;
    session_table sessions_;
    dedup_table operations_;
    admission_queue queue_;
    service_time service_time_;
    retry_budget retry_budget_;
    upstream_exchanges exchanges_;
    observations observations_;
    // At most slots + queue limit + max_remote_requests elements.
    std::map<std::uint64_t, job> jobs_;
    std::unordered_map<std::uint64_t, std::uint64_t> remote_jobs_;
    std::uint64_t last_job_id_ = 0;
    // Jobs in state running; at most options_.slots.
    std::size_t running_ = 0;
    std::uint16_t last_message_id_ = 0;
    bool accepting_ = true;
    time_point accept_again_at_;
    std::optional<time_point> drain_deadline_;
    std::mt19937_64 random_;
    broker_counters counters_;
    // Collected until the caller of the current event takes them; those of
    // on_flow_closed are returned with the next event.
    broker_actions actions_;
};

} // namespace arbutusport::requests
