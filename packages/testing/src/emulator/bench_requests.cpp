// Figures of the requests layer.

#include <arbutusport/emulator/bench.hpp>

namespace arbutusport::emulator {

void bench_requests(std::uint64_t, const figure_sink&) {}

} // namespace arbutusport::emulator
