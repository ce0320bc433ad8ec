// Figures that scripts/bench.sh prints.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace arbutusport::emulator {

/// @brief One measured figure beside its baseline, both of the same run.
struct figure {
    std::string name;
    double value = 0;
    std::string unit;
    double baseline = 0;
    /// What the baseline is, in one word: "modulo", "one_choice".
    std::string baseline_name;
    std::uint64_t seed = 0;
    /// Further key=value pairs, or empty.
    std::string notes;
};

/// @brief "figure=<name> value=<n> unit=<u> baseline=<n> ...".
std::string to_string(const figure& it);

using figure_sink = std::function<void(const figure&)>;

void bench_routing(std::uint64_t seed, const figure_sink& sink);
void bench_config(std::uint64_t seed, const figure_sink& sink);
void bench_requests(std::uint64_t seed, const figure_sink& sink);
void bench_path(std::uint64_t seed, const figure_sink& sink);
/// @brief Control bytes and calls by the number of members.
void bench_control(std::uint64_t seed, const figure_sink& sink);
/// @brief Ownership queries, holder bitmaps, and tables by size.
void bench_flow_control(std::uint64_t seed, const figure_sink& sink);
/// @brief Memory and processor time of idle processes.
void bench_process(std::uint64_t seed, const figure_sink& sink);

} // namespace arbutusport::emulator
