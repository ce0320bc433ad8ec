// Sessions: one client's state at one host incarnation.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/base/ids.hpp>
#include <arbutusport/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace arbutusport::requests {

/// @brief A block-wise answer that the client is fetching.
struct block_transfer {
    /// Hash of the request without its Block2 option.
    std::uint64_t request = 0;
    /// ETag of the block that came last.
    bytes etag;
    time_point last_used;
};

struct session {
    session_id id;
    flow_key flow;
    std::uint32_t epoch = 0;
    /// Issue time of the newest binding with which the client came. An older
    /// one is a late copy and does not move the session.
    std::uint32_t newest_binding_s = 0;
    /// Requests in progress, queued ones included.
    std::uint32_t jobs = 0;
    std::vector<block_transfer> transfers;
};

class session_table {
public:
    explicit session_table(std::size_t max_sessions) : max_(max_sessions) {}

    /// @brief Null if there is none.
    session* find(session_id id);
    session* find(const flow_key& flow);
    /// @brief Null if the table is full. Requires that the flow has none.
    session* open(const flow_key& flow);
    /// @brief Moves a session to a flow without one.
    void migrate(session& it, const flow_key& to);
    void erase(session_id id);
    std::vector<session_id> ids() const;

    std::size_t size() const { return sessions_.size(); }

private:
    std::size_t max_;
    std::uint64_t last_id_ = 0;
    std::unordered_map<session_id, session> sessions_;
    // Exactly one element for each session.
    std::unordered_map<flow_key, session_id> by_flow_;
};

} // namespace arbutusport::requests
