// Requests in progress: admission, upstream slots and completion.

#include "broker_impl.hpp"

namespace arbutusport::requests {

job& request_broker::impl::add_job(job new_job, time_point now) {
    new_job.id = ++last_job_id_;
    // The deadline is capped at the lifetime of a binding, so that no request
    // occupies a slot for days.
    const auto requested_ms = new_job.request.find_uint(options::deadline);
    const auto time_limit =
        requested_ms ? duration(std::chrono::milliseconds(*requested_ms))
                     : options_.default_deadline;
    new_job.deadline = now + std::min(time_limit, options_.binding_lifetime);
    new_job.request.erase(options::echo);
    new_job.request.erase(options::deadline);
    return jobs_[new_job.id] = std::move(new_job);
}

void request_broker::impl::admit(std::uint64_t id, time_point now) {
    job& current_job = jobs_.at(id);
    if (is_past_drain_deadline(now))
        return reject(id, now);
    // A free slot is always used, so that the service time is measured again
    // even if the last mean exceeds all deadlines.
    if (running_ < options_.slots && queue_.size() == 0)
        return dispatch(current_job, now);
    const auto source = current_job.is_from_peer()
                            ? current_job.origin.value()
                            : current_job.session.value();
    const queued_request entry{id, source, current_job.deadline};
    const auto expected_completion =
        now + expected_wait(queue_.count_ahead_of(entry)) +
        service_time_.mean();
    if (expected_completion > current_job.deadline)
        return reject(id, now);
    if (const auto rejected = queue_.push(entry))
        reject(*rejected, now);
}

void request_broker::impl::dispatch(job& current_job, time_point now) {
    // The process may have been suspended since the request was admitted.
    if (options_.checks.recheck_deadlines && now >= current_job.deadline)
        return reject(current_job.id, now);
    if (!current_job.is_from_peer())
        retry_budget_.on_first_attempt();
    current_job.state = job_state::running;
    ++running_;
    coap_message request = current_job.request;
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(
        current_job.deadline - now);
    request.add_uint(options::deadline,
                     static_cast<std::uint32_t>(
                         std::max<std::int64_t>(0, remaining.count())));
    current_job.exchange = exchanges_.open(request, current_job.id, now).token;
    actions_.emplace_back(to_upstream{serialise(request)});
}

void request_broker::impl::start_queued(time_point now) {
    while (running_ < options_.slots) {
        const auto next = queue_.pop();
        if (!next)
            return;
        job& next_job = jobs_.at(next->job);
        // While other requests wait, no slot is used for a response that would
        // be late.
        const bool late = now + service_time_.mean() > next_job.deadline;
        if (late && queue_.size() > 0)
            reject(next_job.id, now);
        else
            dispatch(next_job, now);
    }
}

void request_broker::impl::reject(std::uint64_t id, time_point now) {
    const job& current_job = jobs_.at(id);
    const bool never_runs =
        !current_job.is_from_peer() && !current_job.has_idempotent_method();
    ++counters_.not_run;
    const auto key = current_job.key;
    finish(id, make_rejection(never_runs), operation_state::rejected, now);
    if (key && !options_.checks.record_refusals)
        operations_.erase(*key);
}

void request_broker::impl::finish_with_unknown_outcome(std::uint64_t id,
                                                       time_point now) {
    const job& current_job = jobs_.at(id);
    if (current_job.state == job_state::running)
        cancel_exchange(current_job.exchange);
    ++counters_.unknown_outcomes;
    finish(id, make_response(codes::gateway_timeout, unknown_payload),
           operation_state::answered, now);
}

void request_broker::impl::finish(std::uint64_t id, coap_message response,
                                  operation_state state, time_point now) {
    job& current_job = jobs_.at(id);
    response.erase(options::echo);
    if (session* owner = sessions_.find(current_job.session);
        owner && !owner->ended && !current_job.is_from_peer())
        // The response to a read without a binding carries one, so that the
        // session can be found under a new flow key. A binding is not renewed
        // in the first half of its lifetime: a host that was suspended may send
        // an outdated response to a client that has meanwhile moved to another
        // host, and a new binding would make that client return.
        if (!current_job.has_binding ||
            (!current_job.has_idempotent_method() &&
             now >= current_job.binding_issued + options_.binding_lifetime / 2))
            add_binding(*owner, response, now);
    respond_to_job(current_job, response);
    if (current_job.key) {
        operations_.extend(*current_job.key, now + min_dedup_lifetime);
        operations_.finish(*current_job.key, state, response);
    }
    remove_job(id);
    start_queued(now);
}

void request_broker::impl::release_slot(job& current_job) {
    if (current_job.state == job_state::running)
        --running_;
}

void request_broker::impl::remove_job(std::uint64_t id) {
    const auto at = jobs_.find(id);
    if (at == jobs_.end())
        return;
    job& current_job = at->second;
    if (current_job.state == job_state::queued)
        queue_.erase(id);
    if (current_job.state == job_state::remote)
        remote_jobs_.erase(current_job.exchange);
    if (current_job.state == job_state::running) {
        // An observation keeps the exchange open after the first response.
        const auto* exchange = exchanges_.find(current_job.exchange);
        if (exchange && exchange->job == id)
            cancel_exchange(current_job.exchange);
    }
    release_slot(current_job);
    if (session* owner = sessions_.find(current_job.session);
        owner && !current_job.is_from_peer())
        --owner->jobs;
    jobs_.erase(at);
}

} // namespace arbutusport::requests
