// Handles responses of the upstream, and requests and responses of other hosts.

#include "broker_impl.hpp"

#include <arbutusport/base/hash.hpp>

#include <algorithm>

namespace arbutusport::requests {

namespace {

// Limit of concurrent requests at other hosts; clients of further ones receive
// the upstream's 5.03.
constexpr std::size_t max_elsewhere = 256;
constexpr std::uint32_t max_tries_elsewhere = 2;
constexpr duration first_back_off = std::chrono::milliseconds(20);
constexpr std::size_t max_transfers_per_session = 8;
// RFC 7252, default Max-Age of a response without the option.
constexpr std::uint32_t default_max_age_s = 60;

std::uint64_t hash_transfer(const coap_message& request) {
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
                auto* it = exchanges_.find_message_id(message.id);
                if (it && message.type == coap_type::acknowledgement)
                    it->acknowledged = true;
                else if (it && message.type == coap_type::reset) {
                    if (it->job != 0)
                        finish_unknown(it->job, now);
                    else if (const auto* key =
                                 observations_.find_exchange(it->token))
                        on_notification(
                            *key, make_response(codes::unavailable, ""), now);
                }
                return {};
            }
            if (!is_response(message.code)) {
                ++counters_.malformed;
                return {};
            }
            auto* of = exchanges_.match(message);
            if (message.type == coap_type::confirmable)
                actions_.emplace_back(to_upstream{serialise(make_empty(
                    of ? coap_type::acknowledgement : coap_type::reset,
                    message.id))});
            if (of)
                on_answer(*of, std::move(message), now);
            else
                ++counters_.unmatched_answers;
            return {};
        },
        [&](const failure&) { ++counters_.malformed; });
}

void request_broker::impl::on_answer(upstream_exchange& of,
                                     coap_message response, time_point now) {
    response.erase(options::echo);
    if (of.job == 0) {
        if (const auto* key = observations_.find_exchange(of.token)) {
            const observation_key copy = *key;
            on_notification(copy, std::move(response), now);
        }
        return;
    }
    job& it = jobs_.at(of.job);
    if (response.code == codes::unavailable)
        return on_shed(it, std::move(response), now);
    set_accepting(true);
    service_time_.record(now - of.started);
    ++counters_.answered;
    if (etag_changed(it, response, now))
        response = make_response(codes::incomplete, "ETag changed");
    if (!start_observation(it, of, response, now))
        exchanges_.close(of.token);
    finish(it.id, std::move(response), operation_state::answered, now);
}

void request_broker::impl::on_shed(job& it, coap_message response,
                                   time_point now) {
    exchanges_.close(it.exchange);
    // "not-run" is a guarantee of the broker. The upstream cannot know whether
    // an earlier copy ran at another host, so its payload is replaced.
    if (payload_text(response) == not_run_payload)
        response.payload = to_bytes("overloaded");
    const auto age = std::min(
        response.find_uint(options::max_age).value_or(default_max_age_s),
        default_max_age_s);
    accepting_again_ = now + std::chrono::seconds(age);
    set_accepting(false);
    release_slot(it);
    it.state = job_state::backing_off;
    it.shed = std::move(response);
    if (!try_elsewhere(it, now))
        pass_shed(it.id, now);
    else
        start_queued(now);
}

void request_broker::impl::pass_shed(std::uint64_t id, time_point now) {
    ++counters_.unknown;
    coap_message response = jobs_.at(id).shed;
    finish(id, std::move(response), operation_state::answered, now);
}

bool request_broker::impl::try_elsewhere(job& it, time_point now) {
    if (it.of_peer() || !it.idempotent() || it.request.find(options::observe) ||
        it.tries_elsewhere >= max_tries_elsewhere ||
        elsewhere_.size() >= max_elsewhere)
        return false;
    const auto longest = first_back_off * (1 << it.tries_elsewhere);
    std::uniform_int_distribution<duration::rep> jitter(longest.count() / 2,
                                                        longest.count());
    const auto at = now + duration(jitter(random_));
    if (at + service_time_.mean() > it.deadline || !budget_.take())
        return false;
    ++it.tries_elsewhere;
    ++counters_.retries;
    it.state = job_state::backing_off;
    it.retry_at = at;
    return true;
}

