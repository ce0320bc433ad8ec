// Plain CoAP server with slots, shedding, observation and block-wise transfer.

#include <arbutusport/emulator/upstream_server.hpp>

#include <arbutusport/emulator/payload.hpp>
#include <arbutusport/emulator/text_store.hpp>
#include <arbutusport/requests/coap_message.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
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

// Slower requests get an acknowledgement first and a separate response.
constexpr duration piggyback_limit = std::chrono::milliseconds(15);
// EXCHANGE_LIFETIME of RFC 7252, 4.8.2.
constexpr duration exchange_lifetime = std::chrono::seconds(247);
constexpr std::uint32_t max_retransmit = 4;
constexpr std::uint32_t shed_max_age_s = 1;

// Identifies a message of one peer, for de-duplication and resets.
using message_key = std::pair<endpoint, std::uint16_t>;
using token_key = std::pair<endpoint, bytes>;

std::string path_of(const coap_message& it) {
    std::string path;
    for (const auto& one : it.options)
        if (one.number == option::uri_path)
            path += "/" + std::string(one.value.begin(), one.value.end());
    return path;
}

// The request's name, client and service: the payload's first line, or the
// query of a request without payload.
payload_fields fields_of(const coap_message& it) {
    if (!it.payload.empty())
        return parse_payload(requests::payload_text(it)).fields;
    std::string line;
    for (const auto& one : it.options)
        if (one.number == option::uri_query)
            line += std::string(one.value.begin(), one.value.end()) + " ";
    return parse_payload(line).fields;
}

} // namespace

class upstream_server::impl {
public:
    impl(upstream_options options, time_point now)
        : options_(std::move(options)), random_(options_.seed),
          texts_(options_.large_text, options_.small_text), cold_since_(now),
          cold_time_(options_.cold_start),
          next_id_(static_cast<std::uint16_t>(random_())) {}

    std::vector<datagram> on_datagram(const endpoint& from, byte_view data,
                                      time_point now) {
        handle_failure(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(message, requests::parse_message(data));
                on_message(from, message, now);
                return {};
            },
            [](const failure&) {}); // a malformed datagram is ignored
        return std::exchange(out_, {});
    }

    std::vector<datagram> on_tick(time_point now) {
        finish_work(now);
        notify(now);
        retransmit(now);
        while (!responses_by_time_.empty() &&
               responses_by_time_.begin()->first + exchange_lifetime < now) {
            responses_.erase(responses_by_time_.begin()->second);
            responses_by_time_.erase(responses_by_time_.begin());
        }
        return std::exchange(out_, {});
    }

    http_answer on_admin(const http_call& call, time_point now) {
        using nlohmann::json;
        if (call.method == "POST")
            apply_settings(json::parse(call.body), now);
        return {200,
                json{{"service", options_.service},
                     {"host", options_.host},
                     {"shed", shed_},
                     {"running", running_.size()},
                     {"observers", observers_.size()},
                     {"events", events_.size()}}
                    .dump(),
                {}};
    }

    const history& events() const { return events_; }

