// Load models of the requests layer: overload, shedding, and cost.
#pragma once

#include <cstddef>
#include <cstdint>

namespace arbutusport::emulator {

struct load_options {
    std::uint64_t seed = 1;
    /// Arrivals relative to what the upstream's slots can serve.
    double load = 1;
};

struct load_result {
    std::size_t requests = 0;
    std::size_t refused = 0;
    /// Answers within the deadline, relative to capacity.
    double goodput_ratio = 0;
};

/// @brief One host with its broker, a minute of virtual time.
load_result run_load(const load_options& options);

/// @brief The same arrivals at an upstream with a queue of any length; each
/// client gives up after the deadline and tries again, at most 3 times. An
/// answer counts if it meets the deadline of the try that it belongs to.
load_result run_naive_load(const load_options& options);

struct retry_result {
    std::size_t requests = 0;
    std::size_t served_elsewhere = 0;
    /// Tries at upstreams for each request.
    double amplification = 0;
};

/// @brief Seven hosts at half load, of which one sheds every request.
retry_result run_retries(std::uint64_t seed, double retry_ratio);

/// @brief The same with clients that repeat each shed request at its host at
/// once, at most 3 times.
retry_result run_naive_retries(std::uint64_t seed);

struct broker_cost {
    std::size_t requests = 0;
    double us_per_request = 0;
    /// The codec's share: parsing and serialising the same datagrams.
    double us_codec = 0;
    /// Each session has one observation and one finished write.
    double bytes_per_session = 0;
    double bytes_session_only = 0;
};

/// @brief Real time and heap of one broker with open sessions.
broker_cost measure_broker(std::uint64_t seed, std::size_t sessions);

} // namespace arbutusport::emulator
