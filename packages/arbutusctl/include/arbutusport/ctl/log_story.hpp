// Puts the logs of several processes together: what happened to a flow, in
// time order, with clocks that differ put right where the logs show by how
// much.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusport::ctl {

/// @brief One line of a log.
struct log_record {
    /// Microseconds since the epoch by the clock of `process`.
    std::int64_t at_us = 0;
    std::string process;
    std::string event;
    std::string flow;
    /// Address of the other machine that the event names.
    std::string machine;
    /// All other fields as they stand in the line.
    std::string rest;
};

/// @brief A line of a process of this project, with anything before its time
/// left out. Empty if it is none; `why` then says why.
std::optional<log_record> parse_log_line(std::string_view line,
                                         std::string& why);

/// @brief By how much a process's clock is ahead of the reference's.
struct clock_offset {
    std::int64_t ahead_us = 0;
    /// Pairs of events that it was worked out from; 0: nothing is known and
    /// no correction is made.
    std::size_t pairs = 0;
};

/// @brief Pairs what an entry sent with what the process beside the host
/// received. A difference of less than a second may be the way and counts as
/// none.
std::map<std::string, clock_offset>
clock_offsets(const std::vector<log_record>& records);

struct story_options {
    /// Logs, "-" for standard input.
    std::vector<std::string> logs;
    /// Part of the flow as logs have it: CLIENT>SERVICE, or one of the two.
    std::string flow;
    /// What the processes of the story did without naming a flow is shown for
    /// this long before and after.
    std::int64_t context_ms = 2000;
};

/// @brief Prints the story; returns the exit code.
int tell_story(const story_options& options, std::ostream& out);

} // namespace arbutusport::ctl
