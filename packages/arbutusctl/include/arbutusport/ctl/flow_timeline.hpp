// Merges the logs of several processes into the timeline of a flow. Clock
// offsets between processes are estimated from the logs and corrected.
#pragma once

#include <arbutusport/ctl/log_records.hpp>

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace arbutusport::ctl {

/// @brief Offset of a process's clock from the clock of the reference process.
struct clock_offset {
    std::int64_t ahead_us = 0;
    /// Number of event pairs that the offset was computed from. If 0, the
    /// offset is unknown and not corrected.
    std::size_t pairs = 0;
};

/// @brief Estimates clock offsets from pairs of events: an entry placed a flow,
/// and the process beside the host opened it. A difference of less than a
/// second may be network delay and is treated as no offset.
std::map<std::string, clock_offset>
clock_offsets(const std::vector<log_record>& records);

struct timeline_options {
    /// Log files and directories of them; "-" is standard input.
    std::vector<std::string> logs;
    /// Flow as it appears in logs, CLIENT>SERVICE, or a part of it.
    std::string flow;
    /// Events of the involved processes that name no flow are shown for this
    /// time before and after the flow's events.
    std::int64_t context_ms = 2000;
};

/// @brief Prints the timeline; returns the exit code.
int print_flow_timeline(const timeline_options& options, std::ostream& out);

} // namespace arbutusport::ctl
