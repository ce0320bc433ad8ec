// Runs many load clients over UDP sockets at a given request rate.
#pragma once

#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/emulator/load_client.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace arbutusport::emulator {

struct service_target {
    std::string name;
    endpoint address;
};

struct load_settings {
    std::vector<service_target> services;
    /// Number of clients per service. Each has its own socket and flow.
    std::size_t clients = 20;
    /// Requests per second to each service.
    double rate = 50;
    duration length = std::chrono::seconds(10);
    /// Share of contributions among the requests; the others read texts.
    double contributions = 0.7;
    /// Share of large texts among the texts read.
    double large_texts = 0.02;
    /// Share of the clients that observe deadlines.
    double observers = 0.2;
    /// Maximum number of open requests per client. A request that is due
    /// while all clients have reached it is not sent.
    std::size_t max_open = 2;
    /// Share of the clients that change their source port at `rebind_at`.
    double rebind = 0;
    duration rebind_at = std::chrono::seconds(5);
    /// Options of each client; name, service and seed are replaced.
    client_options client;
    /// Prefix of the client names.
    std::string prefix = "load";
    std::uint64_t seed = 1;
};

struct load_summary {
    client_counters total;
    duration p50{};
    duration p99{};
    /// Requests that were due but not sent because every client had
    /// `max_open` open requests.
    std::uint64_t held_back = 0;
};

/// @brief Returns key=value pairs in one line.
std::string to_string(const load_summary& it);

class load_generator {
public:
    explicit load_generator(load_settings settings);
    ~load_generator();

    /// @brief Sends requests for the configured time and returns when all have
    /// an outcome, or as soon as `is_stopped` returns true.
    void run(const std::function<bool()>& is_stopped);

    load_summary summary() const;
    history events() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace arbutusport::emulator
