// Requests of one client: copies, bindings, block transfers, observation.

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
// Answers that still may arrive for exchanges that ended.
constexpr std::size_t remembered_tokens = 64;
constexpr double max_random_factor = 1.5; // ACK_RANDOM_FACTOR of RFC 7252

struct retry {
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
        begin(kind, text, now);
        return std::exchange(out_, {});
    }

    std::vector<bytes> on_datagram(byte_view data, time_point now) {
        handle_failure(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(message, requests::parse_message(data));
                on_message(message, now);
                return {};
            },
            [](const failure&) {}); // a malformed datagram is ignored
        return std::exchange(out_, {});
    }

    std::vector<bytes> on_tick(time_point now) {
        std::vector<bytes> due;
        for (const auto& [token, it] : operations_)
            if (now >= it.next)
                due.push_back(token);
        for (const bytes& token : due)
            on_due(token, now);
        while (!retries_.empty() && retries_.begin()->first <= now) {
            const retry it = retries_.begin()->second;
            retries_.erase(retries_.begin());
            begin(it.kind, it.text, now);
        }
        return std::exchange(out_, {});
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
        return std::exchange(out_, {});
    }

    std::size_t open() const { return operations_.size() + retries_.size(); }
    const client_counters& counters() const { return counters_; }
    const history& events() const { return events_; }
    const std::vector<duration>& latencies() const { return latencies_; }

