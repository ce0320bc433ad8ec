// Handles timers: deadlines, retransmissions, back-off and the end of a drain.

#include "broker_impl.hpp"

namespace arbutusport::requests {

void request_broker::impl::on_tick(time_point now) {
    expire_jobs(now);
    operations_.expire(now);
    sessions_.expire(now);
    for (auto& datagram : exchanges_.repeat(now))
        actions_.emplace_back(to_upstream{std::move(datagram)});
    send_elsewhere(now);
    send_due_notifications(now);
    if (!accepting_ && now >= accepting_again_)
        set_accepting(true);
    start_queued(now);
    if (draining_ended(now))
        end_sessions(now);
}

void request_broker::impl::expire_jobs(time_point now) {
    std::vector<std::uint64_t> late;
    for (const auto& [id, it] : jobs_)
        if (now >= it.deadline)
            late.push_back(id);
    counters_.late += late.size();
    for (const std::uint64_t id : late) {
        // Ending one job may have started or rejected another.
        const auto at = jobs_.find(id);
        if (at == jobs_.end())
            continue;
        const job& it = at->second;
        if (it.state == job_state::queued) {
            refuse(id, now);
            continue;
        }
        // The elapsed time is a lower bound of the service time if the upstream
        // has not responded.
        if (it.state == job_state::running)
            if (const auto* exchange = exchanges_.find(it.exchange))
                service_time_.record(now - exchange->started);
        finish_unknown(id, now);
    }
}

void request_broker::impl::send_elsewhere(time_point now) {
    for (auto& [id, it] : jobs_) {
        if (it.state != job_state::backing_off || now < it.retry_at)
            continue;
        it.exchange = exchanges_.draw_token();
        it.state = job_state::elsewhere;
        elsewhere_[it.exchange] = id;
        coap_message request = it.request;
        const auto left =
            std::chrono::floor<std::chrono::milliseconds>(it.deadline - now);
        request.add_uint(options::deadline,
                         static_cast<std::uint32_t>(left.count()));
        actions_.emplace_back(
            execute_elsewhere{it.exchange, serialise(request)});
    }
}

void request_broker::impl::send_due_notifications(time_point now) {
    for (const auto& [key, repetition] : observations_.take_due(now)) {
        if (!repetition)
            observations_.notify(key, observations_.find(key)->last,
                                 ++last_message_id_, now);
        send_notification(key, repetition);
    }
}

void request_broker::impl::send_notification(const observation_key& key,
                                             bool retransmission) {
    const session* of = sessions_.find(key.session);
    const observation* it = observations_.find(key);
    if (of && it)
        actions_.emplace_back(
            reply{of->flow, serialise(it->last), retransmission});
}

void request_broker::impl::end_sessions(time_point now) {
    for (const session_id id : sessions_.ids()) {
        const session* of = sessions_.find(id);
        // Requests in progress are not interrupted; their deadlines bound them.
        if (of->jobs > 0)
            continue;
        send_closing_notice(*of);
        actions_.emplace_back(release_flow{of->flow});
        close_session(id, now);
    }
}

void request_broker::impl::send_closing_notice(const session& of) {
    const auto notice = make_closing("closing");
    const copy_address to{of.flow, coap_type::non_confirmable, 0, {}};
    const auto keys = observations_.of_session(of.id);
    // If the session has no observation, the notice has no token.
    if (keys.empty())
        return respond(to, notice);
    for (const auto& key : keys) {
        copy_address copy = to;
        copy.token = to_bytes(key.token);
        respond(copy, notice);
    }
}

} // namespace arbutusport::requests
