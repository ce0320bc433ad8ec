// The commands of arbutusctl. Each writes its result to `out` and returns the
// exit code.
#pragma once

#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/base/time.hpp>

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace arbutusport::ctl {

/// All is well.
inline constexpr int exit_success = 0;
/// The command ran and found errors, or a process did not answer.
inline constexpr int exit_findings = 1;
/// The command line is wrong; nothing was done.
inline constexpr int exit_usage = 2;

enum class output_format { text, json };

struct check_options {
    /// Directory of records, or empty.
    std::string records;
    std::vector<std::string> settings;
};

/// @brief Checks records and settings before they are published.
int check(const check_options& options, output_format format,
          std::ostream& out);

struct diff_options {
    std::string from;
    std::string to;
};

/// @brief Lists what changes between two directories of records, and what
/// that does to flows.
int diff(const diff_options& options, output_format format, std::ostream& out);

struct explain_options {
    std::string records;
    endpoint client;
    /// A service's name or address.
    std::string service;
};

/// @brief Shows where a flow goes.
int explain(const explain_options& options, output_format format,
            std::ostream& out);

struct status_options {
    /// Control endpoints.
    std::vector<endpoint> processes;
    duration timeout = std::chrono::seconds(2);
};

/// @brief Asks each process for its status.
int status(const status_options& options, output_format format,
           std::ostream& out);

struct report_options {
    /// Metrics endpoints of hosts.
    std::vector<endpoint> processes;
    duration timeout = std::chrono::seconds(2);
    /// File for a gnuplot program that draws the burn rates, if set.
    std::string plot;
};

/// @brief Adds up the hosts' counts and reports how fast each service burns
/// its error budget.
int report(const report_options& options, output_format format,
           std::ostream& out);

} // namespace arbutusport::ctl
