// Virtual time: events in order, and one source of random choices.
#pragma once

#include <arbutusport/base/time.hpp>

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <utility>
#include <vector>

namespace arbutusport::emulator {

/// @brief The same seed gives the same run.
class simulation {
public:
    using task = std::function<void()>;

    explicit simulation(std::uint64_t seed) : random_(seed) {}

    time_point now() const { return now_; }
    void after(duration wait, task run);
    /// @brief Runs the tasks that are due up to `end`, which becomes the
    /// present time.
    void run_until(time_point end);

    bool chance(double probability);
    /// @brief Uniform, both ends included.
    std::int64_t between(std::int64_t low, std::int64_t high);
    duration between(duration low, duration high);
    std::uint64_t draw() { return random_(); }

private:
    struct entry {
        time_point at;
        // Tasks of the same time run in the order in which they were added.
        std::uint64_t order = 0;
        task run;

        bool operator>(const entry& other) const {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    time_point now_;
    std::uint64_t added_ = 0;
    std::priority_queue<entry, std::vector<entry>, std::greater<>> tasks_;
    std::mt19937_64 random_;
};

} // namespace arbutusport::emulator
