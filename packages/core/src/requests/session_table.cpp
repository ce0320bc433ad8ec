// Keeps the sessions by id, with an index by flow.

#include <arbutusport/requests/session_table.hpp>

namespace arbutusport::requests {

session* session_table::find(session_id id) {
    const auto at = sessions_.find(id);
    return at == sessions_.end() ? nullptr : &at->second;
}

session* session_table::find(const flow_key& flow) {
    const auto at = by_flow_.find(flow);
    return at == by_flow_.end() ? nullptr : find(at->second);
}

session* session_table::open(const flow_key& flow) {
    if (by_flow_.size() >= max_sessions_)
        return nullptr;
    if (sessions_.size() >= max_sessions_) {
        sessions_.erase(ended_.front().id);
        ended_.pop_front();
    }
    const session_id id(++last_id_);
    session& it = sessions_[id];
    it.id = id;
    it.flow = flow;
    by_flow_[flow] = id;
    return &it;
}

void session_table::migrate(session& target, const flow_key& to) {
    by_flow_.erase(target.flow);
    target.flow = to;
    by_flow_[to] = target.id;
}

void session_table::end(session& target, time_point expires_at) {
    by_flow_.erase(target.flow);
    target.ended = true;
    target.transfers.clear();
    ended_.push_back({target.id, expires_at});
}

void session_table::expire(time_point now) {
    while (!ended_.empty() && ended_.front().expires_at <= now) {
        sessions_.erase(ended_.front().id);
        ended_.pop_front();
    }
}

std::vector<session_id> session_table::open_ids() const {
    std::vector<session_id> out;
    out.reserve(by_flow_.size());
    for (const auto& [flow, id] : by_flow_)
        out.push_back(id);
    return out;
}

} // namespace arbutusport::requests
