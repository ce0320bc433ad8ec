// Random numbers of a simulation.

#include <arbutusport/emulator/simulation.hpp>

namespace arbutusport::emulator {

bool simulation::chance(double probability) {
    return std::bernoulli_distribution(probability)(random_);
}

std::int64_t simulation::between(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(random_);
}

duration simulation::between(duration low, duration high) {
    return duration(between(low.count(), high.count()));
}

} // namespace arbutusport::emulator
