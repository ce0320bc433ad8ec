// Simulates many config_sync objects and the platform in virtual time for the
// tests and benchmarks of the config layer.
#pragma once

#include <arbutusport/config/config_sync.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace arbutusport::emulator {

/// @brief Numbers of services, hosts, entries and data centres to generate.
struct record_sizes {
    std::size_t services = 2;
    std::size_t hosts = 9;
    std::size_t entries = 3;
    std::size_t data_centres = 3;
};

/// @brief Generates records of services, hosts and entries that are spread
/// evenly over the data centres, a key record and a fleet record of epoch 1.
/// Every revision is 1.
std::vector<records::raw_record> make_records(const record_sizes& it);

struct config_fleet_options {
    record_sizes sizes;
    std::size_t push_peer_count = 3;
    /// One-way delays within and between data centres.
    duration local_delay = std::chrono::microseconds(250);
    duration remote_delay = std::chrono::milliseconds(5);
    duration tick = std::chrono::milliseconds(100);
    std::uint64_t seed = 1;
};

struct fleet_counters {
    std::uint64_t sync_messages = 0;
    std::uint64_t sync_bytes = 0;
    std::uint64_t platform_calls = 0;
};

class config_fleet {
public:
    explicit config_fleet(const config_fleet_options& options);

    std::size_t size() const { return processes_.size(); }
    const std::string& data_centre(std::size_t i) const {
        return processes_[i].data_centre;
    }
    time_point now() const { return now_; }
    void advance(duration time);

    /// @brief Changes the drain timeout of one service and returns the new
    /// generation. Publishes a malformed record if `valid` is false.
    generation publish(std::size_t service, bool valid = true);
    generation head() const { return versions_.back().gen; }

    /// @brief While the platform is down, requests from the data centre fail
    /// after 1 s.
    void set_platform_down(const std::string& data_centre, bool down);
    /// @brief While the platform is stale, the data centre sees no generation
    /// later than the current one.
    void set_platform_stale(const std::string& data_centre, bool stale);

    /// @brief Suspends a process.
    void stop(std::size_t i);
    /// @brief Resumes a suspended process with its state intact.
    void resume(std::size_t i);
    /// @brief Replaces a process by a new one without state.
    void restart(std::size_t i);
    /// @brief Drops all messages between `members` and other processes.
    void partition(std::set<std::size_t> members);
    /// @brief Sets the probabilities that a sync message is lost or
    /// delivered twice, and its maximum additional delay.
    void set_link_faults(unsigned loss_percent, unsigned duplicate_percent,
                         duration max_extra_delay);

    /// @brief The generation that process i uses; 0.0 if it has none.
    generation in_force(std::size_t i) const;
    bool is_reader(std::size_t i) const;
    std::size_t count_in_force(generation gen) const;
    /// @brief The time at which process i last adopted a generation.
    time_point in_force_since(std::size_t i) const {
        return processes_[i].changes.empty() ? time_point{}
                                             : processes_[i].changes.back().at;
    }
    const fleet_counters& counters() const { return counters_; }
    std::uint64_t rejections(std::size_t i) const {
        return processes_[i].rejections;
    }
    /// @brief Violations of R8: a process reverted to an older generation, or
    /// a restarted one adopted an older generation than a reachable peer
    /// had.
    const std::vector<std::string>& violations() const { return violations_; }

private:
    struct version {
        generation gen;
        std::vector<records::raw_record> records;
    };
    struct change {
        time_point at;
        generation gen;
    };
    struct process {
        process_id id;
        std::string data_centre;
        endpoint control;
        std::unique_ptr<config::config_sync> sync;
        // Counts restarts. Messages to an earlier incarnation are dropped.
        std::uint64_t incarnation_number = 0;
        bool is_stopped = false;
        time_point started;
        // Time of the last start, resume, partition or link fault.
        time_point fault_free_since;
        // Adoptions by the current incarnation.
        std::vector<change> changes;
        std::uint64_t rejections = 0;
        // The generation that the pending watch has seen, and the number of
        // the last watch.
        std::optional<generation> watch_after;
        std::uint64_t watch_number = 0;
    };
    using task = std::function<void()>;

    void start(std::size_t i);
    void schedule(duration delay, task it);
    /// @brief Runs `it` unless the process has been replaced; postpones it
    /// while the process is suspended.
    void schedule_for(std::size_t i, duration delay, task it);
    void tick(std::size_t i, std::uint64_t incarnation_number);
    void perform(std::size_t i, const config::sync_actions& actions);
    void send(std::size_t from, const config::send_sync_request& it);
    void deliver(std::size_t from, std::size_t to, const bytes& request);
    void transmit(std::size_t from, std::size_t to, std::size_t size, task it);
    void watch(std::size_t i, const config::watch_head& it);
    void complete_watch(std::size_t i, std::uint64_t number);
    void fetch(std::size_t i, const config::fetch_records& it);
    void check_adoption(std::size_t i, generation gen);
    const version& visible_version(const std::string& data_centre) const;
    duration delay_between(std::size_t from, std::size_t to);

    config_fleet_options options_;
    std::mt19937_64 random_;
    time_point now_{};
    std::multimap<time_point, task> tasks_;
    std::vector<process> processes_;
    std::unordered_map<endpoint, std::size_t> index_by_control_;
    std::unordered_map<process_id, std::size_t> index_by_id_;
    std::vector<version> versions_;
    std::set<std::string> unavailable_platforms_;
    // Index of the latest version that each stale data centre sees.
    std::map<std::string, std::size_t> stale_versions_;
    std::set<std::size_t> partition_members_;
    unsigned loss_percent_ = 0;
    unsigned duplicate_percent_ = 0;
    duration max_extra_delay_{};
    fleet_counters counters_;
    std::vector<std::string> violations_;
};

} // namespace arbutusport::emulator
