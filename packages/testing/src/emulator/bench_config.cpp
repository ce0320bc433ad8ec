// Figures of the config layer.

#include <arbutusport/emulator/bench.hpp>

namespace arbutusport::emulator {

void bench_config(std::uint64_t, const figure_sink&) {}

} // namespace arbutusport::emulator
