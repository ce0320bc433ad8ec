// A small network of entry routers and flow owners in virtual time. Serves
// the property tests and the routing figures; it runs in one thread.
#pragma once

#include <arbutusport/flows/flow_owner.hpp>
#include <arbutusport/routing/entry_router.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace arbutusport::emulator {

struct network_options {
    std::uint64_t seed = 1;
    duration min_delay = std::chrono::microseconds(500);
    duration max_delay = std::chrono::milliseconds(5);
    /// Share of packets that are lost.
    double loss = 0;
    /// No second message of a flow between the same two hosts is lost within
    /// this time of the first. 0: losses are not bounded.
    duration loss_spacing = std::chrono::milliseconds(500);
    /// Share of packets of which a copy arrives, up to two seconds late.
    double duplicates = 0;
    /// The membership reports a death between these times after it.
    duration min_detection = std::chrono::seconds(1);
    duration max_detection = std::chrono::seconds(5);
    std::size_t max_redirects = 32'768;
    flows::ownership_checks checks;
};

/// @brief What clients saw.
struct network_counts {
    std::uint64_t delivered = 0;
    std::uint64_t answered = 0;
    /// A packet reached a live host that is not the flow's, while the host
    /// that had the flow was alive.
    std::uint64_t broken_flows = 0;
    /// A packet was delivered by a host of another service.
    std::uint64_t misrouted_packets = 0;
    /// Messages between hosts about ownership, holders apart.
    std::uint64_t ownership_messages = 0;
    std::map<std::string, std::uint64_t> drops;
};

class flow_network {
public:
    explicit flow_network(const network_options& options);
    ~flow_network();

    time_point now() const { return now_; }

    void add_entry(const records::entry& it);
    void add_host(const records::host& it, service_id service);
    void kill(process_id id);
    /// @brief The process handles nothing until `until`.
    void pause(process_id id, time_point until);
    void set_accepting(process_id id, bool accepting);

    void set_loss(double share) { options_.loss = share; }

    /// @brief Each process adopts `snapshot` after up to `max_delay`.
    void publish(const records::snapshot_ptr& snapshot, duration max_delay);

    /// @brief The client of `flow` sends a datagram by any live entry.
    void send(const flow_key& flow, service_id service);

    void run_for(duration time);

    /// @brief Live hosts that own the flow.
    std::vector<process_id> owners(const flow_key& flow) const;
    /// @brief Flows owned by each live host.
    std::map<process_id, std::size_t> flow_counts() const;
    bool is_alive(process_id id) const { return processes_.contains(id); }
    /// @brief Answers that arrived at the client of `flow`.
    std::uint64_t answers(const flow_key& flow) const;

    const network_counts& counts() const { return counts_; }

private:
    struct process;
    struct client {
        service_id service;
        // Where the flow was last delivered; no value before that.
        process_id owner;
        std::uint64_t answers = 0;
    };
    struct event {
        time_point at;
        // Keeps events of the same time in order.
        std::uint64_t number;
        std::function<void()> run;
        friend bool operator<(const event& a, const event& b) {
            return std::pair(a.at, a.number) > std::pair(b.at, b.number);
        }
    };

    void at(time_point time, std::function<void()> run);
    void schedule_tick(process_id id, std::uint64_t life);
    void transmit(const endpoint& to, const wire::packet& message);
    void receive(const endpoint& to, const wire::packet& message);
    void perform(process_id host, const flows::flow_actions& actions);
    void on_delivered(process_id host, const flows::deliver& it);
    void act(const routing::entry_action& action);
    bool is_lost(const wire::packet& message);
    bool is_down(process_id observer, process_id id) const;
    double draw() { return std::uniform_real_distribution<>()(random_); }
    duration draw(duration low, duration high);

    network_options options_;
    std::mt19937_64 random_;
    time_point now_{std::chrono::seconds(1)};
    std::uint64_t next_number_ = 0;
    std::priority_queue<event> events_;
    std::unordered_map<process_id, std::unique_ptr<process>> processes_;
    std::unordered_map<endpoint, process_id> by_address_;
    std::vector<process_id> live_entries_;
    std::unordered_map<process_id, time_point> died_;
    std::unordered_map<flow_key, client> clients_;
    // Last loss by flow and pair of processes.
    std::map<std::pair<flow_key, std::uint64_t>, time_point> losses_;
    network_counts counts_;
};

} // namespace arbutusport::emulator
