// Matches CoAP responses with requests by flow and token.

#include <arbutusport/telemetry/request_meter.hpp>

#include <arbutusport/base/hash.hpp>
#include <arbutusport/requests/coap_message.hpp>

namespace arbutusport::telemetry {

namespace {

struct parsed_message {
    std::uint64_t key;
    std::uint8_t code;
};

std::optional<parsed_message> read_message(const flow_key& flow,
                                           byte_view datagram) {
    return handle_failure(
        [&]() -> result<std::optional<parsed_message>> {
            BOOST_LEAF_AUTO(it, requests::parse_message(datagram));
            const auto token = hash64(byte_view(it.token));
            return std::optional(
                parsed_message{hash_combine(hash_of(flow), token), it.code});
        },
        [](const failure&) -> std::optional<parsed_message> {
            return std::nullopt;
        });
}

} // namespace

void request_meter::discard_oldest() {
    open_.erase(order_.front());
    order_.pop_front();
}

void request_meter::on_request(const flow_key& flow, byte_view datagram,
                               time_point now) {
    const auto it = read_message(flow, datagram);
    if (!it || !requests::is_request(it->code))
        return;
    if (!open_.try_emplace(it->key, now).second)
        return;
    order_.push_back(it->key);
    if (order_.size() > max_open)
        discard_oldest();
}

std::optional<duration> request_meter::on_response(const flow_key& flow,
                                                   byte_view datagram,
                                                   time_point now) {
    const auto it = read_message(flow, datagram);
    if (!it || !requests::is_response(it->code))
        return std::nullopt;
    const auto found = open_.find(it->key);
    if (found == open_.end())
        return std::nullopt;
    const duration elapsed = now - found->second;
    open_.erase(found);
    return elapsed;
}

} // namespace arbutusport::telemetry
