// Counters, gauges and latency statistics of one process, and their text
// form for collectors.
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

/// @brief Quantiles in milliseconds; estimated by the P-square algorithm in
/// constant memory. Thread-safe.
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
    set set_;
};

/// @brief The metrics of a process. References that it returns stay valid for
/// its lifetime, so packet paths look a counter up once.
class metrics {
public:
    using labels = std::vector<std::pair<std::string, std::string>>;

    /// @brief Labels with an empty value are left out. Values are fixed names
    /// in the code, so that their number is bounded.
    counter& count(const std::string& name, const labels& of = {});
    /// @brief The help text of a metric of any kind.
    void describe(const std::string& name, const std::string& help);
    /// @brief arbutus_drops_total by reason. Reasons are fixed names in the
    /// code, so their number is bounded.
    counter& drops(const std::string& reason);
    /// @brief `read` is called for each text() and must be thread-safe.
    void gauge(const std::string& name, std::function<double()> read);
    latency_statistics& latency(const std::string& name);

    std::map<std::string, std::uint64_t> drops_by_reason() const;

    /// @brief One "name{labels} value" line each, with "# TYPE" lines and
    /// "# HELP" lines where a text was given.
    std::string text() const;

private:
    template <class Value>
    using by_name = std::map<std::string, std::unique_ptr<Value>>;

    void write_head(std::ostream& out, const std::string& name,
                    const char* type) const;

    mutable std::mutex mutex_;
    std::map<std::string, std::string> help_;
    // By name and its labels as text.
    std::map<std::string, by_name<counter>> counters_;
    by_name<counter> drops_;
    std::map<std::string, std::function<double()>> gauges_;
    by_name<latency_statistics> latencies_;
};

} // namespace arbutusport::telemetry
