// The settings file of one process: INI, validated completely before the
// process starts any thread or opens a socket.
#pragma once

#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/base/error.hpp>
#include <arbutusport/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusport::settings {

enum class process_role : std::uint8_t { entry, host };

enum class log_level : std::uint8_t { debug, info, warning, error };

const char* to_string(process_role it);

/// @brief Contents of a settings file. Fields of the other role keep their
/// defaults.
struct process_settings {
    std::string name;
    process_role role = process_role::entry;
    std::string data_centre;
    std::string region;

    endpoint listen_packets;
    endpoint listen_control;
    endpoint listen_metrics;

    /// Entry only: the endpoint that receives the fabric's datagrams, and the
    /// one that answers are sent to.
    endpoint listen_fabric;
    endpoint fabric;

    endpoint platform;
    std::vector<endpoint> seeds;

    /// Host only.
    std::string service;
    endpoint upstream;
    std::optional<duration> drain_timeout;

    std::optional<std::size_t> max_hints;
    std::optional<std::size_t> max_flows;
    std::optional<std::size_t> max_dedup;

    log_level level = log_level::info;
};

/// @brief Reads and validates a file. Fails with step "read_settings", the file
/// as peer, and a one-line reason with section, key, the value found and the
/// allowed values.
result<process_settings> read_settings(const std::string& path);

/// @brief Like read_settings() for a text; errors show `name` as the file.
result<process_settings> parse_settings(const std::string& text,
                                        const std::string& name);

} // namespace arbutusport::settings
