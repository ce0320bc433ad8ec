// Drives many load clients over UDP sockets at a given rate.
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
    /// Clients of each service; each has a socket, hence a flow.
    std::size_t clients = 20;
    /// Requests a second to each service.
    double rate = 50;
    duration length = std::chrono::seconds(10);
    /// Share of contributions among the requests; the rest are texts.
    double contributions = 0.7;
    /// Share of the texts that are large.
    double large_texts = 0.02;
    /// Share of the clients that observe deadlines.
    double observers = 0.2;
    /// A client has at most so many requests open; more load waits.
    std::size_t max_open = 2;
    /// This share of the clients changes its source port at `rebind_at`.
    double rebind = 0;
    duration rebind_at = std::chrono::seconds(5);
    /// Name, service and seed of the template are replaced.
    client_options client;
    /// Precedes each client's name.
    std::string prefix = "load";
    std::uint64_t seed = 1;
};

struct load_summary {
    client_counters total;
    duration p50{};
    duration p99{};
    /// Requests that the rate asked for while every client was busy.
    std::uint64_t held_back = 0;
};

/// @brief key=value pairs in one line.
std::string to_string(const load_summary& it);

class load_generator {
public:
    explicit load_generator(load_settings settings);
    ~load_generator();

    /// @brief Returns when every request has an outcome, or at once after
    /// `is_stopped` returned true.
    void run(const std::function<bool()>& is_stopped);

    load_summary summary() const;
    history events() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace arbutusport::emulator
