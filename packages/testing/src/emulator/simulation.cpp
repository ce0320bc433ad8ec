// A heap of tasks.

#include <arbutusport/emulator/simulation.hpp>

namespace arbutusport::emulator {

void simulation::after(duration wait, task run) {
    tasks_.push({now_ + wait, ++added_, std::move(run)});
}

void simulation::run_until(time_point end) {
    while (!tasks_.empty() && tasks_.top().at <= end) {
        // The task may add others, so it leaves the heap first.
        const entry next = tasks_.top();
        tasks_.pop();
        now_ = next.at;
        next.run();
    }
    now_ = end;
}

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
