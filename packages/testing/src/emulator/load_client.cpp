// Retransmission, session bindings, block transfers and observation.

#include <arbutusport/emulator/load_client.hpp>

#include <arbutusport/emulator/client_operation.hpp>
#include <arbutusport/emulator/payload.hpp>
#include <arbutusport/requests/coap_message.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <utility>

namespace arbutusport::emulator {

namespace {

namespace codes = requests::codes;
namespace option = requests::options;
using requests::coap_message;
using requests::coap_type;

constexpr std::size_t token_size = 8;
// Tokens of ended exchanges for which responses may still arrive.
constexpr std::size_t remembered_tokens = 64;
constexpr double max_ack_random_factor = 1.5; // ACK_RANDOM_FACTOR of RFC 7252

struct pending_retry {
    request_kind kind;
    std::string text;
};

} // namespace

class load_client::impl {
public:
    explicit impl(client_options options)
        : options_(std::move(options)), random_(options_.seed),
          next_id_(static_cast<std::uint16_t>(random_())) {}

    std::vector<bytes> start(request_kind kind, const std::string& text,
                             time_point now) {
        start_operation(kind, text, now);
        return std::exchange(outgoing_, {});
    }

    std::vector<bytes> on_datagram(byte_view data, time_point now) {
        handle_failure(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(message, requests::parse_message(data));
                on_message(message, now);
                return {};
            },
            [](const failure&) {}); // malformed datagrams are ignored
        return std::exchange(outgoing_, {});
    }

    std::vector<bytes> on_tick(time_point now) {
        std::vector<bytes> due;
        for (const auto& [token, it] : operations_)
            if (now >= it.next)
                due.push_back(token);
        for (const bytes& token : due)
            on_timeout(token, now);
        while (!retries_.empty() && retries_.begin()->first <= now) {
            const pending_retry it = retries_.begin()->second;
            retries_.erase(retries_.begin());
            start_operation(it.kind, it.text, now);
        }
        return std::exchange(outgoing_, {});
    }

    std::vector<bytes> stop() {
        stopping_ = true;
        retries_.clear();
        std::erase_if(operations_, [&](const auto& it) {
            if (it.second.kind != request_kind::observation)
                return false;
            if (it.second.established)
                deregister(it.second);
            return it.second.established;
        });
        return std::exchange(outgoing_, {});
    }

    std::size_t open() const { return operations_.size() + retries_.size(); }
    const client_counters& counters() const { return counters_; }
    const history& events() const { return events_; }
    const std::vector<duration>& latencies() const { return latencies_; }

private:
    void start_operation(request_kind kind, const std::string& text,
                         time_point now) {
        operation it;
        it.kind = kind;
        it.text = text;
        it.request = options_.name + "-" + std::to_string(++last_request_);
        it.request_tag = random_bytes();
        it.echo = echo_;
        it.first_sent = now;
        if (kind == request_kind::contribution)
            it.body = make_body(random_(), options_.body_size);
        ++counters_.sent;
        events_.push_back({.at = now,
                           .kind = event_kind::sent,
                           .request = it.request,
                           .client = options_.name,
                           .service = options_.service,
                           .idempotent = kind != request_kind::contribution});
        send_request(std::move(it), now);
    }

    // Sends the request in a new message with a new token.
    void send_request(operation it, time_point now) {
        if (now - it.first_sent >= options_.request_timeout)
            return record_outcome(it, {.result = outcome::timeout}, now);
        remember_ended_token(it.message.token);
        it.message = make_request(it, options_);
        it.message.id = next_id_++;
        it.message.token = random_bytes();
        it.copies = 1;
        it.acknowledged = false;
        it.timeout = draw_timeout();
        it.next = limit_to_request_timeout(now + it.timeout, it);
        outgoing_.push_back(requests::serialise(it.message));
        operations_[it.message.token] = std::move(it);
    }

    void on_message(const coap_message& it, time_point now) {
        if (it.code == codes::empty) {
            on_empty(it, now);
            return;
        }
        if (!requests::is_response(it.code))
            return;
        const auto found = operations_.find(it.token);
        const bool is_known = found != operations_.end() ||
                              std::ranges::count(ended_tokens_, it.token) > 0;
        if (it.type == coap_type::confirmable)
            outgoing_.push_back(requests::serialise(requests::make_empty(
                is_known ? coap_type::acknowledgement : coap_type::reset,
                it.id)));
        const auto echo = it.find(option::echo);
        if (echo && is_known)
            echo_ = echo->value;
        if (found == operations_.end())
            return;
        operation op = std::move(found->second);
        operations_.erase(found);
        on_response(std::move(op), it, now);
    }

    void on_empty(const coap_message& it, time_point now) {
        for (auto& [token, op] : operations_) {
            if (op.message.id != it.id)
                continue;
            if (it.type == coap_type::acknowledgement && !op.acknowledged) {
                op.acknowledged = true;
                op.next =
                    limit_to_request_timeout(now + options_.response_wait, op);
            }
            // The host has no state for the exchange: send it again soon.
            if (it.type == coap_type::reset)
                op.next = now + options_.backoff;
            return;
        }
    }

