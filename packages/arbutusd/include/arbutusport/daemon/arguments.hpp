// The command line of arbutusd.
#pragma once

#include <iosfwd>
#include <optional>
#include <string>

namespace arbutusport::daemon {

/// Exit codes of arbutusd.
inline constexpr int exit_ok = 0;
inline constexpr int exit_failed = 1;
inline constexpr int exit_refused = 2;

struct arguments {
    std::string settings_path;
    bool check_only = false;
    /// Set if the process should exit immediately with this code because help
    /// or the version was printed or the command line is invalid.
    std::optional<int> exit_code;
};

arguments parse_arguments(int argc, const char* const* argv, std::ostream& out,
                          std::ostream& errors);

/// @brief Runs the whole program; returns its exit code.
int run_daemon(int argc, const char* const* argv);

} // namespace arbutusport::daemon
