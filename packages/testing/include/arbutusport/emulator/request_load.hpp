// Load models of the requests layer: overload, shedding, and cost.
#pragma once

#include <cstddef>
#include <cstdint>

namespace arbutusport::emulator {

struct load_options {
    std::uint64_t seed = 1;
    /// Arrival rate relative to the capacity of the upstream's slots.
    double load = 1;
};

struct load_result {
    std::size_t requests = 0;
    std::size_t refused = 0;
    /// Answers within the deadline relative to capacity.
    double goodput_ratio = 0;
};

/// @brief Simulates one host with its broker for one minute of virtual time.
load_result run_load(const load_options& options);

/// @brief The same arrivals at an upstream with an unbounded queue. Each client
/// retries after the deadline, at most 3 times. An answer counts if it meets
/// the deadline of its own attempt.
load_result run_naive_load(const load_options& options);

struct retry_result {
    std::size_t requests = 0;
    std::size_t served_elsewhere = 0;
    /// Attempts at upstreams for each request.
    double amplification = 0;
};

/// @brief Simulates seven hosts at half load; one of them sheds every request.
retry_result run_retries(std::uint64_t seed, double retry_ratio);

/// @brief The same load with clients that retry each shed request at the same
/// host immediately, at most 3 times.
retry_result run_naive_retries(std::uint64_t seed);

struct broker_cost {
    std::size_t requests = 0;
    double us_per_request = 0;
    /// Part of the time for parsing and serialising the same datagrams.
    double us_codec = 0;
    /// Heap for a session with one observation and one finished write.
    double bytes_per_session = 0;
    double bytes_session_only = 0;
};

/// @brief Measures real time and heap of one broker with open sessions.
broker_cost measure_broker(std::uint64_t seed, std::size_t sessions);

} // namespace arbutusport::emulator
