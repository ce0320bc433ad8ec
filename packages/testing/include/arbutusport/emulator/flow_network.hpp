// Simulates a small network of entry routers and flow owners in virtual time
// for the property tests and the routing benchmarks. Single-threaded.
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
    /// Probability that a packet is lost, 0..1.
    double loss = 0;
    /// Minimum time between two lost messages of one flow between the same
    /// two processes. 0 permits any loss.
    duration loss_spacing = std::chrono::milliseconds(500);
    /// Probability that a packet is duplicated, 0..1; the copy arrives up to
    /// two seconds late.
    double duplicates = 0;
    /// Range of the delay between the end of a process and its detection by
    /// the membership.
    duration min_detection_delay = std::chrono::seconds(1);
    duration max_detection_delay = std::chrono::seconds(5);
    std::size_t max_redirects = 32'768;
    flows::ownership_checks checks;
};

/// @brief Packet and flow counters as seen by the clients.
struct network_counts {
    std::uint64_t delivered = 0;
    std::uint64_t answered = 0;
    /// Packets delivered by another host than the previous one of their flow
    /// although the previous host was still alive.
    std::uint64_t broken_flows = 0;
    /// Packets delivered by a host of another service.
    std::uint64_t misrouted_packets = 0;
    /// Ownership queries, replies and placements between hosts; holder
    /// bitmaps are not counted.
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
    /// @brief Suspends the process until `until`. Packets of other processes
    /// are delivered then; datagrams of clients are lost.
    void pause(process_id id, time_point until);
    void set_accepting(process_id id, bool accepting);

    void set_loss(double share) { options_.loss = share; }

    /// @brief Installs `snapshot` in each process after a random delay of at
    /// most `max_delay`.
    void publish(const records::snapshot_ptr& snapshot, duration max_delay);

    /// @brief Sends a datagram of `flow` through a random live entry.
    void send(const flow_key& flow, service_id service);

    void run_for(duration time);

    /// @brief The live hosts that own `flow`.
    std::vector<process_id> owners(const flow_key& flow) const;
    /// @brief The number of flows owned by each live host.
    std::map<process_id, std::size_t> flow_counts() const;
    bool is_alive(process_id id) const { return processes_.contains(id); }
    /// @brief The number of responses delivered to the client of `flow`.
    std::uint64_t answers(const flow_key& flow) const;

    const network_counts& counts() const { return counts_; }

private:
    struct process;
    struct client {
        service_id service;
        // The host that received the last packet; default-constructed before
        // the first delivery.
        process_id owner;
        std::uint64_t answers = 0;
    };
    struct event {
        time_point at;
        // Orders events that have the same time.
        std::uint64_t number;
        std::function<void()> run;
        friend bool operator<(const event& a, const event& b) {
            return std::pair(a.at, a.number) > std::pair(b.at, b.number);
        }
    };

    void schedule_at(time_point time, std::function<void()> run);
    void schedule_tick(process_id id, std::uint64_t incarnation_number);
    void transmit(const endpoint& to, const wire::packet& message);
    void receive(const endpoint& to, const wire::packet& message);
    void perform_host_actions(process_id host,
                              const flows::flow_actions& actions);
    void on_delivered(process_id host, const flows::deliver& it);
    void perform_entry_action(const routing::entry_action& action);
    bool is_lost(const wire::packet& message);
    bool is_down(process_id observer, process_id id) const;
    double draw() { return std::uniform_real_distribution<>()(random_); }
    duration draw(duration low, duration high);

    network_options options_;
    std::mt19937_64 random_;
    time_point now_{std::chrono::seconds(1)};
    std::uint64_t next_event_number_ = 0;
    std::priority_queue<event> events_;
    std::unordered_map<process_id, std::unique_ptr<process>> processes_;
    std::unordered_map<endpoint, process_id> process_at_address_;
    std::vector<process_id> live_entries_;
    std::unordered_map<process_id, time_point> death_times_;
    std::unordered_map<flow_key, client> clients_;
    // Time of the last loss for each flow and pair of processes.
    std::map<std::pair<flow_key, std::uint64_t>, time_point> last_losses_;
    network_counts counts_;
};

} // namespace arbutusport::emulator
