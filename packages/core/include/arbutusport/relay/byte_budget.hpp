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
        : options_(options), available_bytes_(limit()) {}

    /// @brief Returns false, and takes nothing, if the bytes exceed the budget.
    bool try_take(std::size_t byte_count, time_point now) {
        const std::chrono::duration<double> passed = now - updated_at_;
        updated_at_ = now;
        available_bytes_ =
            std::min(limit(), available_bytes_ +
                                  passed.count() * options_.bytes_per_second);
        if (available_bytes_ < static_cast<double>(byte_count))
            return false;
        available_bytes_ -= static_cast<double>(byte_count);
        return true;
    }

private:
    double limit() const {
        return options_.bytes_per_second *
               std::chrono::duration<double>(options_.burst).count();
    }

    byte_budget_options options_;
    double available_bytes_;
    time_point updated_at_;
};

} // namespace arbutusport::relay
