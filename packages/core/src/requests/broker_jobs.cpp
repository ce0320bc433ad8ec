// Requests in progress: admission, upstream slots and completion.

#include "broker_impl.hpp"

namespace arbutusport::requests {

job& request_broker::impl::add_job(job it, time_point now) {
    it.id = ++last_job_;
    // The deadline is capped at the lifetime of a binding, so that no request
    // occupies a slot for days.
    const auto asked_ms = it.request.find_uint(options::deadline);
    const auto budget = asked_ms
                            ? duration(std::chrono::milliseconds(*asked_ms))
                            : options_.default_deadline;
    it.deadline = now + std::min(budget, options_.binding_lifetime);
    it.request.erase(options::echo);
    it.request.erase(options::deadline);
    return jobs_[it.id] = std::move(it);
}

void request_broker::impl::admit(std::uint64_t id, time_point now) {
    job& it = jobs_.at(id);
    if (draining_ended(now))
        return refuse(id, now);
    // A free slot is always used, so that the service time is measured again
    // even if the last mean exceeds all deadlines.
    if (running_ < options_.slots && queue_.size() == 0)
        return dispatch(it, now);
    const auto source = it.of_peer() ? it.origin.value() : it.session.value();
    const queued_request place{id, source, it.deadline};
    const auto done =
        now + expected_wait(queue_.ahead_of(place)) + service_time_.mean();
    if (done > it.deadline)
        return refuse(id, now);
    if (const auto refused = queue_.push(place))
        refuse(*refused, now);
}

void request_broker::impl::dispatch(job& it, time_point now) {
    // The process may have been suspended since the request was admitted.
    if (options_.enabled.recheck_deadlines && now >= it.deadline)
        return refuse(it.id, now);
    if (!it.of_peer())
        budget_.on_first_try();
    it.state = job_state::running;
    ++running_;
    coap_message request = it.request;
    const auto left =
        std::chrono::ceil<std::chrono::milliseconds>(it.deadline - now);
    request.add_uint(
        options::deadline,
        static_cast<std::uint32_t>(std::max<std::int64_t>(0, left.count())));
    it.exchange = exchanges_.open(request, it.id, now).token;
    actions_.emplace_back(to_upstream{serialise(request)});
}

void request_broker::impl::start_queued(time_point now) {
    while (running_ < options_.slots) {
        const auto next = queue_.pop();
        if (!next)
            return;
        job& it = jobs_.at(next->job);
        // While other requests wait, no slot is used for a response that would
        // be late.
        const bool late = now + service_time_.mean() > it.deadline;
        if (late && queue_.size() > 0)
            refuse(it.id, now);
        else
            dispatch(it, now);
    }
}

void request_broker::impl::refuse(std::uint64_t id, time_point now) {
    const job& it = jobs_.at(id);
    const bool never_runs = !it.of_peer() && !it.idempotent();
    ++counters_.not_run;
    const auto key = it.key;
    finish(id, make_refusal(never_runs), operation_state::refused, now);
    if (key && !options_.enabled.record_refusals)
        operations_.erase(*key);
}

void request_broker::impl::finish_unknown(std::uint64_t id, time_point now) {
    const job& it = jobs_.at(id);
    if (it.state == job_state::running)
        cancel_upstream(it.exchange);
    ++counters_.unknown;
    finish(id, make_response(codes::gateway_timeout, unknown_payload),
           operation_state::answered, now);
}

void request_broker::impl::finish(std::uint64_t id, coap_message response,
                                  operation_state state, time_point now) {
    job& it = jobs_.at(id);
    response.erase(options::echo);
    if (session* of = sessions_.find(it.session);
        of && !of->ended && !it.of_peer())
        // The response to a read without a binding carries one, so that the
        // session can be found under a new flow key. A binding is not renewed
        // in the first half of its lifetime: a host that was suspended may send
        // an outdated response to a client that has meanwhile moved to another
        // host, and a new binding would make that client return.
        if (!it.bound || (!it.idempotent() &&
                          now >= it.bound_at + options_.binding_lifetime / 2))
            add_binding(*of, response, now);
    respond_to(it, response);
    if (it.key) {
        operations_.extend(*it.key, now + copy_lifetime);
        operations_.finish(*it.key, state, response);
    }
    drop_job(id);
    start_queued(now);
}

void request_broker::impl::release_slot(job& it) {
    if (it.state == job_state::running)
        --running_;
}

void request_broker::impl::drop_job(std::uint64_t id) {
    const auto at = jobs_.find(id);
    if (at == jobs_.end())
        return;
    job& it = at->second;
    if (it.state == job_state::queued)
        queue_.erase(id);
    if (it.state == job_state::elsewhere)
        elsewhere_.erase(it.exchange);
    if (it.state == job_state::running) {
        // An observation keeps the exchange open after the first response.
        const auto* exchange = exchanges_.find(it.exchange);
        if (exchange && exchange->job == id)
            cancel_upstream(it.exchange);
    }
    release_slot(it);
    if (session* of = sessions_.find(it.session); of && !it.of_peer())
        --of->jobs;
    jobs_.erase(at);
}

} // namespace arbutusport::requests
