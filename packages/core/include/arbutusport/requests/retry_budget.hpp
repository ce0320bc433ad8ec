// Limits retries to a fraction of the first attempts.
#pragma once

#include <algorithm>

namespace arbutusport::requests {

class retry_budget {
public:
    /// @brief Each first attempt earns `ratio` retries. Unused ones accumulate
    /// up to `max_available`, which bounds the burst of retries when the
    /// upstream starts to shed load.
    explicit retry_budget(double ratio, double max_available = 10)
        : ratio_(ratio), max_available_(max_available) {}

    void on_first_attempt() {
        available_ = std::min(available_ + ratio_, max_available_);
    }

    /// @brief Takes one retry from the budget; false if it is exhausted.
    bool try_take() {
        // Ten times 0.1 adds up to slightly less than 1.
        constexpr double tolerance = 1e-9;
        if (available_ + tolerance < 1)
            return false;
        available_ -= 1;
        return true;
    }

private:
    double ratio_;
    double max_available_;
    double available_ = 0;
};

} // namespace arbutusport::requests
