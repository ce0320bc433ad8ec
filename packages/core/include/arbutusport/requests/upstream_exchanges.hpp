// Exchanges with the upstream: their tokens, message ids and repetitions.
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

/// The wait before the first repetition to the upstream, and to a client;
/// each further one takes twice as long (RFC 7252, ACK_TIMEOUT).
inline constexpr duration first_repetition = std::chrono::seconds(2);

struct upstream_exchange {
    /// Unique over all exchanges of all incarnations.
    std::uint64_t token = 0;
    std::uint16_t message_id = 0;
    /// The job that waits for the answer; 0 once it is an observation.
    std::uint64_t job = 0;
    time_point started;
    /// Empty for non-idempotent requests, which are sent once only.
    bytes datagram;
    time_point repeat_at;
    duration repeat_after = first_repetition;
    bool acknowledged = false;
};

class upstream_exchanges {
public:
    /// @brief Without `match`, an answer goes to the oldest exchange.
    upstream_exchanges(const binding_key& key, incarnation run, bool match);

    /// @brief A number that no other call and no other incarnation returns,
    /// and that cannot be guessed.
    std::uint64_t draw_token();

    /// @brief Opens an exchange; sets id and token of the request.
    upstream_exchange& open(coap_message& request, std::uint64_t job,
                            time_point now);
    /// @brief The exchange that a response belongs to, or null.
    upstream_exchange* match(const coap_message& response);
    /// @brief For empty messages, which carry no token.
    upstream_exchange* find_message_id(std::uint16_t id);
    upstream_exchange* find(std::uint64_t token);
    void close(std::uint64_t token);
    /// @brief Datagrams that are due to be repeated.
    std::vector<bytes> repeat(time_point now);

    std::size_t size() const { return exchanges_.size(); }

private:
    binding_key key_;
    incarnation run_;
    bool match_;
    std::uint64_t drawn_ = 0;
    std::uint16_t last_message_id_ = 0;
    std::unordered_map<std::uint64_t, upstream_exchange> exchanges_;
    // One element for each exchange.
    std::unordered_map<std::uint16_t, std::uint64_t> by_message_id_;
    // Tokens of exchanges that may be repeated; closed ones are removed when
    // they are met.
    std::vector<std::uint64_t> repeating_;
};

} // namespace arbutusport::requests
