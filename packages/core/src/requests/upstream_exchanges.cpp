// Tokens are a keyed hash of incarnation and counter, so that a response to an
// earlier incarnation at the same address matches no exchange.

#include <arbutusport/requests/upstream_exchanges.hpp>

#include <sodium.h>

#include <algorithm>
#include <array>
#include <cstring>

namespace arbutusport::requests {

upstream_exchanges::upstream_exchanges(const binding_key& key,
                                       incarnation own_incarnation,
                                       bool match_tokens)
    : key_(key), incarnation_(own_incarnation), match_tokens_(match_tokens) {
    last_message_id_ = static_cast<std::uint16_t>(generate_token());
}

std::uint64_t upstream_exchanges::generate_token() {
    const std::array<std::uint64_t, 2> input{incarnation_.value(),
                                             ++generated_tokens_};
    std::uint64_t token = 0;
    static_assert(crypto_shorthash_BYTES == sizeof token);
    crypto_shorthash(reinterpret_cast<unsigned char*>(&token),
                     reinterpret_cast<const unsigned char*>(input.data()),
                     sizeof input, key_.data());
    return token;
}

upstream_exchange& upstream_exchanges::open(coap_message& request,
                                            std::uint64_t job, time_point now) {
    upstream_exchange exchange;
    do
        exchange.token = generate_token();
    while (exchanges_.contains(exchange.token));
    // At most max_observations exchanges and those of jobs in progress are
    // open, so a free id exists.
    while (by_message_id_.contains(++last_message_id_)) {
    }
    exchange.message_id = last_message_id_;
    exchange.job = job;
    exchange.started = now;
    request.type = coap_type::confirmable;
    request.id = exchange.message_id;
    request.token = make_token(exchange.token);
    if (is_idempotent(request.code)) {
        exchange.datagram = serialise(request);
        exchange.retransmit_at = now + exchange.retransmit_interval;
        retransmittable_.push_back(exchange.token);
    }
    by_message_id_[exchange.message_id] = exchange.token;
    return exchanges_[exchange.token] = std::move(exchange);
}

upstream_exchange*
upstream_exchanges::match_response(const coap_message& response) {
    if (!match_tokens_) {
        const auto oldest =
            std::ranges::min_element(exchanges_, {}, [](const auto& exchange) {
                return exchange.second.started;
            });
        return oldest == exchanges_.end() ? nullptr : &oldest->second;
    }
    const auto token = read_token(response.token);
    upstream_exchange* exchange = token ? find(*token) : nullptr;
    // A piggybacked response also carries the id of the message that it
    // acknowledges.
    if (exchange && response.type == coap_type::acknowledgement &&
        response.id != exchange->message_id)
        return nullptr;
    return exchange;
}

upstream_exchange* upstream_exchanges::find_message_id(std::uint16_t id) {
    const auto at = by_message_id_.find(id);
    return at == by_message_id_.end() ? nullptr : find(at->second);
}

upstream_exchange* upstream_exchanges::find(std::uint64_t token) {
    const auto at = exchanges_.find(token);
    return at == exchanges_.end() ? nullptr : &at->second;
}

void upstream_exchanges::close(std::uint64_t token) {
    const auto at = exchanges_.find(token);
    if (at == exchanges_.end())
        return;
    by_message_id_.erase(at->second.message_id);
    exchanges_.erase(at);
}

std::vector<bytes>
upstream_exchanges::take_due_retransmissions(time_point now) {
    std::vector<bytes> out;
    std::erase_if(retransmittable_, [&](std::uint64_t token) {
        upstream_exchange* exchange = find(token);
        if (!exchange || exchange->acknowledged || exchange->job == 0)
            return true;
        if (exchange->retransmit_at <= now) {
            out.push_back(exchange->datagram);
            exchange->retransmit_interval *= 2;
            exchange->retransmit_at = now + exchange->retransmit_interval;
        }
        return false;
    });
    return out;
}

} // namespace arbutusport::requests