    void on_response(operation op, const coap_message& it, time_point now) {
        switch (it.code) {
        case codes::unauthorized:
            return on_missing_binding(std::move(op), it, now);
        case codes::unavailable:
            return on_unavailable(std::move(op), it, now);
        case codes::gateway_timeout:
            if (!op.echo.empty() && it.find(option::echo))
                note_broken_flow(op.first_sent, now);
            return on_unknown(std::move(op), now);
        case codes::incomplete:
            if (op.kind == request_kind::text)
                return restart_transfer(std::move(op), now);
            break;
        default:
            break;
        }
        if (it.code >> 5 != 2) {
            ++counters_.unexpected_codes;
            return on_unknown(std::move(op), now);
        }
        switch (op.kind) {
        case request_kind::contribution:
            return on_contribution(std::move(op), it, now);
        case request_kind::text:
            return on_block(std::move(op), it, now);
        case request_kind::observation:
            return on_notification(std::move(op), it, now);
        }
    }

    // 4.01: this copy was not executed, and no copy without a valid binding
    // will be.
    void on_missing_binding(operation op, const coap_message& it,
                            time_point now) {
        const auto echo = it.find(option::echo);
        if (!op.echo.empty())
            note_broken_flow(op.first_sent, now);
        if (!echo) {
            ++counters_.unexpected_codes;
            return on_unknown(std::move(op), now);
        }
        op.echo = echo->value;
        send_request(std::move(op), now);
    }

    void on_unavailable(operation op, const coap_message& it, time_point now) {
        const bool is_closing = it.find_uint(option::max_age) == 0;
        if (is_closing) {
            ++counters_.closing_notices;
            echo_.clear();
            session_host_.clear();
            session_start_ = now;
        }
        // An earlier block or copy of the read may have been executed, so the
        // outcome is not `not_run`; the block is requested again.
        if (op.kind == request_kind::text) {
            if (is_closing)
                op.echo.clear();
            return repeat_after_backoff(std::move(op), now);
        }
        const pending_retry again{op.kind, op.text};
        if (!op.established)
            record_outcome(op, {.result = outcome::not_run}, now);
        else
            remember_ended_token(op.message.token);
        schedule_retry(again, now, is_closing);
    }

    // Sends the request again in a new message after the backoff.
    void repeat_after_backoff(operation op, time_point now) {
        op.acknowledged = true;
        op.next = limit_to_request_timeout(now + options_.backoff, op);
        operations_[op.message.token] = std::move(op);
    }

    // Records the end of the session, unless the request belongs to an earlier
    // session that has already been counted.
    void note_broken_flow(time_point request_sent, time_point now) {
        if (request_sent < session_start_)
            return;
        ++counters_.broken_flows;
        session_start_ = now;
        session_host_.clear();
    }

    // Responses to contributions and notifications name the host of the
    // session.
    void note_host(const coap_message& it, time_point request_sent,
                   time_point now) {
        // A response of an earlier session may arrive after its end.
        if (request_sent < session_start_)
            return;
        const payload got = parse_payload(requests::payload_text(it));
        const std::string host = field(got.fields, "host");
        if (!session_host_.empty() && host != session_host_)
            note_broken_flow(request_sent, now);
        session_host_ = host;
    }

    time_point limit_to_request_timeout(time_point next,
                                        const operation& it) const {
        return std::min(next, it.first_sent + options_.request_timeout);
    }

    void on_unknown(operation op, time_point now) {
        const bool is_observation = op.kind == request_kind::observation;
        if (!op.established)
            record_outcome(op, {.result = outcome::unknown}, now);
        if (is_observation)
            schedule_retry({op.kind, op.text}, now, false);
    }

    void on_contribution(operation op, const coap_message& it, time_point now) {
        note_host(it, op.first_sent, now);
        record_outcome(op, check_contribution(op, it), now);
    }

    void on_block(operation op, const coap_message& it, time_point now) {
        const auto block = requests::find_block(it, option::block2)
                               .value_or(requests::block_value{});
        const auto etag = it.find(option::etag);
        const bytes tag = etag ? etag->value : bytes{};
        if (block.number != op.block || (op.block > 0 && tag != op.etag))
            return restart_transfer(std::move(op), now);
        op.etag = tag;
        op.assembled += requests::payload_text(it);
        if (!block.more)
            return record_outcome(op, check_text(op), now);
        ++op.block;
        send_request(std::move(op), now);
    }

    void restart_transfer(operation op, time_point now) {
        ++counters_.restarted_transfers;
        op.assembled.clear();
        op.etag.clear();
        op.block = 0;
        send_request(std::move(op), now);
    }

    void on_notification(operation op, const coap_message& it, time_point now) {
        ++counters_.notifications;
        note_host(it, now, now);
        if (!op.established)
            record_outcome(op, check_notification(it), now);
        // Registered after stop(): the observation would never end.
        if (stopping_)
            return deregister(op);
        op.established = true;
        op.acknowledged = true;
        op.next = now + options_.silent_after;
        std::erase(ended_tokens_, op.message.token);
        operations_[op.message.token] = std::move(op);
    }

