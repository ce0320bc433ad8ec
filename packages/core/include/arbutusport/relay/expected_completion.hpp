// Compares the hosts of a service by what they still have to do and by their
// speed, from the work that host processes report. A long flow stays at its
// host, so the number of flows counts in proportion to the host's capacity.
#pragma once

#include <arbutusport/relay/placement.hpp>

#include <span>

namespace arbutusport::relay {

struct completion_estimate {
    /// Rank of the host, in requests per slot of a host of usual speed, with
    /// the penalties of the options. The lowest is best.
    double load = 0;
    /// Relative to the service's usual host; 1 if it is not known.
    double speed = 1;
    /// Expected time until the first request of a new flow is complete; zero if
    /// no work is reported.
    duration completion{};
};

/// @brief Estimates for the hosts of one service. Without reports of work from
/// two hosts the load is a count of requests and flows.
class completion_estimator {
public:
    completion_estimator(std::span<const candidate> hosts,
                         const placement_options& options);

    completion_estimate estimate(const candidate& it) const;

private:
    bool is_implausible(const candidate& it) const;
    double requests_of(const candidate& it) const;
    double speed_of(const candidate& it) const;
    double placed_requests(const candidate& it) const;
    double distance(const candidate& it, double slots) const;
    double work_left_s(const candidate& it, double service_s) const;

    const placement_options& options_;
    /// Median of the hosts' mean service times, in seconds; 0 if fewer than
    /// two hosts are measured.
    double usual_service_s_ = 0;
    /// Requests in progress per flow at a host of usual speed.
    double flow_load_ = 0;
};

} // namespace arbutusport::relay