bool request_broker::impl::etag_changed(const job& it,
                                        const coap_message& response,
                                        time_point now) {
    const auto block = find_block(response, options::block2);
    session* of = sessions_.find(it.session);
    if (!block || !of || it.of_peer())
        return false;
    const coap_option* etag = response.find(options::etag);
    const bytes current = etag ? etag->value : bytes();
    const auto name = hash_transfer(it.request);
    auto& known = of->transfers;
    auto at = std::ranges::find(known, name, &block_transfer::request);
    if (at == known.end()) {
        // Evicts the least recently used transfer; its client still receives
        // the ETag of each block.
        if (known.size() >= max_transfers_per_session)
            known.erase(std::ranges::min_element(known, {},
                                                 &block_transfer::last_used));
        known.push_back({name, current, now});
        return false;
    }
    const bool changed = block->number > 0 && at->etag != current;
    at->etag = current;
    at->last_used = now;
    if (changed || !block->more)
        known.erase(at);
    return changed;
}

bool request_broker::impl::start_observation(job& it, upstream_exchange& of,
                                             coap_message& response,
                                             time_point now) {
    if (!response.find(options::observe))
        return false;
    const observation_key key{it.session,
                              {it.copy.token.begin(), it.copy.token.end()}};
    const bool wanted = !it.of_peer() && it.request.find(options::observe) &&
                        sessions_.find(it.session);
    // A response without the Observe option shows the client that it is not
    // registered.
    if (wanted && !observations_.find(key) &&
        observations_.add(key, of.token, response, now)) {
        of.job = 0;
        return true;
    }
    response.erase(options::observe);
    actions_.emplace_back(
        to_upstream{serialise(make_empty(coap_type::reset, of.message_id))});
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
        if (const session* of = sessions_.find(key.session))
            add_binding(*of, response, now);
        observations_.notify(key, std::move(response), ++last_message_id_, now);
        return send_notification(key, false);
    }
    // An error ends the observation (RFC 7641, section 3.2).
    const auto token = observations_.find(key)->exchange;
    if (const session* of = sessions_.find(key.session)) {
        response.erase(options::observe);
        respond({of->flow, coap_type::non_confirmable, 0, to_bytes(key.token)},
                std::move(response));
    }
    exchanges_.close(token);
    observations_.erase(observation_key(key));
}

void request_broker::impl::cancel_upstream(std::uint64_t token) {
    const auto* it = exchanges_.find(token);
    if (!it)
        return;
    actions_.emplace_back(
        to_upstream{serialise(make_empty(coap_type::reset, it->message_id))});
    exchanges_.close(token);
}

void request_broker::impl::set_accepting(bool value) {
    if (accepting_ == value)
        return;
    accepting_ = value;
    actions_.emplace_back(accepting{value});
}

void request_broker::impl::on_execute(process_id origin, std::uint64_t exchange,
                                      byte_view request, time_point now) {
    handle_failure(
        [&]() -> result<void> {
            BOOST_LEAF_AUTO(message, parse_message(request));
            if (!is_request(message.code) || !is_idempotent(message.code) ||
                message.find(options::observe) || origin == process_id()) {
                ++counters_.malformed;
                return {};
            }
            ++counters_.requests;
            job it;
            it.origin = origin;
            it.origin_exchange = exchange;
            it.request = std::move(message);
            admit(add_job(std::move(it), now).id, now);
            return {};
        },
        [&](const failure&) { ++counters_.malformed; });
}

void request_broker::impl::on_execute_reply(std::uint64_t exchange,
                                            byte_view response,
                                            time_point now) {
    const auto at = elsewhere_.find(exchange);
    if (at == elsewhere_.end()) {
        ++counters_.unmatched_answers;
        return;
    }
    const auto id = at->second;
    elsewhere_.erase(at);
    job& it = jobs_.at(id);
    it.state = job_state::backing_off;
    handle_failure(
        [&]() -> result<void> {
            BOOST_LEAF_AUTO(message, parse_message(response));
            if (message.code == codes::unavailable ||
                !is_response(message.code)) {
                if (!try_elsewhere(it, now))
                    pass_shed(id, now);
                return {};
            }
            ++counters_.answered;
            if (etag_changed(it, message, now))
                message = make_response(codes::incomplete, "ETag changed");
            finish(id, std::move(message), operation_state::answered, now);
            return {};
        },
        [&](const failure&) {
            ++counters_.malformed;
            pass_shed(id, now);
        });
}

} // namespace arbutusport::requests
