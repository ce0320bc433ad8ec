// Keeps the observations in a map by session and token, and the times of their
// next notifications in an ordered set.

#include <arbutusport/requests/observations.hpp>

namespace arbutusport::requests {

namespace {

constexpr std::uint32_t sequence_mask = 0xff'ffff;

} // namespace

void observations::reschedule(const observation_key& key, observation& it,
                              time_point due) {
    due_.erase({it.due, key});
    it.due = due;
    due_.emplace(due, key);
}

bool observations::add(const observation_key& key, std::uint64_t exchange,
                       const coap_message& first, time_point now) {
    if (observations_.size() >= max_observations ||
        keys_of_session(key.session).size() >= max_observations_per_session)
        return false;
    observation& it = observations_[key];
    it.exchange = exchange;
    it.sequence = first.find_uint(options::observe).value_or(0);
    it.last_sent = first;
    by_exchange_[exchange] = key;
    reschedule(key, it, now + max_notification_interval);
    return true;
}

observation* observations::find(const observation_key& key) {
    const auto at = observations_.find(key);
    return at == observations_.end() ? nullptr : &at->second;
}

const observation_key*
observations::find_exchange(std::uint64_t exchange) const {
    const auto at = by_exchange_.find(exchange);
    return at == by_exchange_.end() ? nullptr : &at->second;
}

const observation_key*
observations::find_unacknowledged(session_id session, std::uint16_t id) const {
    for (auto at = observations_.lower_bound({session, {}});
         at != observations_.end() && at->first.session == session; ++at)
        if (!at->second.acknowledged && at->second.last_sent.id == id)
            return &at->first;
    return nullptr;
}

std::vector<observation_key>
observations::keys_of_session(session_id session) const {
    std::vector<observation_key> out;
    for (auto at = observations_.lower_bound({session, {}});
         at != observations_.end() && at->first.session == session; ++at)
        out.push_back(at->first);
    return out;
}

void observations::erase(const observation_key& key) {
    const auto at = observations_.find(key);
    if (at == observations_.end())
        return;
    due_.erase({at->second.due, key});
    by_exchange_.erase(at->second.exchange);
    observations_.erase(at);
}

const coap_message& observations::notify(const observation_key& key,
                                         coap_message response,
                                         std::uint16_t id, time_point now) {
    observation& it = observations_.at(key);
    it.sequence = (it.sequence + 1) & sequence_mask;
    response.type = coap_type::confirmable;
    response.id = id;
    response.token = to_bytes(key.token);
    response.erase(options::observe);
    response.add_uint(options::observe, it.sequence);
    it.last_sent = std::move(response);
    // A notification that replaces an unacknowledged one continues its
    // retransmission schedule (RFC 7641, 4.5.2). If the schedule restarted and
    // the upstream notified more often than the first retransmission timeout,
    // there would be no retransmission and no attempt through another entry.
    if (it.acknowledged) {
        it.acknowledged = false;
        it.retransmissions = 0;
        it.retransmit_interval = initial_retransmit_interval;
        reschedule(key, it, now + it.retransmit_interval);
    }
    return it.last_sent;
}

void observations::acknowledge(const observation_key& key, time_point now) {
    observation* it = find(key);
    if (!it || it->acknowledged)
        return;
    it->acknowledged = true;
    reschedule(key, *it, now + max_notification_interval);
}

std::vector<due_notification>
observations::take_due_notifications(time_point now) {
    std::vector<due_notification> out;
    while (!due_.empty() && due_.begin()->first <= now) {
        const observation_key key = due_.begin()->second;
        observation& it = observations_.at(key);
        if (it.acknowledged) {
            reschedule(key, it, now + max_notification_interval);
            out.push_back({key, false});
        } else if (it.retransmissions < max_retransmissions) {
            ++it.retransmissions;
            it.retransmit_interval *= 2;
            reschedule(key, it, now + it.retransmit_interval);
            out.push_back({key, true});
        } else {
            // The client did not acknowledge the last retransmission. Its
            // session is kept, since it may return under a new flow key.
            it.acknowledged = true;
            reschedule(key, it, now + max_notification_interval);
        }
    }
    return out;
}

} // namespace arbutusport::requests
