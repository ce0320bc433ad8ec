// Log lines of arbutusport processes, from files and directories.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusport::ctl {

/// @brief One parsed log line.
struct log_record {
    /// Microseconds since the Unix epoch on the clock of `process`.
    std::int64_t at_us = 0;
    std::string process;
    std::string event;
    std::string flow;
    /// Address of the other machine in the event.
    std::string machine;
    /// All other fields, unchanged.
    std::string rest;
};

/// @brief Parses a log line of an arbutusport process and ignores any text
/// before its time. Empty if that fails; `why` is then the reason, or empty if
/// the line belongs to another program.
std::optional<log_record> parse_log_line(std::string_view line,
                                         std::string& why);

/// @brief Formats microseconds since the Unix epoch as ISO 8601.
std::string format_time(std::int64_t at_us);
/// @brief Parses ISO 8601; empty if the text is not a time.
std::optional<std::int64_t> parse_time(const std::string& text);

/// @brief Reads files, directories of files, and standard input for "-", one
/// line at a time. Lines that cannot be parsed are counted and reported on
/// standard error. Returns false if a file cannot be read.
bool read_logs(const std::vector<std::string>& names,
               const std::function<void(log_record&&)>& visit);

} // namespace arbutusport::ctl
