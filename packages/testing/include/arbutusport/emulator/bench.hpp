// Benchmarks whose figures scripts/bench.sh prints.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace arbutusport::emulator {

/// @brief A measured value and its baseline, both from the same run.
struct figure {
    std::string name;
    double value = 0;
    std::string unit;
    double baseline = 0;
    /// The method of the baseline in one word, such as "modulo" or
    /// "one_choice".
    std::string baseline_name;
    std::uint64_t seed = 0;
    /// Additional key=value pairs; may be empty.
    std::string notes;
};

/// @brief Returns "figure=<name> value=<n> unit=<u> baseline=<n> ...".
std::string to_string(const figure& it);

using figure_sink = std::function<void(const figure&)>;

void bench_routing(std::uint64_t seed, const figure_sink& sink);
void bench_config(std::uint64_t seed, const figure_sink& sink);
void bench_requests(std::uint64_t seed, const figure_sink& sink);
void bench_path(std::uint64_t seed, const figure_sink& sink);
/// @brief Control traffic and platform calls by the number of members.
void bench_control(std::uint64_t seed, const figure_sink& sink);
/// @brief Cost of ownership queries, holder bitmaps and tables by size.
void bench_flow_control(std::uint64_t seed, const figure_sink& sink);
/// @brief Memory and processor time of idle processes.
void bench_process(std::uint64_t seed, const figure_sink& sink);
/// @brief Processor time to measure a request and to state the backlog.
void bench_work(std::uint64_t seed, const figure_sink& sink);

} // namespace arbutusport::emulator
