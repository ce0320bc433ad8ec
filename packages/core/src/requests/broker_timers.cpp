// Handles timers: deadlines, retransmissions, back-off and the end of a drain.

#include "broker_impl.hpp"

namespace arbutusport::requests {

void request_broker::impl::on_tick(time_point now) {
    expire_jobs(now);
    operations_.expire(now);
    sessions_.expire(now);
    for (auto& datagram : exchanges_.take_due_retransmissions(now))
        actions_.emplace_back(to_upstream{std::move(datagram)});
    send_remote_retries(now);
    send_due_notifications(now);
    if (!accepting_ && now >= accept_again_at_)
        set_accepting(true);
    start_queued(now);
    if (is_past_drain_deadline(now))
        close_idle_sessions(now);
}

void request_broker::impl::expire_jobs(time_point now) {
    std::vector<std::uint64_t> expired;
    for (const auto& [id, it] : jobs_)
        if (now >= it.deadline)
            expired.push_back(id);
    counters_.deadlines_missed += expired.size();
    for (const std::uint64_t id : expired) {
        // Ending one job may have started or rejected another.
        const auto at = jobs_.find(id);
        if (at == jobs_.end())
            continue;
        const job& it = at->second;
        if (it.state == job_state::queued) {
            reject(id, now);
            continue;
        }
        // The elapsed time is a lower bound of the service time if the upstream
        // has not responded.
        if (it.state == job_state::running)
            if (const auto* exchange = exchanges_.find(it.exchange))
                service_time_.record(now - exchange->started);
        finish_with_unknown_outcome(id, now);
    }
}

void request_broker::impl::send_remote_retries(time_point now) {
    for (auto& [id, current_job] : jobs_) {
        if (current_job.state != job_state::backing_off ||
            now < current_job.retry_at)
            continue;
        current_job.exchange = exchanges_.generate_token();
        current_job.state = job_state::remote;
        remote_jobs_[current_job.exchange] = id;
        coap_message request = current_job.request;
        const auto remaining = std::chrono::floor<std::chrono::milliseconds>(
            current_job.deadline - now);
        request.add_uint(options::deadline,
                         static_cast<std::uint32_t>(remaining.count()));
        actions_.emplace_back(
            execute_remotely{current_job.exchange, serialise(request)});
    }
}

void request_broker::impl::send_due_notifications(time_point now) {
    for (const auto& [key, retransmission] :
         observations_.take_due_notifications(now)) {
        if (!retransmission)
            observations_.notify(key, observations_.find(key)->last_sent,
                                 ++last_message_id_, now);
        send_notification(key, retransmission);
    }
}

void request_broker::impl::send_notification(const observation_key& key,
                                             bool retransmission) {
    const session* owner = sessions_.find(key.session);
    const observation* current = observations_.find(key);
    if (owner && current)
        actions_.emplace_back(
            reply{owner->flow, serialise(current->last_sent), retransmission});
}

void request_broker::impl::close_idle_sessions(time_point now) {
    for (const session_id id : sessions_.open_ids()) {
        const session* owner = sessions_.find(id);
        // Requests in progress are not interrupted; their deadlines bound them.
        if (owner->jobs > 0)
            continue;
        send_closing_notice(*owner);
        actions_.emplace_back(release_flow{owner->flow});
        close_session(id, now);
    }
}

void request_broker::impl::send_closing_notice(const session& owner) {
    const auto notice = make_closing_response("closing");
    const response_address to{owner.flow, coap_type::non_confirmable, 0, {}};
    const auto keys = observations_.keys_of_session(owner.id);
    // If the session has no observation, the notice has no token.
    if (keys.empty())
        return respond(to, notice);
    for (const auto& key : keys) {
        response_address address = to;
        address.token = to_bytes(key.token);
        respond(address, notice);
    }
}

} // namespace arbutusport::requests
