// A bounded hash map that evicts the least recently used entries in bulk.
#pragma once

#include <boost/unordered/unordered_flat_map.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <utility>

namespace arbutusport {

/// @brief Keeps at most `limit` entries in four parts. When the newest part
/// is full, the oldest part is evicted as a whole, so that no operation scans
/// the table. A lookup moves an entry from the oldest part to the newest if
/// the newest has room. Pointers are valid until the next call.
template <class Key, class Value, class Hash = std::hash<Key>>
class lru_map {
public:
    explicit lru_map(std::size_t limit)
        : part_limit_(limit < part_count ? 1 : limit / part_count) {}

    /// @brief Null if absent. A hit marks the entry as recently used.
    Value* find(const Key& key) {
        for (std::size_t age = 0; age < part_count; ++age) {
            table& part = part_of(age);
            const auto it = part.find(key);
            if (it == part.end())
                continue;
            // Moves the entry only if the newest part has room: a lookup must
            // not evict the part whose entries may be looked up next.
            if (age + 1 < part_count || part_of(0).size() >= part_limit_)
                return &it->second;
            const Value value = it->second;
            part.erase(it);
            return &insert(key, value);
        }
        return nullptr;
    }

    /// @brief Inserts an entry or replaces its value.
    Value& put(const Key& key, const Value& value) {
        if (Value* found = find(key))
            return *found = value;
        return insert(key, value);
    }

    void erase(const Key& key) {
        for (auto& part : tables_)
            part.erase(key);
    }

    template <class Predicate>
    void erase_if(Predicate&& should_erase) {
        for (auto& part : tables_)
            boost::unordered::erase_if(part, should_erase);
    }

    void clear() {
        for (auto& part : tables_)
            part.clear();
    }

    std::size_t size() const {
        std::size_t entries = 0;
        for (const auto& part : tables_)
            entries += part.size();
        return entries;
    }

    /// @brief Bytes of all parts, with one metadata byte per bucket.
    std::size_t memory_bytes() const {
        std::size_t total = 0;
        for (const auto& part : tables_)
            total +=
                part.bucket_count() * (sizeof(std::pair<const Key, Value>) + 1);
        return total;
    }

private:
    using table = boost::unordered_flat_map<Key, Value, Hash>;
    static constexpr std::size_t part_count = 4;

    table& part_of(std::size_t age) {
        return tables_[(newest_ + part_count - age) % part_count];
    }

    Value& insert(const Key& key, const Value& value) {
        if (part_of(0).size() >= part_limit_) {
            newest_ = (newest_ + 1) % part_count;
            part_of(0) = table();
        }
        return part_of(0).insert_or_assign(key, value).first->second;
    }

    // Each part holds at most part_limit_ entries. No key is in two parts.
    std::array<table, part_count> tables_;
    std::size_t newest_ = 0;
    std::size_t part_limit_;
};

} // namespace arbutusport
