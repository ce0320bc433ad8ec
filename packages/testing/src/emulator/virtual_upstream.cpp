// Simulated upstream with slots, a queue and faults.

#include <arbutusport/emulator/virtual_upstream.hpp>

#include <arbutusport/emulator/answer_body.hpp>

#include <algorithm>

namespace arbutusport::emulator {

namespace {

using namespace requests;

// RFC 7252, EXCHANGE_LIFETIME.
constexpr duration exchange_lifetime = std::chrono::seconds(247);
constexpr duration cleanup_interval = std::chrono::seconds(60);
// Cleanup is not worthwhile for fewer known requests.
constexpr std::size_t cleanup_threshold = 4096;
constexpr std::uint32_t shed_max_age_s = 1;

} // namespace

virtual_upstream::virtual_upstream(simulation& time,
                                   virtual_upstream_options options,
                                   history* events, sender send)
    : time_(time), options_(std::move(options)), events_(events),
      send_(std::move(send)) {}

void virtual_upstream::on_datagram(byte_view datagram) {
    handle_failure(
        [&]() -> result<void> {
            BOOST_LEAF_AUTO(it, parse_message(datagram));
            if (it.type == coap_type::reset) {
                for (auto& [key, known] : known_requests_)
                    if (key.first == it.id)
                        known.cancelled = true;
            } else if (is_request(it.code)) {
                on_request(std::move(it));
            }
            return {};
        },
        [](const failure&) {});
}

void virtual_upstream::on_request(message request) {
    remove_expired_requests();
    const auto [at, is_new] = known_requests_.try_emplace(
        {request.id, request.token}, known_request{time_.now(), false, {}});
    if (!is_new) {
        if (!at->second.answer.empty())
            send_(at->second.answer);
        return;
    }
    ++request_count_;
    const bool full =
        busy_slots_ >= options_.slots && !options_.unbounded_queue;
    if (full || time_.chance(options_.faults.shed)) {
        auto response = make_response(codes::unavailable, "shed");
        response.add_uint(options::max_age, shed_max_age_s);
        return answer(request, std::move(response));
    }
    if (busy_slots_ < options_.slots)
        start(std::move(request));
    else
        queue_.push_back(std::move(request));
}

void virtual_upstream::start(message request) {
    ++busy_slots_;
    if (events_) {
        const auto name = request_name(request);
        event it;
        it.at = time_.now();
        it.kind = event_kind::ran;
        it.request = name;
        it.client = name.substr(0, name.find('/'));
        it.service = options_.service;
        it.host = options_.host;
        it.idempotent = is_idempotent(request.code);
        events_->push_back(std::move(it));
    }
    if (time_.chance(options_.faults.new_version))
        ++version_;
    time_.after(time_.between(options_.min_service, options_.max_service),
                [this, request = std::move(request)] { finish(request); });
}

void virtual_upstream::finish(const message& request) {
    --busy_slots_;
    answer(request, make_answer(request));
    while (busy_slots_ < options_.slots && !queue_.empty()) {
        message next = std::move(queue_.front());
        queue_.pop_front();
        const auto at = known_requests_.find({next.id, next.token});
        if (at == known_requests_.end() || !at->second.cancelled)
            start(std::move(next));
    }
}

virtual_upstream::message
virtual_upstream::make_answer(const message& request) {
    const auto text =
        make_answer_body(request_name(request), version_, options_.body_size);
    auto asked = find_block(request, options::block2);
    if (!asked)
        return make_response(is_idempotent(request.code) ? codes::content
                                                         : codes::changed,
                             text);
    const auto begin = std::min(text.size(), asked->number * asked->size());
    const auto end = std::min(text.size(), begin + asked->size());
    auto response =
        make_response(codes::content, text.substr(begin, end - begin));
    response.add_uint(options::etag, static_cast<std::uint32_t>(version_));
    asked->more = end < text.size();
    set_block(response, options::block2, *asked);
    return response;
}

void virtual_upstream::answer(const message& request, message response) {
    if (time_.chance(options_.faults.silent))
        return;
    response.token = request.token;
    const bool separate = time_.chance(options_.faults.separate);
    response.type =
        separate ? coap_type::confirmable : coap_type::acknowledgement;
    response.id = separate ? ++last_message_id_ : request.id;
    const bytes datagram = serialise(response);
    const auto at = known_requests_.find({request.id, request.token});
    if (at != known_requests_.end())
        at->second.answer = datagram;
    duration wait{};
    if (time_.chance(options_.faults.late))
        wait = time_.between(duration(std::chrono::milliseconds(100)),
                             options_.max_lateness);
    const auto send = [this, datagram] { send_(datagram); };
    time_.after(wait, send);
    if (time_.chance(options_.faults.answer_twice))
        time_.after(wait + time_.between(duration(0), options_.max_lateness),
                    send);
}

void virtual_upstream::remove_expired_requests() {
    if (known_requests_.size() < cleanup_threshold ||
        time_.now() < next_cleanup_)
        return;
    next_cleanup_ = time_.now() + cleanup_interval;
    std::erase_if(known_requests_, [&](const auto& it) {
        return it.second.at + exchange_lifetime < time_.now();
    });
}

} // namespace arbutusport::emulator
