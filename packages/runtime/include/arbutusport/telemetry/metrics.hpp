// Counters, gauges and latency statistics of one process, and their text
// exposition format for metrics collectors.
#pragma once

#include <arbutusport/base/time.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace arbutusport::telemetry {

using counter = std::atomic<std::uint64_t>;

/// @brief Latency quantiles in milliseconds, estimated by the P-square
/// algorithm in constant memory. Thread-safe.
class latency_statistics {
public:
    struct summary {
        std::uint64_t count = 0;
        double mean_ms = 0;
        double median_ms = 0;
        double p90_ms = 0;
        double p99_ms = 0;
        double max_ms = 0;
    };

    latency_statistics();
    void add(duration latency);
    summary read() const;

private:
    using set = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<
            boost::accumulators::tag::count, boost::accumulators::tag::mean,
            boost::accumulators::tag::max,
            boost::accumulators::tag::extended_p_square>>;

    mutable std::mutex mutex_;
    set accumulators_;
};

/// @brief The metrics of a process. Returned references stay valid for its
/// lifetime, so packet paths look up a counter only once.
class metrics {
public:
    using labels = std::vector<std::pair<std::string, std::string>>;

    /// @brief Returns a counter. Labels with an empty value are omitted. Label
    /// values are fixed names in the code, so their number is bounded.
    counter& count(const std::string& name, const labels& series_labels = {});
    /// @brief Sets the help text of a metric of any kind.
    void describe(const std::string& name, const std::string& help);
    /// @brief Returns arbutus_drops_total for a reason. Reasons are fixed names
    /// in the code, so their number is bounded.
    counter& drop_counter(const std::string& reason);
    /// @brief Registers a gauge. Each text() calls `read`, which must be
    /// thread-safe.
    void add_gauge(const std::string& name, std::function<double()> read);
    latency_statistics& latency(const std::string& name);

    std::map<std::string, std::uint64_t> drops_by_reason() const;

    /// @brief Returns all metrics, one "name{labels} value" line each, with
    /// "# TYPE" lines and with "# HELP" lines for described metrics.
    std::string text() const;

private:
    template <class Value>
    using by_name = std::map<std::string, std::unique_ptr<Value>>;

    void write_metadata(std::ostream& out, const std::string& name,
                        const char* type) const;

    mutable std::mutex mutex_;
    std::map<std::string, std::string> help_;
    // By metric name, then by labels as text.
    std::map<std::string, by_name<counter>> counters_;
    by_name<counter> drops_;
    std::map<std::string, std::function<double()>> gauges_;
    by_name<latency_statistics> latencies_;
};

} // namespace arbutusport::telemetry
