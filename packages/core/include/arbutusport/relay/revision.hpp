// Position in the history of the platform's store. A store that is restored
// from a copy gives out revision numbers a second time; its era then rises, so
// that positions in different histories stay ordered.
#pragma once

#include <arbutusport/base/strong_value.hpp>

#include <compare>
#include <cstdint>

namespace arbutusport::relay {

/// @brief Rises by one each time the store is restored from a copy.
using store_era = strong_value<struct store_era_tag, std::uint64_t>;

/// @brief The era of a store that was never restored. Also assumed for stores
/// and processes that do not state an era.
inline constexpr store_era first_era{1};

/// @brief Ordered by era, then by the store's revision counter.
class revision {
public:
    constexpr revision() = default;
    constexpr explicit revision(std::uint64_t number, store_era era = first_era)
        : era_(era), number_(number) {}

    constexpr store_era era() const { return era_; }
    constexpr std::uint64_t number() const { return number_; }

    // clang-tidy mistakes the 0 of a rewritten comparison for a null pointer.
    // NOLINTBEGIN(modernize-use-nullptr)
    friend constexpr auto operator<=>(const revision&,
                                      const revision&) = default;
    // NOLINTEND(modernize-use-nullptr)

private:
    // Declared in the order of comparison.
    store_era era_ = first_era;
    std::uint64_t number_ = 0;
};

} // namespace arbutusport::relay
