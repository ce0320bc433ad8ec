// Limits retries to a share of first tries.
#pragma once

#include <algorithm>

namespace arbutusport::requests {

class retry_budget {
public:
    /// @brief `ratio` retries for each first try; unused ones are kept up to
    /// `max_saved`, which bounds the burst when the upstream begins to shed.
    explicit retry_budget(double ratio, double max_saved = 10)
        : ratio_(ratio), max_saved_(max_saved) {}

    void on_first_try() { saved_ = std::min(saved_ + ratio_, max_saved_); }

    /// @brief False if the budget is used up.
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
