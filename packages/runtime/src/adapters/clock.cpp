// Monotonic clock for decisions and wall clock for incarnations.

#include <arbutusport/adapters/clock.hpp>

#include <random>

namespace arbutusport::adapters {

time_point now() {
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
}

unix_milliseconds wall_clock() {
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return unix_milliseconds(static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(wall).count()));
}

incarnation new_incarnation() {
    std::random_device random;
    return incarnation(wall_clock().value() << 16 | (random() & 0xffffU));
}

} // namespace arbutusport::adapters
