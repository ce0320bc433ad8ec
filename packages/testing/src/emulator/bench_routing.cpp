// Figures of the routing layer.

#include <arbutusport/emulator/bench.hpp>

namespace arbutusport::emulator {

void bench_routing(std::uint64_t, const figure_sink&) {}

} // namespace arbutusport::emulator
