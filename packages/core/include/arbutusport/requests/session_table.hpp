// Sessions: the state of one client at one host incarnation.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/base/ids.hpp>
#include <arbutusport/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace arbutusport::requests {

/// @brief A block-wise response that the client is fetching.
struct block_transfer {
    /// Hash of the request without its Block2 option.
    std::uint64_t request = 0;
    /// ETag of the last block.
    bytes etag;
    time_point last_used;
};

struct session {
    session_id id;
    flow_key flow;
    std::uint32_t epoch = 0;
    /// Issue time of the newest binding that the client has used. A request
    /// with an older one is a late copy and does not move the session.
    std::uint32_t newest_binding_s = 0;
    /// Requests in progress, queued ones included.
    std::uint32_t jobs = 0;
    std::vector<block_transfer> transfers;
    /// An ended session admits no requests. It is kept while a binding to it
    /// is valid, so that late copies receive the correct outcome.
    bool ended = false;
};

class session_table {
public:
    explicit session_table(std::size_t max_sessions)
        : max_sessions_(max_sessions) {}

    /// @brief Null if not found. Ended sessions are found by id only.
    session* find(session_id id);
    session* find(const flow_key& flow);
    /// @brief Null if the table is full of open sessions; ended ones are
    /// evicted, the oldest first. Requires a flow without a session.
    session* open(const flow_key& flow);
    /// @brief Moves a session to a flow without a session.
    void migrate(session& target, const flow_key& to);
    /// @brief Requires an open session.
    void end(session& target, time_point expires_at);
    /// @brief Removes ended sessions that have expired.
    void expire(time_point now);
    /// @brief Ids of the open sessions.
    std::vector<session_id> open_ids() const;
    std::size_t size() const { return by_flow_.size(); }

private:
    struct ended_session {
        session_id id;
        time_point expires_at;
    };

    std::size_t max_sessions_;
    std::uint64_t last_id_ = 0;
    std::unordered_map<session_id, session> sessions_;
    // Exactly one element for each open session.
    std::unordered_map<flow_key, session_id> by_flow_;
    // Exactly one element for each ended session, oldest first.
    std::deque<ended_session> ended_;
};

} // namespace arbutusport::requests
