// Strong types for identifiers and units. Types with different tags do not
// convert to each other, and numbers do not convert implicitly.
#pragma once

#include <compare>
#include <cstddef>
#include <functional>

namespace arbutusport {

template <class Tag, class Value>
class strong_value {
public:
    using value_type = Value;

    constexpr strong_value() = default;
    constexpr explicit strong_value(Value value) : value_(value) {}

    constexpr Value value() const { return value_; }

    // clang-tidy mistakes the 0 of a rewritten comparison for a null pointer.
    // NOLINTBEGIN(modernize-use-nullptr)
    friend constexpr auto operator<=>(const strong_value&,
                                      const strong_value&) = default;
    // NOLINTEND(modernize-use-nullptr)

private:
    Value value_{};
};

} // namespace arbutusport

template <class Tag, class Value>
struct std::hash<arbutusport::strong_value<Tag, Value>> {
    std::size_t
    operator()(const arbutusport::strong_value<Tag, Value>& it) const {
        return std::hash<Value>{}(it.value());
    }
};
