// Monotonic clock for decisions, wall clock for incarnations.

#include <arbutusport/adapters/clock.hpp>

#include <random>

namespace arbutusport::adapters {

time_point now() {
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
}

incarnation new_incarnation() {
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(wall).count();
    std::random_device random;
    return incarnation(static_cast<std::uint64_t>(ms) << 16 |
                       (random() & 0xffffU));
}

} // namespace arbutusport::adapters