private:
    void begin(request_kind kind, const std::string& text, time_point now) {
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
        exchange(std::move(it), now);
    }

    // Sends the operation's request in a new message under a new token.
    void exchange(operation it, time_point now) {
        if (now - it.first_sent >= options_.request_timeout)
            return tell(it, {.result = outcome::timeout}, now);
        forget(it.message.token);
        it.message = make_request(it, options_);
        it.message.id = next_id_++;
        it.message.token = random_bytes();
        it.copies = 1;
        it.acknowledged = false;
        it.timeout = draw_timeout();
        it.next = earliest(now + it.timeout, it);
        out_.push_back(requests::serialise(it.message));
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
        const bool known = found != operations_.end() ||
                           std::ranges::count(ended_, it.token) > 0;
        if (it.type == coap_type::confirmable)
            out_.push_back(requests::serialise(requests::make_empty(
                known ? coap_type::acknowledgement : coap_type::reset, it.id)));
        const auto echo = it.find(option::echo);
        if (echo && known)
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
                op.next = earliest(now + options_.response_wait, op);
            }
            // The host knows nothing of the exchange: ask again soon.
            if (it.type == coap_type::reset)
                op.next = now + options_.backoff;
            return;
        }
    }

    void on_response(operation op, const coap_message& it, time_point now) {
        switch (it.code) {
        case codes::unauthorized:
            return on_unbound(std::move(op), it, now);
        case codes::unavailable:
            return on_refused(std::move(op), it, now);
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

    // 4.01: this copy did not run, and no copy without a valid binding will.
    void on_unbound(operation op, const coap_message& it, time_point now) {
        const auto echo = it.find(option::echo);
        if (!op.echo.empty())
            note_broken_flow(op.first_sent, now);
        if (!echo) {
            ++counters_.unexpected_codes;
            return on_unknown(std::move(op), now);
        }
        op.echo = echo->value;
        exchange(std::move(op), now);
    }

    void on_refused(operation op, const coap_message& it, time_point now) {
        const bool closing = it.find_uint(option::max_age) == 0;
        if (closing) {
            ++counters_.closing_notices;
            echo_.clear();
            host_.clear();
            session_since_ = now;
        }
        // An earlier block or copy of a read may have run, so the read as a
        // whole is not "not run"; the block is asked for again.
        if (op.kind == request_kind::text) {
            if (closing)
                op.echo.clear();
            return postpone(std::move(op), now);
        }
        const retry again{op.kind, op.text};
        if (!op.established)
            tell(op, {.result = outcome::not_run}, now);
        else
            forget(op.message.token);
        schedule(again, now, closing);
    }

    // Asks again in a new message after a pause.
    void postpone(operation op, time_point now) {
        op.acknowledged = true;
        op.next = earliest(now + options_.backoff, op);
        operations_[op.message.token] = std::move(op);
    }

    // The session ended unless the request belongs to one that is already
    // known to have ended.
    void note_broken_flow(time_point request_sent, time_point now) {
        if (request_sent < session_since_)
            return;
        ++counters_.broken_flows;
        session_since_ = now;
        host_.clear();
    }

    // Contributions and notifications come from the host of the session.
    void note_host(const coap_message& it, time_point request_sent,
                   time_point now) {
        // The answer of an earlier session may come after its end.
        if (request_sent < session_since_)
            return;
        const payload got = parse_payload(requests::payload_text(it));
        const std::string host = field(got.fields, "host");
        if (!host_.empty() && host != host_)
            note_broken_flow(request_sent, now);
        host_ = host;
    }

    time_point earliest(time_point next, const operation& it) const {
        return std::min(next, it.first_sent + options_.request_timeout);
    }

    void on_unknown(operation op, time_point now) {
        const bool observing = op.kind == request_kind::observation;
        if (!op.established)
            tell(op, {.result = outcome::unknown}, now);
        if (observing)
            schedule({op.kind, op.text}, now, false);
    }

    void on_contribution(operation op, const coap_message& it, time_point now) {
        note_host(it, op.first_sent, now);
        tell(op, judge_contribution(op, it), now);
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
            return tell(op, judge_text(op), now);
        ++op.block;
        exchange(std::move(op), now);
    }

    void restart_transfer(operation op, time_point now) {
        ++counters_.restarted_transfers;
        op.assembled.clear();
        op.etag.clear();
        op.block = 0;
        exchange(std::move(op), now);
    }

    void on_notification(operation op, const coap_message& it, time_point now) {
        ++counters_.notifications;
        note_host(it, now, now);
        if (!op.established)
            tell(op, judge_notification(it), now);
        // Registered only after stop(): it would be observed without end.
        if (stopping_)
            return deregister(op);
        op.established = true;
        op.acknowledged = true;
        op.next = now + options_.silent_after;
        std::erase(ended_, op.message.token);
        operations_[op.message.token] = std::move(op);
    }

    void on_due(const bytes& token, time_point now) {
        const auto found = operations_.find(token);
        operation& it = found->second;
        if (it.established) {
            ++counters_.silent_observations;
            const retry again{it.kind, it.text};
            forget(token);
            operations_.erase(found);
            return schedule(again, now, true);
        }
        if (now - it.first_sent >= options_.request_timeout) {
            const operation lost = std::move(it);
            operations_.erase(found);
            return tell(lost, {.result = outcome::timeout}, now);
        }
        ++counters_.retransmissions;
        if (!it.acknowledged && it.copies <= options_.max_retransmit) {
            ++it.copies;
            it.timeout *= 2;
            it.next = earliest(now + it.timeout, it);
            out_.push_back(requests::serialise(it.message));
            return;
        }
        operation again = std::move(it);
        operations_.erase(found);
        exchange(std::move(again), now);
    }

    // Records the outcome; the operation has ended.
    void tell(const operation& op, event it, time_point now) {
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
        forget(op.message.token);
    }

    void schedule(const retry& it, time_point now, bool at_once) {
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
        out_.push_back(requests::serialise(out));
    }

    void forget(const bytes& token) {
        if (token.empty())
            return;
        ended_.push_back(token);
        if (ended_.size() > remembered_tokens)
            ended_.pop_front();
    }

    bytes random_bytes() {
        bytes it(token_size);
        for (auto& one : it)
            one = static_cast<std::uint8_t>(random_());
        return it;
    }

    duration draw_timeout() {
        std::uniform_real_distribution<double> factor(1, max_random_factor);
        return duration(static_cast<duration::rep>(
            static_cast<double>(options_.ack_timeout.count()) *
            factor(random_)));
    }

    const client_options options_;
    std::mt19937_64 random_;
    std::uint16_t next_id_;
    std::uint64_t last_request_ = 0;
    bool stopping_ = false;
    // The latest binding of the session.
    bytes echo_;
    // The host that runs the session, as its answers name it.
    std::string host_;
    // When the session before this one ended.
    time_point session_since_;
    // By the token of the present exchange.
    std::map<bytes, operation> operations_;
    std::deque<bytes> ended_;
    std::multimap<time_point, retry> retries_;
    client_counters counters_;
    history events_;
    std::vector<duration> latencies_;
    std::vector<bytes> out_;
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
