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

/// The command succeeded.
inline constexpr int exit_success = 0;
/// The command ran and found errors, or a process did not answer.
inline constexpr int exit_findings = 1;
/// The command line is invalid; nothing was done.
inline constexpr int exit_usage = 2;

enum class output_format { text, json };

struct check_options {
    /// Directory of records; empty if there is none to check.
    std::string records;
    std::vector<std::string> settings;
};

/// @brief Validates records and settings before they are published.
int check(const check_options& options, output_format format,
          std::ostream& out);

struct diff_options {
    std::string from;
    std::string to;
};

/// @brief Lists the changes between two directories of records and their effect
/// on flows.
int diff(const diff_options& options, output_format format, std::ostream& out);

struct explain_options {
    std::string records;
    endpoint client;
    /// A service's name or address.
    std::string service;
};

/// @brief Shows the hosts of a flow in order of preference.
int explain(const explain_options& options, output_format format,
            std::ostream& out);

struct status_options {
    /// Control endpoints.
    std::vector<endpoint> processes;
    duration timeout = std::chrono::seconds(2);
};

/// @brief Shows the status of each process.
int status(const status_options& options, output_format format,
           std::ostream& out);

struct report_options {
    /// Metrics endpoints of hosts.
    std::vector<endpoint> processes;
    duration timeout = std::chrono::seconds(2);
    /// File for a gnuplot program that plots the burn rates; empty for none.
    std::string plot;
};

/// @brief Combines the hosts' counts and reports the burn rates of each
/// service's error budget.
int report(const report_options& options, output_format format,
           std::ostream& out);

} // namespace arbutusport::ctl
