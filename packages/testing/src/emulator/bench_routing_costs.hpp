// Benchmarks of CPU time and memory on the packet path.
#pragma once

#include <arbutusport/emulator/bench.hpp>

namespace arbutusport::emulator {

void bench_routing_costs(std::uint64_t seed, const figure_sink& sink);

} // namespace arbutusport::emulator
