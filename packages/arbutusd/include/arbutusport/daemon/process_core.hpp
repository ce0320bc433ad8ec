// The parts that both roles share: event loop, control and platform
// connections, telemetry, and execution of a node's outputs.
#pragma once

#include <arbutusport/adapters/control_channel.hpp>
#include <arbutusport/adapters/http_server.hpp>
#include <arbutusport/adapters/log.hpp>
#include <arbutusport/adapters/platform_client.hpp>
#include <arbutusport/daemon/event_loop.hpp>
#include <arbutusport/daemon/packet_port.hpp>
#include <arbutusport/node/control_plane.hpp>
#include <arbutusport/node/outputs.hpp>
#include <arbutusport/settings/settings.hpp>
#include <arbutusport/telemetry/metrics.hpp>
#include <arbutusport/telemetry/slo_burn.hpp>
#include <arbutusport/telemetry/status.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace arbutusport::daemon {

/// @brief Callbacks of a role. All are called on the loop's thread.
struct role_hooks {
    /// The node's control plane; outlives the core's threads.
    node::control_plane* control = nullptr;
    std::function<node::outputs(time_point)> on_tick;
    std::function<node::outputs(const std::vector<node::listed_instance>&,
                                time_point)>
        on_instances;
    /// Called for each output after the core has executed it, for the parts
    /// that are specific to the role.
    std::function<void(node::output&, time_point)> on_role_output;
    std::function<void(telemetry::status_report&)> fill_status;
    /// Called once per second.
    std::function<void(time_point)> on_second;
};

class process_core {
public:
    process_core(settings::process_settings settings,
                 adapters::udp_socket packets);
    ~process_core();

    const settings::process_settings& settings() const { return settings_; }
    /// @brief Seeds from the settings other than this process.
    std::vector<endpoint> other_seeds() const;
    process_id self() const { return self_; }
    incarnation run() const { return run_; }
    packet_port& port() { return port_; }
    event_loop& loop() { return loop_; }
    telemetry::metrics& metrics() { return metrics_; }

    /// @brief Opens the control and HTTP endpoints and starts the loop.
    result<void> start(role_hooks hooks);
    /// @brief Stops all threads of the core. After that the node can be
    /// destroyed.
    void stop();

    /// @brief Executes outputs. Loop thread only.
    void execute(node::outputs outputs, time_point now);
    /// @brief Counts dropped packets and logs them at a limited rate.
    /// Thread-safe.
    void count_drop(const std::string& reason, const std::string& peer,
                    std::uint64_t n = 1);
    /// @brief Counts events for the SLO report. Thread-safe.
    void count_objective(telemetry::objective which, std::uint64_t good,
                         std::uint64_t bad, time_point now);

private:
    void tick();
    void run_second_tasks(time_point now);
    telemetry::status_report make_status(time_point now) const;
    telemetry::status_report last_status() const;

    void execute_one(node::output& it, time_point now);
    void on_configuration_changed(const node::configuration_changed& it);
    void on_configuration_refused(const node::configuration_refused& it);
    void send_sync_request(node::send_sync& it);

    bytes handle_control_request(byte_view request);
    bytes handle_sync_request(byte_view body);
    std::optional<adapters::http_document>
    handle_http_request(const std::string& path) const;
    adapters::platform_callbacks platform_callbacks();
    void platform_failed(const failure& it);

    /// @brief Posts a task to the loop that executes the outputs of `body`.
    void post_outputs(std::function<node::outputs(time_point)> body);

    settings::process_settings settings_;
    process_id self_;
    incarnation run_;
    time_point started_;
    packet_port port_;
    packet_sender sender_;
    telemetry::metrics metrics_;
    adapters::log_limiter drop_log_;
    role_hooks hooks_;

    // Guards slo_burn_ and status_, which the HTTP and control threads read.
    mutable std::mutex telemetry_mutex_;
    telemetry::slo_burn slo_burn_;
    telemetry::status_report status_;
    // The last generation refused since a configuration was put in force. Loop
    // thread only.
    std::optional<telemetry::refused_generation> refused_;
    time_point second_tasks_due_;
    // Set every second by the loop thread; read by the platform client's
    // threads.
    std::atomic<bool> is_reader_ = false;

    event_loop loop_;
    std::optional<adapters::control_server> control_server_;
    std::optional<adapters::http_server> http_server_;
    std::unique_ptr<adapters::control_client> control_client_;
    std::unique_ptr<adapters::platform_client> platform_;
};

} // namespace arbutusport::daemon
