// Handles datagrams from clients: requests and their duplicates,
// acknowledgements and resets.

#include "broker_impl.hpp"

namespace arbutusport::requests {

namespace {

std::string token_text(const coap_message& it) {
    return {it.token.begin(), it.token.end()};
}

} // namespace

void request_broker::impl::on_client(const flow_key& flow, byte_view datagram,
                                     time_point now) {
    handle_failure(
        [&]() -> result<void> {
            BOOST_LEAF_AUTO(message, parse_message(datagram));
            if (is_request(message.code))
                on_request(flow, std::move(message), now);
            else if (message.code == codes::empty)
                on_client_empty(flow, message, now);
            else
                ++counters_.malformed;
            return {};
        },
        [&](const failure&) { ++counters_.malformed; });
}

void request_broker::impl::on_client_empty(const flow_key& flow,
                                           const coap_message& message,
                                           time_point now) {
    // An empty confirmable message is a liveness check ("CoAP ping").
    if (message.type == coap_type::confirmable) {
        actions_.emplace_back(reply{
            flow, serialise(make_empty(coap_type::reset, message.id)), false});
        return;
    }
    const session* owner = sessions_.find(flow);
    if (!owner || message.type == coap_type::non_confirmable)
        return;
    if (const auto* found =
            observations_.find_unacknowledged(owner->id, message.id)) {
        const observation_key key = *found;
        if (message.type == coap_type::reset)
            deregister(key);
        else
            observations_.acknowledge(key, now);
        return;
    }
    if (message.type != coap_type::reset)
        return;
    for (auto& [id, it] : jobs_)
        if (it.session == owner->id && it.reply_to.id == message.id)
            return cancel(it, now);
}

void request_broker::impl::deregister(const observation_key& key) {
    if (const observation* it = observations_.find(key)) {
        cancel_exchange(it->exchange);
        observations_.erase(key);
    }
}

void request_broker::impl::cancel(job& current_job, time_point now) {
    if (current_job.state == job_state::queued)
        reject(current_job.id, now);
    else
        finish_with_unknown_outcome(current_job.id, now);
}

request_broker::impl::binding_status
request_broker::impl::classify_binding(const coap_message& request,
                                       time_point now) {
    binding_status status;
    if (!options_.checks.check_binding) {
        status.state = binding_state::valid;
        status.presented.issued_s = static_cast<std::uint32_t>(
            std::chrono::floor<std::chrono::seconds>(now.time_since_epoch())
                .count());
        return status;
    }
    const coap_option* echo = request.find(options::echo);
    const auto presented = echo ? read_binding(echo->value) : std::nullopt;
    if (!presented)
        return status;
    status.presented = *presented;
    if (presented->host != options_.self) {
        const bool down = options_.is_down && options_.is_down(presented->host);
        status.state =
            down ? binding_state::foreign : binding_state::other_host;
        return status;
    }
    status.state = binding_state::foreign;
    if (presented->host_incarnation != options_.run ||
        !verify_binding(echo->value, options_.binding_key))
        return status;
    status.bound_session = sessions_.find(presented->session);
    if (!status.bound_session)
        return status;
    // Expired bindings of ended sessions are stale too: the records of their
    // operations may have been removed.
    const bool expired = options_.checks.recheck_deadlines &&
                         now >= presented->issued() + options_.binding_lifetime;
    const bool revoked = presented->epoch != status.bound_session->epoch;
    status.state = expired || revoked            ? binding_state::stale
                   : status.bound_session->ended ? binding_state::session_ended
                                                 : binding_state::valid;
    if (status.bound_session->ended && status.state == binding_state::stale) {
        status.state = binding_state::foreign;
        status.bound_session = nullptr;
    }
    return status;
}

session* request_broker::impl::resolve_session(const flow_key& flow,
                                               const binding_status& status,
                                               const coap_message& request,
                                               time_point now) {
    session* current = sessions_.find(flow);
    if (!status.bound_session) {
        if (current || is_past_drain_deadline(now))
            return current;
        return sessions_.open(flow);
    }
    // A late copy must not move the session back: one whose binding is stale or
    // older than the session's newest one, or one of a known operation.
    const bool late =
        status.state == binding_state::stale ||
        status.presented.issued_s < status.bound_session->newest_binding_s ||
        operations_.find(make_operation_key(status.bound_session->id, request));
    if (status.bound_session == current || late)
        return status.bound_session;
    if (current)
        close_session(current->id, now);
    actions_.emplace_back(migrate_flow{status.bound_session->flow, flow});
    sessions_.migrate(*status.bound_session, flow);
    return status.bound_session;
}

void request_broker::impl::on_request(const flow_key& flow,
                                      coap_message request, time_point now) {
    const binding_status status = classify_binding(request, now);
    if (status.state == binding_state::other_host)
        return forward_to_bound_host(status.presented.host, flow, request);
    ++counters_.requests;
    const bool idempotent = is_idempotent(request.code);
    const bool unbound = status.state == binding_state::unbound;
    const response_address reply_to{flow, request.type, request.id,
                                    request.token};
    if (status.state == binding_state::session_ended)
        return on_ended_session(flow, reply_to, std::move(request), status,
                                now);
    session* owner = resolve_session(flow, status, request, now);
    if (!owner)
        return reject_without_session(reply_to, idempotent, unbound, now);
    if (options_.checks.deduplicate)
        if (operation* known =
                operations_.find(make_operation_key(owner->id, request)))
            return on_duplicate(*known, reply_to);
    if (!idempotent && status.state != binding_state::valid)
        return reject_without_valid_binding(*owner, reply_to, unbound, now);
    on_new_request(*owner, reply_to, std::move(request), status, now);
}

void request_broker::impl::forward_to_bound_host(process_id host,
                                                 const flow_key& flow,
                                                 const coap_message& request) {
    const bool established = sessions_.find(flow) != nullptr;
    actions_.emplace_back(
        forward_datagram{host, flow, serialise(request), established});
}

void request_broker::impl::on_ended_session(const flow_key& flow,
                                            const response_address& reply_to,
                                            coap_message request,
                                            const binding_status& status,
                                            time_point now) {
    if (operation* known = operations_.find(
            make_operation_key(status.bound_session->id, request)))
        return on_duplicate(*known, reply_to);
    // All operations of the session are still recorded, and the session admits
    // no new ones: this operation never ran and never will.
    ++counters_.not_run;
    if (is_past_drain_deadline(now)) {
        respond(reply_to, make_closing_response(not_run_payload));
        actions_.emplace_back(release_flow{flow});
        return;
    }
    session* owner = sessions_.find(flow);
    if (!owner)
        owner = sessions_.open(flow);
    if (!owner)
        return respond(reply_to, make_rejection(!is_idempotent(request.code)));
    auto response = make_response(codes::unauthorized, "session ended");
    add_binding(*owner, response, now);
    respond(reply_to, std::move(response));
}

void request_broker::impl::reject_without_session(
    const response_address& reply_to, bool idempotent, bool unbound,
    time_point now) {
    const bool may_have_run = !idempotent && !unbound;
    if (may_have_run) {
        ++counters_.unknown_outcomes;
        respond(reply_to,
                make_response(codes::gateway_timeout, unknown_payload));
    } else {
        ++counters_.not_run;
        respond(reply_to, make_rejection(!idempotent));
    }
    if (is_past_drain_deadline(now))
        actions_.emplace_back(release_flow{reply_to.flow});
}

void request_broker::impl::on_duplicate(operation& known,
                                        const response_address& reply_to) {
    ++counters_.duplicates;
    if (known.state != operation_state::running)
        return respond(reply_to, known.response);
    // The response is addressed to the latest copy; until it is sent, the
    // client retransmits.
    if (const auto at = jobs_.find(known.job); at != jobs_.end())
        at->second.reply_to = reply_to;
}

void request_broker::impl::reject_without_valid_binding(
    session& owner, const response_address& reply_to, bool unbound,
    time_point now) {
    // A request without a binding was not admitted by any host. If it has one
    // that is not valid here, an earlier copy may have run.
    auto response =
        unbound ? make_response(codes::unauthorized, "no binding")
                : make_response(codes::gateway_timeout, unknown_payload);
    if (!unbound)
        ++counters_.unknown_outcomes;
    add_binding(owner, response, now);
    respond(reply_to, std::move(response));
}

void request_broker::impl::on_new_request(session& owner,
                                          const response_address& reply_to,
                                          coap_message request,
                                          const binding_status& status,
                                          time_point now) {
    const bool idempotent = is_idempotent(request.code);
    const auto key = make_operation_key(owner.id, request);
    auto expires = now + min_dedup_lifetime;
    if (status.state == binding_state::valid) {
        owner.newest_binding_s =
            std::max(owner.newest_binding_s, status.presented.issued_s);
        if (!idempotent)
            expires = std::max(expires, status.presented.issued() +
                                            options_.binding_lifetime);
    }
    if (const auto observe = request.find_uint(options::observe)) {
        deregister({owner.id, token_text(request)});
        if (*observe != 0)
            request.erase(options::observe);
    }
    if (!operations_.add(key, last_job_id_ + 1, expires)) {
        // The rejection cannot be recorded. The session's bindings are revoked
        // instead, so that none of them admits a late copy.
        ++counters_.not_run;
        auto response = make_rejection(!idempotent);
        if (!idempotent && options_.checks.record_refusals) {
            ++owner.epoch;
            add_binding(owner, response, now);
        }
        return respond(reply_to, std::move(response));
    }
    job new_job;
    new_job.session = owner.id;
    new_job.key = key;
    new_job.reply_to = reply_to;
    new_job.request = std::move(request);
    new_job.has_binding = status.state == binding_state::valid;
    if (new_job.has_binding)
        new_job.binding_issued = status.presented.issued();
    ++owner.jobs;
    admit(add_job(std::move(new_job), now).id, now);
}

void request_broker::impl::close_session(session_id id, time_point now) {
    session* owner = sessions_.find(id);
    if (!owner || owner->ended)
        return;
    std::vector<std::uint64_t> open_jobs;
    for (const auto& [job_id, it] : jobs_)
        if (it.session == id && !it.is_from_peer())
            open_jobs.push_back(job_id);
    for (const std::uint64_t job_id : open_jobs) {
        // Ending one job may have started or ended another.
        const auto at = jobs_.find(job_id);
        if (at != jobs_.end())
            cancel(at->second, now);
    }
    for (const auto& key : observations_.keys_of_session(id))
        deregister(key);
    sessions_.end(*sessions_.find(id), now + options_.binding_lifetime);
}

void request_broker::impl::on_flow_closed(const flow_key& flow,
                                          time_point now) {
    if (const session* owner = sessions_.find(flow))
        close_session(owner->id, now);
}

} // namespace arbutusport::requests
