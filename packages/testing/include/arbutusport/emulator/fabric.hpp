// Simulates the network fabric that distributes client packets over the
// entries.
#pragma once

#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/base/time.hpp>
#include <arbutusport/emulator/http.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace arbutusport::emulator {

/// @brief Loss, duplication and delay of datagrams in both directions.
struct path_quality {
    /// Probabilities, 0..1.
    double loss = 0;
    double duplicate = 0;
    duration delay{};
    /// Maximum of an additional delay with uniform distribution.
    duration jitter{};
};

struct fabric_options {
    /// Addresses to which clients send.
    std::vector<endpoint> services;
    /// Address to which entries send responses.
    endpoint listen;
    std::vector<endpoint> entries;
    path_quality quality;
    std::uint64_t seed = 1;
};

class fabric {
public:
    /// @brief Binds the sockets. Throws Poco::Exception if an address is in
    /// use.
    explicit fabric(fabric_options options);
    ~fabric();

    /// @brief Waits at most `timeout` for datagrams, then sends those whose
    /// delay has passed.
    void step(duration timeout);

    /// @brief POST /admin/fabric changes "loss", "duplicate", "delay_ms",
    /// "jitter_ms", "entries" [ip:port] and "cut" [ip:port]; cut entries
    /// are still selected but unreachable. GET returns the counters. May
    /// be called from another thread than step().
    http_answer on_admin(const http_call& call);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace arbutusport::emulator
