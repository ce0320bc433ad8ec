// Adds the SLO counts of several hosts up to one burn report.
#pragma once

#include <arbutusport/base/error.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace arbutusport::ctl {

/// Windows in the order of the report; a fast alert needs the first two, a
/// slow one the others.
inline constexpr std::array<const char*, 4> burn_windows{"5m", "1h", "30m",
                                                         "6h"};

struct window_counts {
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
};

struct objective_burn {
    double target = 0;
    std::array<window_counts, burn_windows.size()> counts{};

    /// @brief Bad ratio over the ratio that the objective allows.
    double rate(std::size_t window) const;
    /// @brief "fast", "slow" or "none".
    const char* alert() const;
};

/// @brief By service and objective.
using burn_table =
    std::map<std::pair<std::string, std::string>, objective_burn>;

/// @brief Adds the counts of one process's /slo document. Fails with step
/// "read_slo" if the document is of another shape; `table` is then unchanged.
result<void> add_slo_document(std::string_view json, const std::string& peer,
                              burn_table& table);

/// @brief A gnuplot program with its data that draws the burn rates as SVG.
std::string burn_plot(const burn_table& table);

} // namespace arbutusport::ctl
