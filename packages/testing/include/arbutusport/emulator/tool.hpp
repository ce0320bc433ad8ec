// Shared parts of the tools' main functions: command line, signals, and a clock
// that all processes of a machine share.
#pragma once

#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/base/time.hpp>

#include <boost/program_options.hpp>

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace arbutusport::emulator {

/// @brief Reads CLOCK_MONOTONIC, so that histories of several processes can be
/// merged.
time_point monotonic_now();

/// @brief Blocks SIGTERM, SIGINT and SIGUSR1, and starts the time limit.
/// Must exist before the process starts threads, which inherit the mask.
class tool_lifetime {
public:
    explicit tool_lifetime(std::chrono::seconds limit);

    /// @brief Returns on SIGTERM, on SIGINT or at the limit. SIGUSR1 calls
    /// `on_usr1`, if set.
    void wait(const std::function<void()>& on_usr1 = {}) const;

    /// @brief True if wait() would return within `timeout`.
    bool stopped(std::chrono::milliseconds timeout) const;

private:
    time_point end_;
};

/// @brief Parses the command line into `values`. Returns false, with the
/// exit status in `status`, if the program must exit (help or an error).
bool parse_command_line(int argc, char** argv,
                        const boost::program_options::options_description& all,
                        boost::program_options::variables_map& values,
                        int& status);

/// @brief Parses the command line and calls `run`. Returns the exit status:
/// 0, 1 if `run` throws, 2 if the command line is wrong.
int run_tool(int argc, char** argv,
             const boost::program_options::options_description& all,
             const std::function<void()>& run);

/// @brief Parses a loopback endpoint; throws
/// boost::program_options::error if `text` is not one.
endpoint loopback_endpoint(const std::string& text);
std::vector<endpoint> loopback_endpoints(const std::vector<std::string>& texts);

} // namespace arbutusport::emulator
