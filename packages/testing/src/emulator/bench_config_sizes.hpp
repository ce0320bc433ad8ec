// Benchmarks of the config layer by the size of the record set.
#pragma once

#include <arbutusport/emulator/bench.hpp>

namespace arbutusport::emulator {

void bench_config_sizes(std::uint64_t seed, const figure_sink& sink);

} // namespace arbutusport::emulator
