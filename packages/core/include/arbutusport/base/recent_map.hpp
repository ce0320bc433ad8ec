// A bounded hash map that forgets the least recently used entries in bulk.
#pragma once

#include <boost/unordered/unordered_flat_map.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <utility>

namespace arbutusport {

/// @brief Keeps at most `limit` entries in four parts. When the newest part
/// is full, the oldest is dropped as a whole, so no operation sweeps the
/// table. An entry of the oldest part that is used moves to the newest while
/// that has room. Pointers are valid until the next call.
template <class Key, class Value, class Hash = std::hash<Key>>
class recent_map {
public:
    explicit recent_map(std::size_t limit)
        : part_limit_(limit < parts ? 1 : limit / parts) {}

    /// @brief Null if absent; a hit counts as use.
    Value* find(const Key& key) {
        for (std::size_t age = 0; age < parts; ++age) {
            table& part = part_of(age);
            const auto it = part.find(key);
            if (it == part.end())
                continue;
            // Room in the newest part is needed: a use must not drop the
            // part that holds the entries used next.
            if (age + 1 < parts || part_of(0).size() >= part_limit_)
                return &it->second;
            const Value value = it->second;
            part.erase(it);
            return &insert(key, value);
        }
        return nullptr;
    }

    /// @brief Inserts or replaces.
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
    void erase_if(Predicate&& drops) {
        for (auto& part : tables_)
            boost::unordered::erase_if(part, drops);
    }

    void clear() {
        for (auto& part : tables_)
            part.clear();
    }

    std::size_t size() const {
        std::size_t n = 0;
        for (const auto& part : tables_)
            n += part.size();
        return n;
    }

    /// @brief Bytes of all parts: one metadata byte per bucket.
    std::size_t memory() const {
        std::size_t n = 0;
        for (const auto& part : tables_)
            n +=
                part.bucket_count() * (sizeof(std::pair<const Key, Value>) + 1);
        return n;
    }

private:
    using table = boost::unordered_flat_map<Key, Value, Hash>;
    static constexpr std::size_t parts = 4;

    table& part_of(std::size_t age) {
        return tables_[(newest_ + parts - age) % parts];
    }

    Value& insert(const Key& key, const Value& value) {
        if (part_of(0).size() >= part_limit_) {
            newest_ = (newest_ + 1) % parts;
            part_of(0) = table();
        }
        return part_of(0).insert_or_assign(key, value).first->second;
    }

    // Each holds at most part_limit_ entries; no key is in two.
    std::array<table, parts> tables_;
    std::size_t newest_ = 0;
    std::size_t part_limit_;
};

} // namespace arbutusport
