// Handles responses of the upstream, and requests and responses of other hosts.

#include "broker_impl.hpp"

#include <arbutusport/base/hash.hpp>

#include <algorithm>

namespace arbutusport::requests {

namespace {

// Limit of concurrent requests at other hosts; clients of further ones receive
// the upstream's 5.03.
constexpr std::size_t max_remote_requests = 256;
constexpr std::uint32_t max_remote_attempts = 2;
constexpr duration initial_backoff = std::chrono::milliseconds(20);
constexpr std::size_t max_transfers_per_session = 8;
// RFC 7252, default Max-Age of a response without the option.
constexpr std::uint32_t default_max_age_s = 60;

std::uint64_t hash_block_transfer(const coap_message& request) {
    coap_message it = request;
    it.erase(options::block2);
    it.id = 0;
    it.token.clear();
    it.type = coap_type::confirmable;
    return hash64(serialise(it));
}

} // namespace

void request_broker::impl::on_upstream(byte_view datagram, time_point now) {
    handle_failure(
        [&]() -> result<void> {
            BOOST_LEAF_AUTO(message, parse_message(datagram));
            if (message.code == codes::empty) {
                auto* exchange = exchanges_.find_message_id(message.id);
                if (exchange && message.type == coap_type::acknowledgement)
                    exchange->acknowledged = true;
                else if (exchange && message.type == coap_type::reset) {
                    if (exchange->job != 0)
                        finish_with_unknown_outcome(exchange->job, now);
                    else if (const auto* key =
                                 observations_.find_exchange(exchange->token))
                        on_notification(
                            *key, make_response(codes::unavailable, ""), now);
                }
                return {};
            }
            if (!is_response(message.code)) {
                ++counters_.malformed;
                return {};
            }
            auto* matched_exchange = exchanges_.match_response(message);
            if (message.type == coap_type::confirmable)
                actions_.emplace_back(to_upstream{serialise(
                    make_empty(matched_exchange ? coap_type::acknowledgement
                                                : coap_type::reset,
                               message.id))});
            if (matched_exchange)
                on_response(*matched_exchange, std::move(message), now);
            else
                ++counters_.unmatched_responses;
            return {};
        },
        [&](const failure&) { ++counters_.malformed; });
}

void request_broker::impl::on_response(upstream_exchange& exchange,
                                       coap_message response, time_point now) {
    response.erase(options::echo);
    if (exchange.job == 0) {
        if (const auto* key = observations_.find_exchange(exchange.token)) {
            const observation_key observed_key = *key;
            on_notification(observed_key, std::move(response), now);
        }
        return;
    }
    job& current_job = jobs_.at(exchange.job);
    if (response.code == codes::unavailable)
        return on_overload(current_job, std::move(response), now);
    set_accepting(true);
    service_time_.record(now - exchange.started);
    ++counters_.answered;
    if (detect_etag_change(current_job, response, now))
        response = make_response(codes::incomplete, "ETag changed");
    if (!start_observation(current_job, exchange, response, now))
        exchanges_.close(exchange.token);
    finish(current_job.id, std::move(response), operation_state::answered, now);
}

void request_broker::impl::on_overload(job& current_job, coap_message response,
                                       time_point now) {
    exchanges_.close(current_job.exchange);
    // "not-run" is a guarantee of the broker. The upstream cannot know whether
    // an earlier copy ran at another host, so its payload is replaced.
    if (payload_text(response) == not_run_payload)
        response.payload = to_bytes("overloaded");
    const auto age = std::min(
        response.find_uint(options::max_age).value_or(default_max_age_s),
        default_max_age_s);
    accept_again_at_ = now + std::chrono::seconds(age);
    set_accepting(false);
    release_slot(current_job);
    current_job.state = job_state::backing_off;
    current_job.overload_response = std::move(response);
    if (!schedule_remote_retry(current_job, now))
        forward_overload(current_job.id, now);
    else
        start_queued(now);
}

void request_broker::impl::forward_overload(std::uint64_t id, time_point now) {
    ++counters_.unknown_outcomes;
    coap_message response = jobs_.at(id).overload_response;
    finish(id, std::move(response), operation_state::answered, now);
}

bool request_broker::impl::schedule_remote_retry(job& current_job,
                                                 time_point now) {
    if (current_job.is_from_peer() || !current_job.has_idempotent_method() ||
        current_job.request.find(options::observe) ||
        current_job.remote_attempts >= max_remote_attempts ||
        remote_jobs_.size() >= max_remote_requests)
        return false;
    const auto max_delay = initial_backoff * (1 << current_job.remote_attempts);
    std::uniform_int_distribution<duration::rep> jitter(max_delay.count() / 2,
                                                        max_delay.count());
    const auto retry_at = now + duration(jitter(random_));
    if (retry_at + service_time_.mean() > current_job.deadline ||
        !retry_budget_.try_take())
        return false;
    ++current_job.remote_attempts;
    ++counters_.retries;
    current_job.state = job_state::backing_off;
    current_job.retry_at = retry_at;
    return true;
}

bool request_broker::impl::detect_etag_change(const job& current_job,
                                              const coap_message& response,
                                              time_point now) {
    const auto block = find_block(response, options::block2);
    session* owner = sessions_.find(current_job.session);
    if (!block || !owner || current_job.is_from_peer())
        return false;
    const coap_option* etag = response.find(options::etag);
    const bytes current_etag = etag ? etag->value : bytes();
    const auto transfer_hash = hash_block_transfer(current_job.request);
    auto& transfers = owner->transfers;
    auto transfer =
        std::ranges::find(transfers, transfer_hash, &block_transfer::request);
    if (transfer == transfers.end()) {
        // Evicts the least recently used transfer; its client still receives
        // the ETag of each block.
        if (transfers.size() >= max_transfers_per_session)
            transfers.erase(std::ranges::min_element(
                transfers, {}, &block_transfer::last_used));
        transfers.push_back({transfer_hash, current_etag, now});
        return false;
    }
    const bool changed = block->number > 0 && transfer->etag != current_etag;
    transfer->etag = current_etag;
    transfer->last_used = now;
    if (changed || !block->more)
        transfers.erase(transfer);
    return changed;
}

bool request_broker::impl::start_observation(job& current_job,
                                             upstream_exchange& exchange,
                                             coap_message& response,
                                             time_point now) {
    if (!response.find(options::observe))
        return false;
    const observation_key key{
        current_job.session,
        {current_job.reply_to.token.begin(), current_job.reply_to.token.end()}};
    const bool wanted = !current_job.is_from_peer() &&
                        current_job.request.find(options::observe) &&
                        sessions_.find(current_job.session);
    // A response without the Observe option shows the client that it is not
    // registered.
    if (wanted && !observations_.find(key) &&
        observations_.add(key, exchange.token, response, now)) {
        exchange.job = 0;
        return true;
    }
    response.erase(options::observe);
    actions_.emplace_back(to_upstream{
        serialise(make_empty(coap_type::reset, exchange.message_id))});
    return false;
}

void request_broker::impl::on_notification(const observation_key& key,
                                           coap_message response,
                                           time_point now) {
    const bool ends = response.code >> 5 != 2;
    if (!ends) {
        response.erase(options::echo);
        // A client that only observes needs an unexpired binding to return
        // under a new flow key.
        if (const session* owner = sessions_.find(key.session))
            add_binding(*owner, response, now);
        observations_.notify(key, std::move(response), ++last_message_id_, now);
        return send_notification(key, false);
    }
    // An error ends the observation (RFC 7641, section 3.2).
    const auto token = observations_.find(key)->exchange;
    if (const session* owner = sessions_.find(key.session)) {
        response.erase(options::observe);
        respond(
            {owner->flow, coap_type::non_confirmable, 0, to_bytes(key.token)},
            std::move(response));
    }
    exchanges_.close(token);
    observations_.erase(observation_key(key));
}

void request_broker::impl::cancel_exchange(std::uint64_t token) {
    const auto* exchange = exchanges_.find(token);
    if (!exchange)
        return;
    actions_.emplace_back(to_upstream{
        serialise(make_empty(coap_type::reset, exchange->message_id))});
    exchanges_.close(token);
}

void request_broker::impl::set_accepting(bool value) {
    if (accepting_ == value)
        return;
    accepting_ = value;
    actions_.emplace_back(report_upstream_accepting{value});
}

void request_broker::impl::on_remote_request(process_id origin,
                                             std::uint64_t exchange,
                                             byte_view request,
                                             time_point now) {
    handle_failure(
        [&]() -> result<void> {
            BOOST_LEAF_AUTO(message, parse_message(request));
            if (!is_request(message.code) || !is_idempotent(message.code) ||
                message.find(options::observe) || origin == process_id()) {
                ++counters_.malformed;
                return {};
            }
            ++counters_.requests;
            job new_job;
            new_job.origin = origin;
            new_job.origin_exchange = exchange;
            new_job.request = std::move(message);
            admit(add_job(std::move(new_job), now).id, now);
            return {};
        },
        [&](const failure&) { ++counters_.malformed; });
}

void request_broker::impl::on_remote_response(std::uint64_t exchange,
                                              byte_view response,
                                              time_point now) {
    const auto at = remote_jobs_.find(exchange);
    if (at == remote_jobs_.end()) {
        ++counters_.unmatched_responses;
        return;
    }
    const auto id = at->second;
    remote_jobs_.erase(at);
    job& current_job = jobs_.at(id);
    current_job.state = job_state::backing_off;
    handle_failure(
        [&]() -> result<void> {
            BOOST_LEAF_AUTO(message, parse_message(response));
            if (message.code == codes::unavailable ||
                !is_response(message.code)) {
                if (!schedule_remote_retry(current_job, now))
                    forward_overload(id, now);
                return {};
            }
            ++counters_.answered;
            if (detect_etag_change(current_job, message, now))
                message = make_response(codes::incomplete, "ETag changed");
            finish(id, std::move(message), operation_state::answered, now);
            return {};
        },
        [&](const failure&) {
            ++counters_.malformed;
            forward_overload(id, now);
        });
}

} // namespace arbutusport::requests
