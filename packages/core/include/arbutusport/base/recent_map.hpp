// A bounded hash map that forgets the least recently used entries in bulk.
#pragma once

#include <boost/unordered/unordered_flat_map.hpp>

#include <cstddef>
#include <utility>

namespace arbutusport {

/// @brief Keeps at most `limit` entries. When half the limit is used, the
/// half that was not used since the last such moment is dropped; no
/// operation sweeps the table. Pointers are valid until the next call.
template <class Key, class Value, class Hash = std::hash<Key>>
class recent_map {
public:
    explicit recent_map(std::size_t limit) : half_(limit < 2 ? 1 : limit / 2) {}

    /// @brief Null if absent; a hit counts as use.
    Value* find(const Key& key) {
        if (const auto it = recent_.find(key); it != recent_.end())
            return &it->second;
        const auto it = older_.find(key);
        if (it == older_.end())
            return nullptr;
        const Value value = it->second;
        older_.erase(it);
        return &insert(key, value);
    }

    /// @brief Inserts or replaces.
    Value& put(const Key& key, const Value& value) {
        if (const auto it = recent_.find(key); it != recent_.end())
            return it->second = value;
        older_.erase(key);
        return insert(key, value);
    }

    void erase(const Key& key) {
        recent_.erase(key);
        older_.erase(key);
    }

    template <class Predicate>
    void erase_if(Predicate&& drops) {
        boost::unordered::erase_if(recent_, drops);
        boost::unordered::erase_if(older_, drops);
    }

    void clear() {
        recent_.clear();
        older_.clear();
    }

    std::size_t size() const { return recent_.size() + older_.size(); }

    /// @brief Memory of both tables: one metadata byte per bucket.
    std::size_t memory() const {
        return (recent_.bucket_count() + older_.bucket_count()) *
               (sizeof(std::pair<const Key, Value>) + 1);
    }

private:
    using table = boost::unordered_flat_map<Key, Value, Hash>;

    Value& insert(const Key& key, const Value& value) {
        if (recent_.size() >= half_) {
            older_ = std::move(recent_);
            recent_ = table();
        }
        return recent_.insert_or_assign(key, value).first->second;
    }

    // Each holds at most half_ entries; no key is in both.
    table recent_;
    table older_;
    std::size_t half_;
};

} // namespace arbutusport
