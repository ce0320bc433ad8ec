// A small deployment of real processes on one loopback address, for tests.
#pragma once

#include <arbutusport/emulator/history_checker.hpp>
#include <arbutusport/emulator/load_generator.hpp>
#include <arbutusport/emulator/plan.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace arbutusport::emulator {

/// @brief What a load run ended with.
struct load_result {
    load_summary summary;
    std::vector<violation> violations;
};

/// @brief Starts every process of a plan and ends those, and only those, by
/// process id when it is destroyed. Its files go to a directory of its own,
/// which is kept if a test fails (see keep_files()).
class deployment {
public:
    /// @brief Directory, address and programs of `options` are set here.
    /// Throws std::runtime_error if a process does not become ready.
    explicit deployment(plan_options options = {});
    ~deployment();

    const plan& layout() const;
    const std::string& directory() const;

    /// @brief Sends a signal to a process by its planned name.
    void signal(const std::string& name, int number);
    /// @brief SIGKILL, and waits for the end.
    void kill(const std::string& name);
    /// @brief Starts a process that has ended, on the same addresses.
    void restart(const std::string& name);
    bool is_running(const std::string& name) const;
    /// @brief The operating system's id of a running process.
    int pid_of(const std::string& name);

    /// @brief The entries to which the fabric sends, by name.
    void set_entries(const std::vector<std::string>& names);
    /// @brief "up", "down", "hang", "stale" or "slow", for every reader or
    /// for those of one data centre.
    void set_platform(const std::string& mode,
                      const std::string& data_centre = {});
    /// @brief Returns the platform's new generation, as "epoch.revision".
    std::string publish(const std::string& key, const std::string& record);
    /// @brief Publishes the host as draining and notes it in its history.
    void drain(const std::string& service, const std::string& host);

    /// @brief Starts load on every service in the background. Services of
    /// `settings` and short time-outs are set here.
    void start_load(load_settings settings);
    /// @brief Waits for the load's end and judges all histories.
    load_result finish_load();

    /// @brief Leaves the directory when destroyed.
    void keep_files();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace arbutusport::emulator
