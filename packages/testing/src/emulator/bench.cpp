// Formats figures as lines.

#include <arbutusport/emulator/bench.hpp>

#include <sstream>

namespace arbutusport::emulator {

std::string to_string(const figure& it) {
    std::ostringstream out;
    out.precision(6);
    out << "figure=" << it.name << " value=" << it.value << " unit=" << it.unit
        << " baseline=" << it.baseline << " baseline_name=" << it.baseline_name
        << " seed=" << it.seed;
    if (!it.notes.empty())
        out << ' ' << it.notes;
    return out.str();
}

} // namespace arbutusport::emulator
