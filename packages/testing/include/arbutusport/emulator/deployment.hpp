// Runs a small deployment of real processes on one loopback address in tests.
#pragma once

#include <arbutusport/emulator/history_checker.hpp>
#include <arbutusport/emulator/load_generator.hpp>
#include <arbutusport/emulator/plan.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace arbutusport::emulator {

/// @brief Summary and violations of a load run.
struct load_result {
    load_summary summary;
    std::vector<violation> violations;
};

/// @brief Starts the processes of a plan. The destructor terminates them by
/// process id and removes their directory, unless keep_files() was called.
class deployment {
public:
    /// @brief Replaces the directory, address and programs of `options`.
    /// Throws std::runtime_error if a process does not become ready.
    explicit deployment(plan_options options = {});
    ~deployment();

    const plan& layout() const;
    const std::string& directory() const;

    /// @brief Sends a signal to the process with this name in the plan.
    void signal(const std::string& name, int number);
    /// @brief Sends SIGKILL and waits for the process to end.
    void kill(const std::string& name);
    /// @brief Starts an ended process again with the same addresses.
    void restart(const std::string& name);
    bool is_running(const std::string& name) const;
    /// @brief The process id of a running process.
    int pid_of(const std::string& name);

    /// @brief Sets the entries, by name, to which the fabric sends.
    void set_entries(const std::vector<std::string>& names);
    /// @brief Sets the mode "up", "down", "hang", "stale" or "slow" for all
    /// readers or for those of one data centre.
    void set_platform(const std::string& mode,
                      const std::string& data_centre = {});
    /// @brief Publishes a record and returns the new generation as
    /// "epoch.revision".
    std::string publish(const std::string& key, const std::string& record);
    /// @brief Publishes the host as draining and records this in the history of
    /// its upstream.
    void drain(const std::string& service, const std::string& host);

    /// @brief Starts load on every service in the background. Replaces the
    /// services of `settings` and sets short timeouts.
    void start_load(load_settings settings);
    /// @brief Waits for the end of the load and checks all histories.
    load_result finish_load();

    /// @brief Keeps the directory after destruction, for failed tests.
    void keep_files();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace arbutusport::emulator
