// De-duplication of requests: state and response of each operation.
#pragma once

#include <arbutusport/base/ids.hpp>
#include <arbutusport/base/time.hpp>
#include <arbutusport/requests/coap_message.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <queue>
#include <utility>
#include <vector>

namespace arbutusport::requests {

/// @brief Identifies an operation within a session. `identity_hash` is a hash
/// of the Request-Tag, or else of message id and token. `content_hash` is a
/// hash of code, options and payload, so that a client that restarts on the
/// same port and reuses ids never receives the response to an older request.
struct operation_key {
    session_id session;
    std::uint64_t identity_hash = 0;
    std::uint64_t content_hash = 0;

    friend bool operator==(const operation_key&,
                           const operation_key&) = default;
    friend bool operator<(const operation_key& left,
                          const operation_key& right) {
        return left.sort_key() < right.sort_key();
    }

private:
    std::array<std::uint64_t, 3> sort_key() const {
        return {session.value(), identity_hash, content_hash};
    }
};

operation_key make_operation_key(session_id session,
                                 const coap_message& request);

enum class operation_state : std::uint8_t { running, answered, rejected };

struct operation {
    operation_state state = operation_state::running;
    /// The job that runs the operation, while the state is running.
    std::uint64_t job = 0;
    /// Sent again for each duplicate request; type, id and token are replaced.
    coap_message response;
    /// A running operation is kept after this time until it has finished.
    time_point expires;
};

class dedup_table {
public:
    explicit dedup_table(std::size_t max_entries) : max_entries_(max_entries) {}

    /// @brief Null if the key is unknown.
    operation* find(const operation_key& key);
    /// @brief Null if the table is full. Requires a new key.
    operation* add(const operation_key& key, std::uint64_t job,
                   time_point expires);
    /// @brief Keeps an entry at least until `expires`.
    void extend(const operation_key& key, time_point expires);
    void finish(const operation_key& key, operation_state state,
                const coap_message& response);
    void erase(const operation_key& key) { entries_.erase(key); }
    /// @brief Removes finished entries that have expired.
    void expire(time_point now);

    std::size_t size() const { return entries_.size(); }

private:
    using expiry = std::pair<time_point, operation_key>;

    std::size_t max_entries_;
    // Ordered by session first, so that a session's entries are contiguous.
    std::map<operation_key, operation> entries_;
    // Holds each finished entry at least once; the time of an element may be
    // outdated.
    std::priority_queue<expiry, std::vector<expiry>, std::greater<>> expiries_;
};

} // namespace arbutusport::requests
