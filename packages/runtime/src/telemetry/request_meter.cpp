// Matches CoAP requests and responses by flow and token.

#include <arbutusport/telemetry/request_meter.hpp>

#include <arbutusport/base/hash.hpp>
#include <arbutusport/requests/coap_message.hpp>

namespace arbutusport::telemetry {

namespace {

struct parsed {
    std::uint64_t key;
    std::uint8_t code;
};

std::optional<parsed> read(const flow_key& flow, byte_view datagram) {
    return handle_failure(
        [&]() -> result<std::optional<parsed>> {
            BOOST_LEAF_AUTO(it, requests::parse_message(datagram));
            const auto token = hash64(byte_view(it.token));
            return std::optional(
                parsed{hash_combine(hash_of(flow), token), it.code});
        },
        [](const failure&) -> std::optional<parsed> { return std::nullopt; });
}

} // namespace

void request_meter::forget_oldest() {
    open_.erase(order_.front());
    order_.pop_front();
}

void request_meter::on_request(const flow_key& flow, byte_view datagram,
                               time_point now) {
    const auto it = read(flow, datagram);
    if (!it || !requests::is_request(it->code))
        return;
    if (!open_.try_emplace(it->key, now).second)
        return;
    order_.push_back(it->key);
    if (order_.size() > max_open)
        forget_oldest();
}

std::optional<duration> request_meter::on_response(const flow_key& flow,
                                                   byte_view datagram,
                                                   time_point now) {
    const auto it = read(flow, datagram);
    if (!it || !requests::is_response(it->code))
        return std::nullopt;
    const auto found = open_.find(it->key);
    if (found == open_.end())
        return std::nullopt;
    const duration taken = now - found->second;
    open_.erase(found);
    return taken;
}

} // namespace arbutusport::telemetry
