// Tokens are a keyed hash of incarnation and counter, so that a response to an
// earlier incarnation at the same address matches no exchange.

#include <arbutusport/requests/upstream_exchanges.hpp>

#include <sodium.h>

#include <algorithm>
#include <array>
#include <cstring>

namespace arbutusport::requests {

upstream_exchanges::upstream_exchanges(const binding_key& key, incarnation run,
                                       bool match)
    : key_(key), run_(run), match_(match) {
    last_message_id_ = static_cast<std::uint16_t>(draw_token());
}

std::uint64_t upstream_exchanges::draw_token() {
    const std::array<std::uint64_t, 2> input{run_.value(), ++drawn_};
    std::uint64_t out = 0;
    static_assert(crypto_shorthash_BYTES == sizeof out);
    crypto_shorthash(reinterpret_cast<unsigned char*>(&out),
                     reinterpret_cast<const unsigned char*>(input.data()),
                     sizeof input, key_.data());
    return out;
}

upstream_exchange& upstream_exchanges::open(coap_message& request,
                                            std::uint64_t job, time_point now) {
    upstream_exchange it;
    do
        it.token = draw_token();
    while (exchanges_.contains(it.token));
    // At most max_observations exchanges and those of jobs in progress are
    // open, so a free id exists.
    while (by_message_id_.contains(++last_message_id_)) {
    }
    it.message_id = last_message_id_;
    it.job = job;
    it.started = now;
    request.type = coap_type::confirmable;
    request.id = it.message_id;
    request.token = make_token(it.token);
    if (is_idempotent(request.code)) {
        it.datagram = serialise(request);
        it.repeat_at = now + it.repeat_after;
        repeating_.push_back(it.token);
    }
    by_message_id_[it.message_id] = it.token;
    return exchanges_[it.token] = std::move(it);
}

upstream_exchange* upstream_exchanges::match(const coap_message& response) {
    if (!match_) {
        const auto oldest = std::ranges::min_element(
            exchanges_, {}, [](const auto& it) { return it.second.started; });
        return oldest == exchanges_.end() ? nullptr : &oldest->second;
    }
    const auto token = read_token(response.token);
    upstream_exchange* it = token ? find(*token) : nullptr;
    // A piggybacked response also carries the id of the message that it
    // acknowledges.
    if (it && response.type == coap_type::acknowledgement &&
        response.id != it->message_id)
        return nullptr;
    return it;
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

std::vector<bytes> upstream_exchanges::repeat(time_point now) {
    std::vector<bytes> out;
    std::erase_if(repeating_, [&](std::uint64_t token) {
        upstream_exchange* it = find(token);
        if (!it || it->acknowledged || it->job == 0)
            return true;
        if (it->repeat_at <= now) {
            out.push_back(it->datagram);
            it->repeat_after *= 2;
            it->repeat_at = now + it->repeat_after;
        }
        return false;
    });
    return out;
}

} // namespace arbutusport::requests