    void on_timeout(const bytes& token, time_point now) {
        const auto found = operations_.find(token);
        operation& it = found->second;
        if (it.established) {
            ++counters_.silent_observations;
            const pending_retry again{it.kind, it.text};
            remember_ended_token(token);
            operations_.erase(found);
            return schedule_retry(again, now, true);
        }
        if (now - it.first_sent >= options_.request_timeout) {
            const operation lost = std::move(it);
            operations_.erase(found);
            return record_outcome(lost, {.result = outcome::timeout}, now);
        }
        ++counters_.retransmissions;
        if (!it.acknowledged && it.copies <= options_.max_retransmit) {
            ++it.copies;
            it.timeout *= 2;
            it.next = limit_to_request_timeout(now + it.timeout, it);
            outgoing_.push_back(requests::serialise(it.message));
            return;
        }
        operation again = std::move(it);
        operations_.erase(found);
        send_request(std::move(again), now);
    }

    // Records the outcome of the ended operation.
    void record_outcome(const operation& op, event it, time_point now) {
        it.at = now;
        it.kind = event_kind::told;
        it.request = op.request;
        it.client = options_.name;
        it.service = options_.service;
        it.idempotent = op.kind != request_kind::contribution;
        switch (it.result) {
        case outcome::answered:
            ++counters_.answered;
            latencies_.push_back(now - op.first_sent);
            break;
        case outcome::not_run:
            ++counters_.not_run;
            break;
        case outcome::unknown:
            ++counters_.unknown;
            break;
        default:
            ++counters_.timeout;
            break;
        }
        events_.push_back(std::move(it));
        remember_ended_token(op.message.token);
    }

    void schedule_retry(const pending_retry& it, time_point now, bool at_once) {
        if (stopping_)
            return;
        std::uniform_real_distribution<double> spread(1, 2);
        const duration pause(static_cast<duration::rep>(
            static_cast<double>(options_.backoff.count()) * spread(random_)));
        retries_.emplace(at_once ? now : now + pause, it);
    }

    void deregister(const operation& it) {
        coap_message out = it.message;
        out.type = coap_type::non_confirmable;
        out.id = next_id_++;
        out.erase(option::observe);
        out.add_uint(option::observe, 1);
        outgoing_.push_back(requests::serialise(out));
    }

    void remember_ended_token(const bytes& token) {
        if (token.empty())
            return;
        ended_tokens_.push_back(token);
        if (ended_tokens_.size() > remembered_tokens)
            ended_tokens_.pop_front();
    }

    bytes random_bytes() {
        bytes it(token_size);
        for (auto& one : it)
            one = static_cast<std::uint8_t>(random_());
        return it;
    }

    duration draw_timeout() {
        std::uniform_real_distribution<double> factor(1, max_ack_random_factor);
        return duration(static_cast<duration::rep>(
            static_cast<double>(options_.ack_timeout.count()) *
            factor(random_)));
    }

    const client_options options_;
    std::mt19937_64 random_;
    std::uint16_t next_id_;
    std::uint64_t last_request_ = 0;
    bool stopping_ = false;
    // The current binding of the session.
    bytes echo_;
    // The host of the session, as named in its responses.
    std::string session_host_;
    // The start of the session, which is the end of the previous one.
    time_point session_start_;
    // Keyed by the token of the current exchange.
    std::map<bytes, operation> operations_;
    std::deque<bytes> ended_tokens_;
    std::multimap<time_point, pending_retry> retries_;
    client_counters counters_;
    history events_;
    std::vector<duration> latencies_;
    std::vector<bytes> outgoing_;
};

load_client::load_client(client_options options)
    : impl_(std::make_unique<impl>(std::move(options))) {}

load_client::load_client(load_client&& other) noexcept = default;

load_client::~load_client() = default;

std::vector<bytes> load_client::contribute(time_point now) {
    return impl_->start(request_kind::contribution, {}, now);
}

std::vector<bytes> load_client::read_text(const std::string& text,
                                          time_point now) {
    return impl_->start(request_kind::text, text, now);
}

std::vector<bytes> load_client::observe(time_point now) {
    return impl_->start(request_kind::observation, {}, now);
}

std::vector<bytes> load_client::on_datagram(byte_view data, time_point now) {
    return impl_->on_datagram(data, now);
}

std::vector<bytes> load_client::on_tick(time_point now) {
    return impl_->on_tick(now);
}

std::vector<bytes> load_client::stop() {
    return impl_->stop();
}

std::size_t load_client::open() const {
    return impl_->open();
}

const client_counters& load_client::counters() const {
    return impl_->counters();
}

const history& load_client::events() const {
    return impl_->events();
}

const std::vector<duration>& load_client::latencies() const {
    return impl_->latencies();
}

} // namespace arbutusport::emulator
