// Virtual time with one seeded random number generator.
#pragma once

#include <arbutusport/emulator/virtual_time.hpp>

#include <cstdint>
#include <random>

namespace arbutusport::emulator {

/// @brief Deterministic simulation: the same seed gives the same run.
class simulation : public virtual_time {
public:
    using task = event_function;

    explicit simulation(std::uint64_t seed) : random_(seed) {}

    bool chance(double probability);
    /// @brief Uniform random value from `low` to `high`, both included.
    std::int64_t between(std::int64_t low, std::int64_t high);
    duration between(duration low, duration high);
    std::uint64_t draw() { return random_(); }

private:
    std::mt19937_64 random_;
};

} // namespace arbutusport::emulator
