// Exchanges with the upstream: their tokens, message ids and retransmissions.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/ids.hpp>
#include <arbutusport/base/time.hpp>
#include <arbutusport/requests/binding.hpp>
#include <arbutusport/requests/coap_message.hpp>

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

namespace arbutusport::requests {

/// Time before the first retransmission, both to the upstream and to a client;
/// it doubles for each further one (RFC 7252, ACK_TIMEOUT).
inline constexpr duration initial_retransmit_interval = std::chrono::seconds(2);

struct upstream_exchange {
    /// Unique among all exchanges of all incarnations.
    std::uint64_t token = 0;
    std::uint16_t message_id = 0;
    /// The job that waits for the response; 0 once the exchange belongs to an
    /// observation.
    std::uint64_t job = 0;
    time_point started;
    /// Empty for non-idempotent requests, which are sent only once.
    bytes datagram;
    time_point retransmit_at;
    duration retransmit_interval = initial_retransmit_interval;
    bool acknowledged = false;
};

class upstream_exchanges {
public:
    /// @brief If `match_tokens` is false, any response belongs to the oldest
    /// exchange.
    upstream_exchanges(const binding_key& key, incarnation own_incarnation,
                       bool match_tokens);

    /// @brief Returns an unpredictable number that is unique among all calls
    /// and all incarnations.
    std::uint64_t generate_token();

    /// @brief Opens an exchange; sets type, id and token of the request.
    upstream_exchange& open(coap_message& request, std::uint64_t job,
                            time_point now);
    /// @brief The exchange that a response belongs to, or null.
    upstream_exchange* match_response(const coap_message& response);
    /// @brief Looks up by message id, since empty messages have no token.
    upstream_exchange* find_message_id(std::uint16_t id);
    upstream_exchange* find(std::uint64_t token);
    void close(std::uint64_t token);
    /// @brief Returns the datagrams to retransmit now and schedules their next
    /// retransmissions.
    std::vector<bytes> take_due_retransmissions(time_point now);

    std::size_t size() const { return exchanges_.size(); }

private:
    binding_key key_;
    incarnation incarnation_;
    bool match_tokens_;
    std::uint64_t generated_tokens_ = 0;
    std::uint16_t last_message_id_ = 0;
    std::unordered_map<std::uint64_t, upstream_exchange> exchanges_;
    // One element for each exchange.
    std::unordered_map<std::uint16_t, std::uint64_t> by_message_id_;
    // Tokens of exchanges that may be retransmitted; those of closed exchanges
    // are removed in the next pass.
    std::vector<std::uint64_t> retransmittable_;
};

} // namespace arbutusport::requests
