// Bounded queue of the requests that wait for a free upstream slot.
#pragma once

#include <arbutusport/base/time.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/rolling_mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace arbutusport::requests {

/// @brief A request that waits for a slot. `source` is the client's session or
/// the peer that sent the request; sources are served round-robin.
struct queued_request {
    std::uint64_t job = 0;
    std::uint64_t source = 0;
    time_point deadline;
};

/// @brief Serves sources round-robin, and within a round the earliest deadline
/// first.
class admission_queue {
public:
    explicit admission_queue(std::size_t max_requests)
        : max_requests_(max_requests) {}

    /// @brief Applies to requests pushed from now on; queued ones are kept.
    void set_limit(std::size_t max_requests) { max_requests_ = max_requests; }

    /// @brief Adds a request. If the queue is full and another source has at
    /// least two requests more, its request with the latest deadline is
    /// evicted. Returns the rejected job: that one, the new one, or none.
    std::optional<std::uint64_t> push(const queued_request& request);
    /// @brief Removes and returns the next request; empty if there is none.
    std::optional<queued_request> pop();
    bool erase(std::uint64_t job);
    /// @brief Number of queued requests that would be served before this one.
    std::size_t count_ahead_of(const queued_request& request) const;

    std::size_t size() const { return requests_.size(); }

private:
    std::uint64_t next_round_of(std::uint64_t source) const;
    std::size_t count_of_source(std::uint64_t source) const;

    std::size_t max_requests_;
    // Sorted by deadline; at most max_requests_ elements, so that linear scans
    // are cheap.
    std::vector<queued_request> requests_;
    std::uint64_t current_round_ = 0;
    // Next round of each source that was served in the current round or a
    // later one; an absent source may be served in the current round.
    std::map<std::uint64_t, std::uint64_t> next_rounds_;
};

/// @brief Rolling mean of the time that the upstream took for its last
/// requests.
class service_time {
public:
    service_time();

    void record(duration taken);
    /// @brief Zero until the first record.
    duration mean() const;

private:
    using accumulator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::rolling_mean>>;

    accumulator samples_;
};

} // namespace arbutusport::requests
