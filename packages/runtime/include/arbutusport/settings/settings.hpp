// The settings file of one process: INI, checked in full before anything
// starts.
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

/// @brief One settings file. Fields of the other role keep their defaults.
struct process_settings {
    std::string name;
    process_role role = process_role::entry;
    std::string data_centre;
    std::string region;

    endpoint listen_packets;
    endpoint listen_control;
    endpoint listen_metrics;

    /// Entry only: where the fabric's datagrams arrive, and where answers go.
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

/// @brief Reads and checks a file. Fails with step "read_settings", the file
/// as peer, and one line with section, key, what was found and what is
/// allowed as reason.
result<process_settings> read_settings(const std::string& path);

/// @brief The same for a text; `name` stands for the file in errors.
result<process_settings> parse_settings(const std::string& text,
                                        const std::string& name);

} // namespace arbutusport::settings
