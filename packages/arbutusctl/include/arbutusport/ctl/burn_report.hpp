// Combines the SLO counts of several hosts into one burn rate report.
#pragma once

#include <arbutusport/base/error.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace arbutusport::ctl {

/// Windows in the order of the report. A fast alert requires the first two, a
/// slow one the other two.
inline constexpr std::array<const char*, 4> burn_windows{"5m", "1h", "30m",
                                                         "6h"};

struct window_counts {
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
};

struct objective_burn {
    double target = 0;
    std::array<window_counts, burn_windows.size()> counts{};

    /// @brief Burn rate: the bad ratio divided by the ratio that the objective
    /// allows.
    double rate(std::size_t window) const;
    /// @brief "fast", "slow" or "none".
    const char* alert() const;
};

/// @brief Burn rates by service and objective.
using burn_table =
    std::map<std::pair<std::string, std::string>, objective_burn>;

/// @brief Adds the counts of one process's /slo document. Fails with step
/// "read_slo" if the document is malformed; `table` is then unchanged.
result<void> add_slo_document(std::string_view json, const std::string& peer,
                              burn_table& table);

/// @brief Returns a gnuplot program, with its data, that plots the burn rates
/// as SVG.
std::string make_burn_plot(const burn_table& table);

} // namespace arbutusport::ctl