private:
    struct work {
        endpoint peer;
        coap_message request;
        // The response is sent separately from the acknowledgement.
        bool separate = false;
    };
    struct observer {
        std::string request;
        std::uint32_t sequence = 2;
        time_point next;
        std::uint16_t last_id = 0;
    };
    struct unacknowledged {
        bytes data;
        std::uint32_t copies = 1;
        time_point next;
        duration timeout{};
    };

    void on_message(const endpoint& from, const coap_message& it,
                    time_point now) {
        if (it.type == coap_type::acknowledgement) {
            unacknowledged_.erase({from, it.id});
            return;
        }
        if (it.type == coap_type::reset) {
            on_reset({from, it.id});
            return;
        }
        if (!requests::is_request(it.code))
            return;
        const message_key key{from, it.id};
        const auto seen = responses_.find(key);
        if (seen != responses_.end()) {
            // Empty while the request is still running.
            if (!seen->second.empty())
                out_.push_back({from, seen->second});
            return;
        }
        responses_[key];
        responses_by_time_.emplace(now, key);
        dispatch(from, it, now);
    }

    void on_reset(const message_key& key) {
        unacknowledged_.erase(key);
        std::erase_if(running_, [&](const auto& it) {
            return it.second.peer == key.first &&
                   it.second.request.id == key.second;
        });
        std::erase_if(observers_, [&](const auto& it) {
            return it.first.first == key.first &&
                   it.second.last_id == key.second;
        });
    }

    void dispatch(const endpoint& from, const coap_message& it,
                  time_point now) {
        const std::string path = path_of(it);
        if (path == "/contributions" && it.code == codes::post)
            return start_or_shed(from, it, now);
        if (it.code != codes::get)
            return respond_immediately(
                from, it, requests::make_response(codes::not_allowed, ""));
        if (path == "/deadlines")
            return on_deadlines(from, it, now);
        if (!path.starts_with("/texts/"))
            return respond_immediately(
                from, it, requests::make_response(codes::not_found, path));
        const auto block = requests::find_block(it, option::block2);
        if (block && block->number > 0)
            return respond_immediately(from, it, read_text(it));
        start_or_shed(from, it, now);
    }

    // Takes a slot or sheds the request. Records the event at the start, since
    // a started request may already have had an effect.
    void start_or_shed(const endpoint& from, const coap_message& it,
                       time_point now) {
        const duration length = draw_service_time(now);
        const auto deadline = it.find_uint(option::deadline);
        const bool late =
            deadline && std::chrono::milliseconds(*deadline) < length;
        if (shed_ || late || running_.size() >= options_.slots) {
            auto refusal =
                requests::make_response(codes::unavailable, "not-run");
            refusal.add_uint(option::max_age, shed_max_age_s);
            return respond_immediately(from, it, std::move(refusal));
        }
        record_run(it, now);
        const bool separate =
            it.type == coap_type::confirmable && length > piggyback_limit;
        if (separate)
            send(from, requests::make_empty(coap_type::acknowledgement, it.id),
                 it.id);
        running_.emplace(now + length, work{from, it, separate});
    }

    duration draw_service_time(time_point now) {
        std::uniform_int_distribution<duration::rep> extra(
            0, options_.jitter.count());
        double factor = slow_;
        const duration warm = now - cold_since_;
        if (warm < cold_time_) {
            const double left =
                1.0 - static_cast<double>(warm.count()) /
                          static_cast<double>(cold_time_.count());
            factor *= 1.0 + (options_.cold_factor - 1.0) * left;
        }
        const auto base = options_.service_time.count() + extra(random_);
        return duration(
            static_cast<duration::rep>(static_cast<double>(base) * factor));
    }

    void record_run(const coap_message& it, time_point now) {
        const payload_fields fields = fields_of(it);
        events_.push_back({.at = now,
                           .kind = event_kind::ran,
                           .request = field(fields, "request"),
                           .client = field(fields, "client"),
                           .service = options_.service,
                           .host = options_.host,
                           .idempotent = requests::is_idempotent(it.code)});
    }

    void finish_work(time_point now) {
        while (!running_.empty() && running_.begin()->first <= now) {
            const work it = std::move(running_.begin()->second);
            running_.erase(running_.begin());
            coap_message answer = it.request.code == codes::post
                                      ? answer_contribution(it.request)
                                      : read_text(it.request);
            if (!it.separate) {
                respond_immediately(it.peer, it.request, std::move(answer));
                continue;
            }
            answer.type = coap_type::confirmable;
            answer.id = next_id_++;
            answer.token = it.request.token;
            bytes data = requests::serialise(answer);
            out_.push_back({it.peer, data});
            unacknowledged_[{it.peer, answer.id}] = {std::move(data), 1,
                                                     now + options_.ack_timeout,
                                                     options_.ack_timeout};
        }
    }

    coap_message answer_contribution(const coap_message& request) const {
        payload it = parse_payload(requests::payload_text(request));
        it.fields["host"] = options_.host;
        it.fields["checksum"] = checksum_of(it.body);
        return requests::make_response(codes::created, to_text(it));
    }

    coap_message read_text(const coap_message& request) {
        const std::string path = path_of(request);
        const stored_text& text =
            texts_.find(path.substr(std::string("/texts/").size()));
        auto block = requests::find_block(request, option::block2)
                         .value_or(requests::block_value{});
        const std::size_t start = block.number * block.size();
        if (start >= text.content.size())
            return requests::make_response(codes::bad_request, "block");
        auto answer = requests::make_response(
            codes::content, text.content.substr(start, block.size()));
        block.more = start + block.size() < text.content.size();
        answer.add(option::etag, text.etag);
        requests::set_block(answer, option::block2, block);
        return answer;
    }

    void on_deadlines(const endpoint& from, const coap_message& it,
                      time_point now) {
        constexpr std::uint32_t observe_register = 0;
        const token_key key{from, it.token};
        const auto observe = it.find_uint(option::observe);
        const std::string name = field(fields_of(it), "request");
        auto answer = requests::make_response(codes::content, notice(name, 1));
        if (observe == observe_register) {
            record_run(it, now);
            observers_[key] = {name, 2, now + options_.notify_interval, 0};
            answer.add_uint(option::observe, 1);
        } else {
            observers_.erase(key);
        }
        respond_immediately(from, it, std::move(answer));
    }

    std::string notice(const std::string& request,
                       std::uint32_t sequence) const {
        const std::string body = "deadline " + std::to_string(sequence);
        return to_text({{{"request", request},
                         {"host", options_.host},
                         {"checksum", checksum_of(body)}},
                        body});
    }

    void notify(time_point now) {
        for (auto& [key, it] : observers_) {
            if (now < it.next)
                continue;
            it.next = now + options_.notify_interval;
            auto message = requests::make_response(
                codes::content, notice(it.request, it.sequence));
            message.type = coap_type::non_confirmable;
            message.token = key.second;
            message.id = it.last_id = next_id_++;
            message.add_uint(option::observe, it.sequence++);
            out_.push_back({key.first, requests::serialise(message)});
        }
    }

    void retransmit(time_point now) {
        for (auto at = unacknowledged_.begin(); at != unacknowledged_.end();) {
            unacknowledged& it = at->second;
            if (now >= it.next && it.copies > max_retransmit) {
                at = unacknowledged_.erase(at);
                continue;
            }
            if (now >= it.next) {
                ++it.copies;
                it.timeout *= 2;
                it.next = now + it.timeout;
                out_.push_back({at->first.first, it.data});
            }
            ++at;
        }
    }

    void respond_immediately(const endpoint& from, const coap_message& request,
                             coap_message answer) {
        const bool piggyback = request.type == coap_type::confirmable;
        answer.type =
            piggyback ? coap_type::acknowledgement : coap_type::non_confirmable;
        answer.id = piggyback ? request.id : next_id_++;
        answer.token = request.token;
        send(from, answer, request.id);
    }

    // Keeps the message to answer retransmissions of request `request_id`.
    void send(const endpoint& to, const coap_message& it,
              std::uint16_t request_id) {
        bytes data = requests::serialise(it);
        responses_[{to, request_id}] = data;
        out_.push_back({to, std::move(data)});
    }

    void apply_settings(const nlohmann::json& it, time_point now) {
        shed_ = it.value("shed", shed_);
        slow_ = it.value("slow", slow_);
        if (it.contains("cold")) {
            cold_since_ = now;
            cold_time_ = std::chrono::seconds(it["cold"].get<int>());
        }
        if (it.contains("change_text"))
            texts_.change(it["change_text"]);
        if (it.value("drain", false))
            events_.push_back({.at = now,
                               .kind = event_kind::drained,
                               .service = options_.service,
                               .host = options_.host});
    }

    const upstream_options options_;
    std::mt19937_64 random_;
    text_store texts_;
    time_point cold_since_;
    duration cold_time_;
    double slow_ = 1;
    bool shed_ = false;
    std::uint16_t next_id_;
    // Running requests by end time; at most `slots`.
    std::multimap<time_point, work> running_;
    std::map<token_key, observer> observers_;
    // Responses by request message; removed after exchange_lifetime.
    std::map<message_key, bytes> responses_;
    std::multimap<time_point, message_key> responses_by_time_;
    std::map<message_key, unacknowledged> unacknowledged_;
    history events_;
    std::vector<datagram> out_;
};

upstream_server::upstream_server(upstream_options options, time_point now)
    : impl_(std::make_unique<impl>(std::move(options), now)) {}

upstream_server::~upstream_server() = default;

std::vector<datagram> upstream_server::on_datagram(const endpoint& from,
                                                   byte_view data,
                                                   time_point now) {
    return impl_->on_datagram(from, data, now);
}

std::vector<datagram> upstream_server::on_tick(time_point now) {
    return impl_->on_tick(now);
}

http_answer upstream_server::on_admin(const http_call& call, time_point now) {
    return impl_->on_admin(call, now);
}

const history& upstream_server::events() const {
    return impl_->events();
}

} // namespace arbutusport::emulator
