// The bounded queue in front of an upstream's slots.
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

/// @brief `source` is the session, or the peer that asks; requests of one
/// source take turns with those of the others.
struct queued_request {
    std::uint64_t job = 0;
    std::uint64_t source = 0;
    time_point deadline;
};

/// @brief Serves sources in turn, and within a turn the earliest deadline
/// first.
class admission_queue {
public:
    explicit admission_queue(std::size_t max_requests) : max_(max_requests) {}

    /// @brief Holds for requests that come from now on.
    void set_limit(std::size_t max_requests) { max_ = max_requests; }

    /// @brief Admits the request, if need be in place of the latest request
    /// of the source that fills the queue. Returns the job that is refused
    /// instead: that one, the new one, or none.
    std::optional<std::uint64_t> push(const queued_request& it);
    /// @brief The next request, or empty.
    std::optional<queued_request> pop();
    bool erase(std::uint64_t job);
    /// @brief How many requests would be served before this one.
    std::size_t ahead_of(const queued_request& it) const;

    std::size_t size() const { return requests_.size(); }

private:
    std::uint64_t turn_of(std::uint64_t source) const;
    std::size_t count_of(std::uint64_t source) const;

    std::size_t max_;
    // Sorted by deadline; at most max_ elements, so that scans are cheap.
    std::vector<queued_request> requests_;
    std::uint64_t turn_ = 0;
    // Next turn of each source that has been served in the current turn or
    // is ahead of it; absent means the current turn.
    std::map<std::uint64_t, std::uint64_t> next_turns_;
};

/// @brief Mean time that the upstream took for the last requests.
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

    accumulator us_;
};

} // namespace arbutusport::requests
