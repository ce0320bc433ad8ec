// Confirmable requests with retransmission according to RFC 7252.

#include <arbutusport/emulator/request_client.hpp>

#include <arbutusport/emulator/answer_body.hpp>

namespace arbutusport::emulator {

namespace {

using namespace requests;

constexpr duration first_retransmission = std::chrono::seconds(2);
constexpr std::uint32_t max_transmissions = 5;
// 64-byte blocks.
constexpr std::uint8_t block_exponent = 2;

} // namespace

request_client::request_client(simulation& time, request_client_options options,
                               history& events, sender send)
    : time_(time), options_(std::move(options)), events_(events),
      send_(std::move(send)) {}

void request_client::start(request_kind kind, duration budget) {
    if (stopped_)
        return;
    const auto name = options_.name + "/" + std::to_string(++started_);
    request it;
    it.kind = kind;
    it.sent.code = kind == request_kind::write ? codes::post : codes::get;
    it.sent.add(options::uri_path, to_bytes("consultations"));
    set_request_name(it.sent, name);
    it.sent.add_uint(
        options::deadline,
        static_cast<std::uint32_t>(
            std::chrono::floor<std::chrono::milliseconds>(budget).count()));
    if (kind == request_kind::transfer)
        set_block(it.sent, options::block2, {0, false, block_exponent});
    if (kind == request_kind::write) {
        it.sent.payload = to_bytes(name);
        if (time_.chance(options_.request_tag_rate))
            it.sent.add(options::request_tag,
                        to_bytes(std::to_string(time_.draw() % 100'000'000)));
        if (binding_ && time_.now() < binding_at_ + options_.max_binding_age) {
            it.sent.add(options::echo, *binding_);
            it.bound = true;
        }
    }
    event sent;
    sent.at = time_.now();
    sent.request = name;
    sent.client = options_.name;
    sent.service = options_.service;
    sent.idempotent = kind != request_kind::write;
    events_.push_back(std::move(sent));
    send_new_message(name, open_requests_[name] = std::move(it));
}

void request_client::send_new_message(const std::string& name, request& it) {
    it.sent.id = ++last_message_id_;
    it.sent.token = make_token(time_.draw());
    it.transmissions = 0;
    it.retransmit_after = first_retransmission;
    transmit(name, ++it.message_number);
}

void request_client::transmit(const std::string& name,
                              std::uint64_t message_number) {
    const auto at = open_requests_.find(name);
    if (stopped_ || at == open_requests_.end() ||
        at->second.message_number != message_number)
        return;
    request& it = at->second;
    if (it.transmissions >= max_transmissions)
        return record_outcome(name, outcome::timeout);
    ++it.transmissions;
    send_(serialise(it.sent));
    // Jitter according to ACK_RANDOM_FACTOR.
    time_.after(
        time_.between(it.retransmit_after, it.retransmit_after * 3 / 2),
        [this, name, message_number] { transmit(name, message_number); });
    it.retransmit_after *= 2;
}

void request_client::on_datagram(byte_view datagram) {
    if (stopped_)
        return;
    handle_failure(
        [&]() -> result<void> {
            BOOST_LEAF_AUTO(response, parse_message(datagram));
            for (auto& [name, it] : open_requests_) {
                if (it.sent.token != response.token ||
                    (response.type == coap_type::acknowledgement &&
                     response.id != it.sent.id))
                    continue;
                on_response(std::string(name), it, response);
                break;
            }
            return {};
        },
        [](const failure&) {});
}

void request_client::on_response(const std::string& name, request& it,
                                 const message& response) {
    if (const auto* echo = response.find(options::echo)) {
        binding_ = echo->value;
        binding_at_ = time_.now();
    }
    const auto code = response.code;
    if (code == codes::unauthorized && !it.bound && binding_ &&
        it.restarts_left > 0) {
        --it.restarts_left;
        it.sent.add(options::echo, *binding_);
        it.bound = true;
        return send_new_message(name, it);
    }
    if (code == codes::unavailable && payload_text(response) == not_run_payload)
        return record_outcome(name, outcome::not_run);
    if (it.kind == request_kind::transfer && code == codes::incomplete)
        return restart_transfer(name, it);
    if (code >> 5 != 2)
        return record_outcome(name, outcome::unknown);
    if (it.kind == request_kind::transfer)
        return on_block(name, it, response);
    record_outcome(name, outcome::answered, payload_text(response));
}

void request_client::on_block(const std::string& name, request& it,
                              const message& response) {
    const auto block = find_block(response, options::block2);
    const auto* etag = response.find(options::etag);
    if (!block || !etag)
        return record_outcome(name, outcome::unknown);
    // RFC 7959, section 2.4: blocks with different ETags must not be combined.
    if (!it.body.empty() && etag->value != it.etag)
        return restart_transfer(name, it);
    it.etag = etag->value;
    it.body += payload_text(response);
    if (!block->more)
        return record_outcome(name, outcome::answered, it.body);
    const auto asked = find_block(it.sent, options::block2);
    set_block(it.sent, options::block2,
              {asked->number + 1, false, block_exponent});
    send_new_message(name, it);
}

void request_client::restart_transfer(const std::string& name, request& it) {
    if (it.restarts_left == 0)
        return record_outcome(name, outcome::unknown);
    --it.restarts_left;
    it.body.clear();
    set_block(it.sent, options::block2, {0, false, block_exponent});
    send_new_message(name, it);
}

void request_client::record_outcome(const std::string& name, outcome result,
                                    const std::string& body) {
    event it;
    it.at = time_.now();
    it.kind = event_kind::told;
    it.request = name;
    it.client = options_.name;
    it.service = options_.service;
    it.result = result;
    if (result == outcome::answered) {
        const auto read = read_answer_body(body);
        it.answered_request = read.request;
        it.body_whole = read.whole;
    }
    events_.push_back(std::move(it));
    open_requests_.erase(name);
}

void request_client::stop() {
    while (!open_requests_.empty())
        record_outcome(std::string(open_requests_.begin()->first),
                       outcome::timeout);
    stopped_ = true;
}

} // namespace arbutusport::emulator
