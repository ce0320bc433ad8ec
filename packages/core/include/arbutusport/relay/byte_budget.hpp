// Rate limit for one kind of traffic.
#pragma once

#include <arbutusport/base/time.hpp>

#include <algorithm>
#include <cstddef>

namespace arbutusport::relay {

struct byte_budget_options {
    /// A quarter of a link of 1 Gbit/s.
    double bytes_per_second = 31e6;
    /// The bucket's capacity, as a time at the full rate.
    duration burst = std::chrono::milliseconds(300);
};

/// @brief A token bucket. Not thread-safe.
class byte_budget {
public:
    explicit byte_budget(byte_budget_options options)
        : options_(options), left_(limit()) {}

    /// @brief Returns false, and takes nothing, if the bytes exceed the budget.
    bool take(std::size_t n, time_point now) {
        const std::chrono::duration<double> passed = now - at_;
        at_ = now;
        left_ = std::min(limit(),
                         left_ + passed.count() * options_.bytes_per_second);
        if (left_ < static_cast<double>(n))
            return false;
        left_ -= static_cast<double>(n);
        return true;
    }

private:
    double limit() const {
        return options_.bytes_per_second *
               std::chrono::duration<double>(options_.burst).count();
    }

    byte_budget_options options_;
    double left_;
    time_point at_;
};

} // namespace arbutusport::relay
