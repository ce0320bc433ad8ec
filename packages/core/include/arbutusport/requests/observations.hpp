// Observations (RFC 7641): clients' registrations and the notifications that
// are due to them.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/ids.hpp>
#include <arbutusport/base/time.hpp>
#include <arbutusport/requests/coap_message.hpp>
#include <arbutusport/requests/upstream_exchanges.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace arbutusport::requests {

/// Longest time between two notifications to a client (RFC 7641, section 4.5),
/// so that a client that has gone is detected.
inline constexpr duration max_notification_interval = std::chrono::hours(24);
/// RFC 7252, MAX_RETRANSMIT.
inline constexpr std::uint32_t max_retransmissions = 4;
/// Further registrations are answered without the Observe option.
inline constexpr std::size_t max_observations_per_session = 8;
/// Limit of one host. Each observation occupies one of the 65,536 message ids
/// that are available towards the upstream.
inline constexpr std::size_t max_observations = 32'768;

struct observation_key {
    session_id session;
    /// The client's token.
    std::string token;

    friend bool operator==(const observation_key&,
                           const observation_key&) = default;
    friend bool operator<(const observation_key& left,
                          const observation_key& right) {
        return std::pair(left.session.value(), std::string_view(left.token)) <
               std::pair(right.session.value(), std::string_view(right.token));
    }
};

struct observation {
    /// Token of the exchange with the upstream.
    std::uint64_t exchange = 0;
    /// 24 bits; increases with each notification.
    std::uint32_t sequence = 0;
    /// The response or notification sent last. A notification is retransmitted
    /// until it is acknowledged.
    coap_message last_sent;
    bool acknowledged = true;
    std::uint32_t retransmissions = 0;
    duration retransmit_interval = initial_retransmit_interval;
    /// Time of the next retransmission, or of the notification that
    /// max_notification_interval requires.
    time_point due;
};

/// @brief A notification that is due: a retransmission of the last one, or a
/// new one with the same content because none was sent for
/// max_notification_interval.
struct due_notification {
    observation_key key;
    bool retransmission = true;
};

class observations {
public:
    /// @brief False if the session or the host has reached its limit. Requires
    /// a new key. `first` is the response to the registration.
    bool add(const observation_key& key, std::uint64_t exchange,
             const coap_message& first, time_point now);
    observation* find(const observation_key& key);
    const observation_key* find_exchange(std::uint64_t exchange) const;
    /// @brief The observation whose unacknowledged notification has this
    /// message id.
    const observation_key* find_unacknowledged(session_id session,
                                               std::uint16_t id) const;
    std::vector<observation_key> keys_of_session(session_id session) const;
    void erase(const observation_key& key);

    /// @brief Turns a response of the upstream into a notification: sets
    /// Observe, token, type and the given message id.
    const coap_message& notify(const observation_key& key,
                               coap_message response, std::uint16_t id,
                               time_point now);
    void acknowledge(const observation_key& key, time_point now);
    std::vector<due_notification> take_due_notifications(time_point now);

    std::size_t size() const { return observations_.size(); }

private:
    void reschedule(const observation_key& key, observation& it,
                    time_point due);

    // Ordered by session first, so that a session's observations are
    // contiguous.
    std::map<observation_key, observation> observations_;
    // One element for each observation.
    std::map<std::uint64_t, observation_key> by_exchange_;
    std::set<std::pair<time_point, observation_key>> due_;
};

} // namespace arbutusport::requests
