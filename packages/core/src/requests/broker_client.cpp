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
    const session* of = sessions_.find(flow);
    if (!of || message.type == coap_type::non_confirmable)
        return;
    if (const auto* found = observations_.find_message(of->id, message.id)) {
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
        if (it.session == of->id && it.copy.id == message.id)
            return cancel(it, now);
}

void request_broker::impl::deregister(const observation_key& key) {
    if (const observation* it = observations_.find(key)) {
        cancel_upstream(it->exchange);
        observations_.erase(key);
    }
}

void request_broker::impl::cancel(job& it, time_point now) {
    if (it.state == job_state::queued)
        refuse(it.id, now);
    else
        finish_unknown(it.id, now);
}

request_broker::impl::verdict
request_broker::impl::judge(const coap_message& request, time_point now) {
    verdict out;
    if (!options_.enabled.check_binding) {
        out.value = standing::valid;
        out.named.issued_s = static_cast<std::uint32_t>(
            std::chrono::floor<std::chrono::seconds>(now.time_since_epoch())
                .count());
        return out;
    }
    const coap_option* echo = request.find(options::echo);
    const auto named = echo ? read_binding(echo->value) : std::nullopt;
    if (!named)
        return out;
    out.named = *named;
    if (named->host != options_.self) {
        const bool down = options_.is_down && options_.is_down(named->host);
        out.value = down ? standing::foreign : standing::elsewhere;
        return out;
    }
    out.value = standing::foreign;
    if (named->run != options_.run ||
        !verify_binding(echo->value, options_.binding_key))
        return out;
    out.bound = sessions_.find(named->session);
    if (!out.bound)
        return out;
    // Expired bindings of ended sessions are stale too: the records of their
    // operations may have been removed.
    const bool expired = options_.enabled.recheck_deadlines &&
                         now >= named->issued() + options_.binding_lifetime;
    const bool revoked = named->epoch != out.bound->epoch;
    out.value = expired || revoked ? standing::stale
                : out.bound->ended ? standing::ended
                                   : standing::valid;
    if (out.bound->ended && out.value == standing::stale) {
        out.value = standing::foreign;
        out.bound = nullptr;
    }
    return out;
}

session* request_broker::impl::resolve_session(const flow_key& flow,
                                               const verdict& of,
                                               const coap_message& request,
                                               time_point now) {
    session* present = sessions_.find(flow);
    if (!of.bound) {
        if (present || draining_ended(now))
            return present;
        return sessions_.open(flow);
    }
    // The session must not move back because of a late copy: one with an older
    // binding than the session's newest, or one of a known operation.
    const bool late =
        of.value == standing::stale ||
        of.named.issued_s < of.bound->newest_binding_s ||
        operations_.find(make_operation_key(of.bound->id, request));
    if (of.bound == present || late)
        return of.bound;
    if (present)
        close_session(present->id, now);
    actions_.emplace_back(migrate_flow{of.bound->flow, flow});
    sessions_.migrate(*of.bound, flow);
    return of.bound;
}

void request_broker::impl::on_request(const flow_key& flow,
                                      coap_message request, time_point now) {
    const verdict judged = judge(request, now);
    if (judged.value == standing::elsewhere)
        return pass_to_bound(judged.named.host, flow, request);
    ++counters_.requests;
    const bool idempotent = is_idempotent(request.code);
    const bool unbound = judged.value == standing::unbound;
    const copy_address copy{flow, request.type, request.id, request.token};
    if (judged.value == standing::ended)
        return on_ended(flow, copy, std::move(request), judged, now);
    session* of = resolve_session(flow, judged, request, now);
    if (!of)
        return refuse_session(copy, idempotent, unbound, now);
    if (options_.enabled.deduplicate)
        if (operation* known =
                operations_.find(make_operation_key(of->id, request)))
            return on_copy(*known, copy);
    if (!idempotent && judged.value != standing::valid)
        return refuse_unbound(*of, copy, unbound, now);
    on_new_request(*of, copy, std::move(request), judged, now);
}

void request_broker::impl::pass_to_bound(process_id host, const flow_key& flow,
                                         const coap_message& request) {
    const bool established = sessions_.find(flow) != nullptr;
    actions_.emplace_back(pass_on{host, flow, serialise(request), established});
}

