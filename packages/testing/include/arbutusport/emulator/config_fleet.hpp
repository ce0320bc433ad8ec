// Many config_sync objects and a platform in virtual time, for tests and
// figures of the config layer.
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

/// @brief Sizes of a generated set of records.
struct record_sizes {
    std::size_t services = 2;
    std::size_t hosts = 9;
    std::size_t entries = 3;
    std::size_t data_centres = 3;
};

/// @brief Services, hosts and entries spread evenly over the data centres,
/// with keys and a fleet record of epoch 1; every revision is 1.
std::vector<records::raw_record> make_records(const record_sizes& it);

struct config_fleet_options {
    record_sizes sizes;
    std::size_t push_peer_count = 3;
    /// One-way delays within and between data centres.
    duration near_delay = std::chrono::microseconds(250);
    duration far_delay = std::chrono::milliseconds(5);
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

    /// @brief Changes the drain time-out of one service; the store gives the
    /// new generation. `valid` false publishes a malformed record.
    generation publish(std::size_t service, bool valid = true);
    generation head() const { return versions_.back().gen; }

    /// @brief Readers of the data centre see errors after 1 s.
    void set_platform_down(const std::string& data_centre, bool down);
    /// @brief Readers of the data centre see no later generation than now.
    void set_platform_stale(const std::string& data_centre, bool stale);

    void stop(std::size_t i);
    /// @brief Resumes a stopped process in its state.
    void resume(std::size_t i);
    /// @brief Replaces a process by a fresh one.
    void restart(std::size_t i);
    /// @brief Messages between members and others are lost.
    void partition(std::set<std::size_t> members);
    /// @brief Chances in percent that a sync message is lost or delivered
    /// twice, and the greatest additional delay of each.
    void disturb(unsigned lost, unsigned doubled, duration delay);

    /// @brief 0.0 if none is in force.
    generation in_force(std::size_t i) const;
    bool is_reader(std::size_t i) const;
    std::size_t count_in_force(generation gen) const;
    /// @brief Time at which process i last put a generation in force.
    time_point in_force_since(std::size_t i) const {
        return processes_[i].changes.empty() ? time_point{}
                                             : processes_[i].changes.back().at;
    }
    const fleet_counters& counters() const { return counters_; }
    std::uint64_t refusals(std::size_t i) const {
        return processes_[i].refusals;
    }
    /// @brief Departures from R8 that were seen: a process that went back,
    /// or a fresh one that served an older set than a reachable peer.
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
        // Counts restarts; what was sent to an older run is dropped.
        std::uint64_t run = 0;
        bool is_stopped = false;
        time_point started;
        // Since the last start, resume, partition or disturbance.
        time_point undisturbed_since;
        // Of this run.
        std::vector<change> changes;
        std::uint64_t refusals = 0;
        // The generation after which a watch waits, and its number.
        std::optional<generation> watch;
        std::uint64_t read_number = 0;
    };
    using task = std::function<void()>;

    void start(std::size_t i);
    void schedule(duration delay, task it);
    /// @brief Runs `it` unless the process has been replaced; waits while it
    /// is stopped.
    void schedule_for(std::size_t i, duration delay, task it);
    void tick(std::size_t i, std::uint64_t run);
    void carry_out(std::size_t i, const config::sync_actions& actions);
    void send(std::size_t from, const config::send_sync_request& it);
    void deliver(std::size_t from, std::size_t to, const bytes& request);
    void transmit(std::size_t from, std::size_t to, std::size_t size, task it);
    void watch(std::size_t i, const config::watch_head& it);
    void answer_watch(std::size_t i, std::uint64_t number);
    void fetch(std::size_t i, const config::fetch_records& it);
    void check(std::size_t i, generation gen);
    const version& visible(const std::string& data_centre) const;
    duration delay_between(std::size_t from, std::size_t to);

    config_fleet_options options_;
    std::mt19937_64 random_;
    time_point now_{};
    std::multimap<time_point, task> tasks_;
    std::vector<process> processes_;
    std::unordered_map<endpoint, std::size_t> by_control_;
    std::unordered_map<process_id, std::size_t> by_id_;
    std::vector<version> versions_;
    std::set<std::string> down_;
    // Index of the last version that readers of the data centre see.
    std::map<std::string, std::size_t> stale_;
    std::set<std::size_t> side_;
    unsigned lost_ = 0;
    unsigned doubled_ = 0;
    duration extra_delay_{};
    fleet_counters counters_;
    std::vector<std::string> violations_;
};

} // namespace arbutusport::emulator
