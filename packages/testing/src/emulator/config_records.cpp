// Generates the records of a fleet of a given size.

#include <arbutusport/emulator/config_fleet.hpp>

#include <nlohmann/json.hpp>

namespace arbutusport::emulator {

namespace {

using nlohmann::json;

std::string loopback_endpoint(std::size_t block, std::size_t i, int port) {
    return "127." + std::to_string(block + i / 62'500) + "." +
           std::to_string(i / 250 % 250) + "." + std::to_string(i % 250 + 1) +
           ":" + std::to_string(port);
}

std::string data_centre_name(std::size_t i, std::size_t count) {
    return "dc-" + std::to_string(i % count);
}

void add_record(std::vector<records::raw_record>& set, const json& it) {
    set.push_back(
        {it["kind"].get<std::string>() + "/" + it["name"].get<std::string>(),
         it.dump(), 1});
}

json make_service(std::size_t i, const record_sizes& sizes,
                  std::size_t& next_host) {
    json hosts = json::array();
    const std::size_t end = sizes.hosts * (i + 1) / sizes.services;
    for (; next_host < end; ++next_host)
        hosts.push_back(
            {{"name", "host-" + std::to_string(next_host)},
             {"data_centre", data_centre_name(next_host, sizes.data_centres)},
             {"packets", loopback_endpoint(64, next_host, 7000)},
             {"control", loopback_endpoint(64, next_host, 7001)},
             {"weight", 1.0},
             {"state", "active"}});
    return {{"schema", 2},
            {"kind", "service"},
            {"name", "service-" + std::to_string(i)},
            {"organisation", "consulta-sul"},
            {"address", loopback_endpoint(32, i, 5683)},
            {"limits", {{"slots", 2}, {"connections", 2000}, {"queue", 16}}},
            {"objectives",
             {{"flows_kept", 0.9999},
              {"requests_served", 0.999},
              {"latency_ms", 250},
              {"requests_in_time", 0.99}}},
            {"drain_timeout_s", 1800},
            {"slow_start_s", 30},
            {"hosts", std::move(hosts)}};
}

json make_entries(std::size_t data_centre, const record_sizes& sizes) {
    json entries = json::array();
    for (std::size_t i = data_centre; i < sizes.entries;
         i += sizes.data_centres)
        entries.push_back({{"name", "entry-" + std::to_string(i)},
                           {"packets", loopback_endpoint(96, i, 7000)},
                           {"control", loopback_endpoint(96, i, 7001)}});
    const auto name = data_centre_name(data_centre, sizes.data_centres);
    return {{"schema", 2},          {"kind", "entries"},
            {"name", name},         {"data_centre", name},
            {"region", "region-1"}, {"entries", std::move(entries)}};
}

} // namespace

std::vector<records::raw_record> make_records(const record_sizes& it) {
    std::vector<records::raw_record> set;
    std::size_t next_host = 0;
    for (std::size_t i = 0; i < it.services; ++i)
        add_record(set, make_service(i, it, next_host));
    for (std::size_t i = 0; i < it.data_centres; ++i)
        add_record(set, make_entries(i, it));
    add_record(set, {{"schema", 2},
                     {"kind", "keys"},
                     {"name", "packets"},
                     {"keys",
                      {{{"id", 1},
                        {"secret", "00112233445566778899aabbccddeeff"},
                        {"state", "active"}}}}});
    add_record(
        set,
        {{"schema", 2}, {"kind", "fleet"}, {"name", "main"}, {"epoch", 1}});
    return set;
}

} // namespace arbutusport::emulator
