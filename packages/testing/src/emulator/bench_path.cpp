// Figures of the path layer.

#include <arbutusport/emulator/bench.hpp>

namespace arbutusport::emulator {

void bench_path(std::uint64_t, const figure_sink&) {}

} // namespace arbutusport::emulator
