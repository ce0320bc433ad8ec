// Runs one scenario in virtual time and checks its expectations.
#pragma once

#include <arbutusport/emulator/history_checker.hpp>
#include <arbutusport/emulator/scenario.hpp>

#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace arbutusport::emulator {

struct unmet_expectation {
    expectation expected;
    double found = 0;
};

struct scenario_result {
    /// Measured values by name; see docs/scenarios.md.
    std::map<std::string, double> figures;
    std::vector<violation> violations;
    std::vector<unmet_expectation> unmet;
    history events;

    bool passed() const { return unmet.empty(); }
};

/// @brief Records the first run of one process (see trace.hpp).
struct recording {
    std::string process;
    std::ostream& to;
};

/// @brief Throws std::runtime_error if a name matches no process, host or
/// client, or a figure does not exist. `records_root` is examples/records.
scenario_result run_scenario(const scenario& plan,
                             const std::string& records_root,
                             const std::optional<recording>& record = {});

/// @brief "line 12: expect double_runs == 0, found 3".
std::string to_string(const unmet_expectation& it);

} // namespace arbutusport::emulator
