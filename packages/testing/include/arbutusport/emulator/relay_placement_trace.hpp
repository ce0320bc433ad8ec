// A trace of flows and a queueing simulation in virtual time that places them
// at hosts of different speed, so that placement rules can be compared on the
// same arrivals. Entries know hosts by reports only.
#pragma once

#include <arbutusport/relay/placement.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace arbutusport::emulator {

/// @brief Picks one of the hosts; `hash` differs for each flow.
using placement_rule = std::function<std::size_t(
    std::span<const relay::candidate> hosts, std::uint64_t hash)>;

struct placement_trace_options {
    std::size_t entries = 6;
    std::size_t hosts = 27;
    /// Offered work relative to what the hosts can do.
    double load = 0.8;
    std::uint64_t seed = 1;
    /// Results count from `measured_from_s` to `end_s`.
    double measured_from_s = 20;
    double end_s = 40;
    /// Repeated over the hosts.
    std::vector<double> speeds{0.7, 0.7, 1.7};
    /// Added to the time that a report takes.
    double report_delay_s = 0;
    /// Share of reports that are lost.
    double lost_reports = 0;
    /// The first hosts, so many of them, report no work.
    std::size_t without_work = 0;
    /// Entries that start at `measured_from_s`, or end then; the others get
    /// their flows.
    std::size_t started_late = 0;
    std::size_t ended = 0;
    /// From `measured_from_s` on host 0 has this multiple of its speed, and
    /// answers errors after 1 ms or does not answer at all.
    double changed_speed = 1;
    bool answers_errors = false;
    bool hangs = false;
    /// Hosts report the mean service time of the next host.
    bool outdated_costs = false;
};

struct placement_result {
    double p50_ms = 0;
    double p99_ms = 0;
    /// Shares of the requests that were sent.
    double in_time = 0;
    double shed = 0;
    /// Openings at the host with the most, relative to its share of the
    /// capacity, by windows of a report interval and of 1 s: the mean over the
    /// windows.
    double peak_in_report_interval = 0;
    double peak_in_second = 0;
    /// Share of the openings at host 0.
    double share_of_first = 0;
};

placement_result run_placement_trace(const placement_trace_options& options,
                                     const placement_rule& rule);

} // namespace arbutusport::emulator
