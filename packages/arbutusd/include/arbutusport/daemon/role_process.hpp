// Interface of a running process, independent of its role.
#pragma once

#include <arbutusport/base/error.hpp>
#include <arbutusport/settings/settings.hpp>

#include <memory>

namespace arbutusport::daemon {

class role_process {
public:
    virtual ~role_process() = default;

    /// @brief Starts a graceful shutdown; called once.
    virtual void begin_stop() = 0;
    /// @brief True when the graceful shutdown is complete.
    virtual bool stopped() const = 0;
};

/// @brief Opens the sockets and starts the threads of a process.
result<std::unique_ptr<role_process>>
start_entry(const settings::process_settings& settings);
result<std::unique_ptr<role_process>>
start_host(const settings::process_settings& settings);

} // namespace arbutusport::daemon
