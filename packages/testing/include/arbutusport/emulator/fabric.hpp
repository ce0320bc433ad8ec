// Stand-in for the fabric that sprays clients' packets over the entries.
#pragma once

#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/base/time.hpp>
#include <arbutusport/emulator/http.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace arbutusport::emulator {

/// @brief What the fabric does to each datagram, in both directions.
struct path_quality {
    /// Ratios in 0..1.
    double loss = 0;
    double duplicate = 0;
    duration delay{};
    /// Added to the delay, uniform from zero.
    duration jitter{};
};

struct fabric_options {
    /// Where clients send to.
    std::vector<endpoint> services;
    /// Where entries send answers to.
    endpoint listen;
    std::vector<endpoint> entries;
    path_quality quality;
    std::uint64_t seed = 1;
};

class fabric {
public:
    /// @brief Binds the sockets; throws Poco::Exception if one is taken.
    explicit fabric(fabric_options options);
    ~fabric();

    /// @brief Receives for at most `timeout` and sends what is due.
    void step(duration timeout);

    /// @brief POST /admin/fabric changes "loss", "duplicate", "delay_ms",
    /// "jitter_ms", "entries" [ip:port] and "cut" [ip:port]: entries that
    /// are still chosen but unreachable. GET gives the counters. May be
    /// called from another thread than step().
    http_answer on_admin(const http_call& call);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace arbutusport::emulator
