// Account of a restart of many processes, or of a restore of the store, from
// their logs: when the first, half, 99% and the last process reached each step.
#pragma once

#include <arbutusport/ctl/commands.hpp>
#include <arbutusport/ctl/log_records.hpp>

#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace arbutusport::ctl {

/// @brief Time of a step at the processes of a role, in ms after the origin.
struct recovery_step {
    std::string role;
    std::string name;
    std::size_t processes = 0;
    double first_ms = 0;
    double half_ms = 0;
    double p99_ms = 0;
    double last_ms = 0;
    /// The process that was last.
    std::string slowest;
};

struct recovery_account {
    /// The first line at or after the chosen time.
    std::int64_t origin_us = 0;
    /// Number of processes by role.
    std::map<std::string, std::size_t> processes;
    /// Processes that started more than once.
    std::size_t restarted_again = 0;
    /// Where processes had their first directory from.
    std::map<std::string, std::size_t> directory_sources;
    std::uint64_t newest_version = 0;
    std::vector<recovery_step> steps;
};

/// @brief Lines of one process must be added in their order. A process that
/// starts again begins its steps anew. Clocks are not compared; differences
/// between machines show in the steps.
class recovery_collector {
public:
    explicit recovery_collector(std::optional<std::int64_t> from_us)
        : from_us_(from_us) {}

    void add(const log_record& line);
    /// @brief Empty if no line showed a step.
    std::optional<recovery_account> account() const;

private:
    // Of one process since its last start.
    struct progress {
        std::size_t starts = 0;
        std::map<std::string, std::int64_t> steps;
        std::string directory_source;
        // When each version of the configuration was first in force.
        std::map<std::uint64_t, std::int64_t> versions;
    };

    std::optional<std::int64_t> from_us_;
    std::optional<std::int64_t> origin_us_;
    std::map<std::string, progress> processes_;
    // By process, also from lines before `from_us_`.
    std::map<std::string, std::string> roles_;
};

struct recovery_options {
    /// Log files and directories of them; "-" is standard input.
    std::vector<std::string> logs;
    /// Lines before this time are ignored.
    std::optional<std::int64_t> from_us;
};

/// @brief Prints the account; returns the exit code.
int print_recovery(const recovery_options& options, output_format format,
                   std::ostream& out);

} // namespace arbutusport::ctl
