// A small deployment on one loopback address: records, settings files and
// the command line of each process. Used by tests and by quickstart.sh.
#pragma once

#include <arbutusport/base/endpoint.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace arbutusport::emulator {

struct service_plan {
    std::string name;
    std::size_t hosts = 2;
};

struct plan_options {
    /// All processes listen here; concurrent deployments need different
    /// addresses.
    std::uint32_t address = 0x7f640001; // 127.100.0.1
    std::vector<std::string> data_centres{"poa-a", "poa-b", "cxs-a"};
    std::string region = "rs-sul";
    std::string organisation = "consulta-sul";
    std::vector<service_plan> services{{"participa", 4}, {"acervo", 2}};
    std::size_t entries = 3;
    std::uint32_t drain_timeout_s = 5;
    std::uint32_t slow_start_s = 2;
    /// Directory of the programs.
    std::string programs;
    /// Directory of records/, settings/ and histories.
    std::string directory;
    /// Every process except arbutusd exits after this time.
    int max_seconds = 600;
    std::uint64_t seed = 1;
};

struct planned_process {
    /// Record name for entries and hosts; "upstream-<host>", "platform",
    /// "fabric".
    std::string name;
    std::string program;
    std::vector<std::string> arguments;
    /// For an upstream: its history file.
    std::string history;
};

struct planned_service {
    std::string name;
    endpoint address;
    std::vector<std::string> hosts;
};

struct plan {
    /// By key "kind/name".
    std::map<std::string, std::string> records;
    /// By process name.
    std::map<std::string, std::string> settings;
    /// In start order.
    std::vector<planned_process> processes;
    std::vector<planned_service> services;
    endpoint platform;
    endpoint platform_admin;
    endpoint fabric_admin;
    /// Endpoint of each entry for datagrams from the fabric, by entry name.
    std::map<std::string, endpoint> entry_fabric;
    /// Administration endpoint of each host's upstream, by host name.
    std::map<std::string, endpoint> upstream_admin;
    /// Control and metrics endpoints by process name.
    std::map<std::string, endpoint> control;
    std::map<std::string, endpoint> metrics;
};

plan make_plan(const plan_options& options);

/// @brief Writes records/ and settings/ below the options' directory.
void write_files(const plan& it, const std::string& directory);

/// @brief Returns the service record with the state of one host changed
/// ("active", "draining" or "out").
std::string with_host_state(const std::string& service_record,
                            const std::string& host, const std::string& state);

} // namespace arbutusport::emulator