void request_broker::impl::on_ended(const flow_key& flow,
                                    const copy_address& copy,
                                    coap_message request, const verdict& judged,
                                    time_point now) {
    if (operation* known =
            operations_.find(make_operation_key(judged.bound->id, request)))
        return on_copy(*known, copy);
    // All operations of the session are still recorded, and the session admits
    // no new ones: this operation never ran and never will.
    ++counters_.not_run;
    if (draining_ended(now)) {
        respond(copy, make_closing(not_run_payload));
        actions_.emplace_back(release_flow{flow});
        return;
    }
    session* of = sessions_.find(flow);
    if (!of)
        of = sessions_.open(flow);
    if (!of)
        return respond(copy, make_refusal(!is_idempotent(request.code)));
    auto response = make_response(codes::unauthorized, "session ended");
    add_binding(*of, response, now);
    respond(copy, std::move(response));
}

void request_broker::impl::refuse_session(const copy_address& copy,
                                          bool idempotent, bool unbound,
                                          time_point now) {
    const bool may_have_run = !idempotent && !unbound;
    if (may_have_run) {
        ++counters_.unknown;
        respond(copy, make_response(codes::gateway_timeout, unknown_payload));
    } else {
        ++counters_.not_run;
        respond(copy, make_refusal(!idempotent));
    }
    if (draining_ended(now))
        actions_.emplace_back(release_flow{copy.flow});
}

void request_broker::impl::on_copy(operation& known, const copy_address& copy) {
    ++counters_.duplicates;
    if (known.state != operation_state::running)
        return respond(copy, known.response);
    // The response is addressed to the latest copy; until it is sent, the
    // client retransmits.
    if (const auto at = jobs_.find(known.job); at != jobs_.end())
        at->second.copy = copy;
}

void request_broker::impl::refuse_unbound(session& of, const copy_address& copy,
                                          bool unbound, time_point now) {
    // A request without a binding was not admitted by any host. If it has one
    // that is not valid here, an earlier copy may have run.
    auto response =
        unbound ? make_response(codes::unauthorized, "no binding")
                : make_response(codes::gateway_timeout, unknown_payload);
    if (!unbound)
        ++counters_.unknown;
    add_binding(of, response, now);
    respond(copy, std::move(response));
}

void request_broker::impl::on_new_request(session& of, const copy_address& copy,
                                          coap_message request,
                                          const verdict& judged,
                                          time_point now) {
    const bool idempotent = is_idempotent(request.code);
    const auto key = make_operation_key(of.id, request);
    auto expires = now + copy_lifetime;
    if (judged.value == standing::valid) {
        of.newest_binding_s =
            std::max(of.newest_binding_s, judged.named.issued_s);
        if (!idempotent)
            expires = std::max(expires, judged.named.issued() +
                                            options_.binding_lifetime);
    }
    if (const auto observe = request.find_uint(options::observe)) {
        deregister({of.id, token_text(request)});
        if (*observe != 0)
            request.erase(options::observe);
    }
    if (!operations_.add(key, last_job_ + 1, expires)) {
        // The rejection cannot be recorded. The session's bindings are revoked
        // instead, so that none of them admits a late copy.
        ++counters_.not_run;
        auto response = make_refusal(!idempotent);
        if (!idempotent && options_.enabled.record_refusals) {
            ++of.epoch;
            add_binding(of, response, now);
        }
        return respond(copy, std::move(response));
    }
    job it;
    it.session = of.id;
    it.key = key;
    it.copy = copy;
    it.request = std::move(request);
    it.bound = judged.value == standing::valid;
    if (it.bound)
        it.bound_at = judged.named.issued();
    ++of.jobs;
    admit(add_job(std::move(it), now).id, now);
}

void request_broker::impl::close_session(session_id id, time_point now) {
    session* of = sessions_.find(id);
    if (!of || of->ended)
        return;
    std::vector<std::uint64_t> open;
    for (const auto& [job_id, it] : jobs_)
        if (it.session == id && !it.of_peer())
            open.push_back(job_id);
    for (const std::uint64_t job_id : open) {
        // Ending one job may have started or ended another.
        const auto at = jobs_.find(job_id);
        if (at != jobs_.end())
            cancel(at->second, now);
    }
    for (const auto& key : observations_.of_session(id))
        deregister(key);
    sessions_.end(*sessions_.find(id), now + options_.binding_lifetime);
}

void request_broker::impl::on_flow_closed(const flow_key& flow,
                                          time_point now) {
    if (const session* of = sessions_.find(flow))
        close_session(of->id, now);
}

} // namespace arbutusport::requests
