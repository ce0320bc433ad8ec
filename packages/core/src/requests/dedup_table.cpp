// Keeps the entries in a map by session and operation, and their expiry times
// in a heap.

#include <arbutusport/requests/dedup_table.hpp>

#include <arbutusport/base/hash.hpp>

namespace arbutusport::requests {

namespace {

// Different seeds make the two hashes of a key independent.
constexpr std::uint64_t identity_seed = 1;
constexpr std::uint64_t content_seed = 2;

std::uint64_t hash_identity(const coap_message& request) {
    if (const coap_option* tag = request.find(options::request_tag))
        return hash64(tag->value, identity_seed);
    return hash_combine(hash64(request.token, identity_seed), request.id);
}

std::uint64_t hash_content(const coap_message& request) {
    std::uint64_t hash = hash_combine(request.code, content_seed);
    for (const coap_option& option : request.options) {
        // A duplicate may carry a shorter deadline, or arrive through another
        // host.
        if (option.number == options::echo ||
            option.number == options::deadline)
            continue;
        hash = hash_combine(hash, option.number);
        hash = hash_combine(hash, hash64(option.value, content_seed));
    }
    return hash_combine(hash, hash64(request.payload, content_seed));
}

} // namespace

operation_key make_operation_key(session_id session,
                                 const coap_message& request) {
    return {session, hash_identity(request), hash_content(request)};
}

operation* dedup_table::find(const operation_key& key) {
    const auto at = entries_.find(key);
    return at == entries_.end() ? nullptr : &at->second;
}

operation* dedup_table::add(const operation_key& key, std::uint64_t job,
                            time_point expires) {
    if (entries_.size() >= max_entries_)
        return nullptr;
    operation it;
    it.job = job;
    it.expires = expires;
    return &entries_.insert_or_assign(key, std::move(it)).first->second;
}

void dedup_table::extend(const operation_key& key, time_point expires) {
    if (operation* it = find(key); it && it->expires < expires)
        it->expires = expires;
}

void dedup_table::finish(const operation_key& key, operation_state state,
                         const coap_message& response) {
    operation* it = find(key);
    if (!it)
        return;
    it->state = state;
    it->response = response;
    expiries_.emplace(it->expires, key);
}

void dedup_table::expire(time_point now) {
    while (!expiries_.empty() && expiries_.top().first <= now) {
        const operation_key key = expiries_.top().second;
        expiries_.pop();
        operation* it = find(key);
        if (!it || it->state == operation_state::running)
            continue;
        if (it->expires > now)
            expiries_.emplace(it->expires, key);
        else
            entries_.erase(key);
    }
}

} // namespace arbutusport::requests
