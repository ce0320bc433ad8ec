// Limits retries to a fraction of the first attempts.
#pragma once

#include <algorithm>

namespace arbutusport::requests {

class retry_budget {
public:
    /// @brief Each first attempt earns `ratio` retries. Unused ones accumulate
    /// up to `max_saved`, which bounds the burst of retries when the upstream
    /// starts to shed load.
    explicit retry_budget(double ratio, double max_saved = 10)
        : ratio_(ratio), max_saved_(max_saved) {}

    void on_first_try() { saved_ = std::min(saved_ + ratio_, max_saved_); }

    /// @brief Takes one retry from the budget; false if it is exhausted.
    bool take() {
        // Ten times 0.1 adds up to slightly less than 1.
        constexpr double tolerance = 1e-9;
        if (saved_ + tolerance < 1)
            return false;
        saved_ -= 1;
        return true;
    }

private:
    double ratio_;
    double max_saved_;
    double saved_ = 0;
};

} // namespace arbutusport::requests
