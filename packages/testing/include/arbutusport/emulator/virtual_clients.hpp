// Simulated load clients of a scenario in virtual time.
#pragma once

#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/emulator/load_client.hpp>
#include <arbutusport/emulator/scenario.hpp>
#include <arbutusport/emulator/virtual_time.hpp>

#include <boost/random/mersenne_twister.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace arbutusport::emulator {

class virtual_clients {
public:
    using send_function =
        std::function<void(const flow_key& flow, const bytes& datagram)>;

    virtual_clients(std::uint64_t seed, virtual_time& clock,
                    send_function send);

    /// @brief Adds clients named "<service>-client-<n>" that start now.
    void add(const load_options& load, const endpoint& service);
    void on_datagram(const flow_key& flow, const bytes& datagram);
    /// @brief Moves matching clients to new source ports; datagrams for the old
    /// ports are lost. Returns the number of matching clients.
    std::size_t rebind(const std::string& pattern);
    void stop();

    history events() const;
    client_counters totals() const;
    /// @brief Number of broken flows of the clients of one service.
    std::uint64_t broken_flows(const std::string& service) const;
    std::size_t open() const;
    /// @brief 99th percentile of the latency of all answers, in ms.
    double p99_latency_ms() const;

private:
    struct client {
        std::string name;
        load_options load;
        flow_key flow;
        std::unique_ptr<load_client> state;
    };

    void act(client& it);
    void tick(client& it);
    void send(const client& it, const std::vector<bytes>& datagrams);

    virtual_time& clock_;
    send_function send_;
    boost::random::mt19937_64 random_;
    std::vector<std::unique_ptr<client>> clients_;
    std::map<endpoint, client*> by_endpoint_;
    std::uint16_t next_port_ = 1024;
    bool stopped_ = false;
};

} // namespace arbutusport::emulator
