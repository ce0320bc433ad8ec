// Memory and CPU time of idle arbutusd processes, from /proc, and the latency
// that a deployment of the current size adds.

#include <arbutusport/emulator/bench.hpp>
#include <arbutusport/emulator/deployment.hpp>

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <map>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>

namespace arbutusport::emulator {

namespace {

using namespace std::chrono_literals;

constexpr auto warm_up_time = 5s;
constexpr auto observation_time = 20s;

// User and system CPU time of a process in seconds.
double cpu_seconds(int pid) {
    std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(in, text);
    // Fields 14 and 15. The name in field 2 may contain spaces.
    std::istringstream rest(text.substr(text.rfind(')') + 1));
    std::string skipped;
    for (int i = 3; i < 14; ++i)
        rest >> skipped;
    double user = 0;
    double system = 0;
    rest >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double resident_bytes(int pid) {
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(in, line);)
        if (line.starts_with("VmRSS:"))
            return std::stod(line.substr(6)) * 1024;
    return 0;
}

// Contributions only, since block-wise reads have a different latency.
load_settings latency_load(std::uint64_t seed, double rate) {
    return {.clients = 20,
            .rate = rate,
            .length = 10s,
            .contributions = 1,
            .observers = 0,
            .seed = seed};
}

// Returns the upstream endpoint from the settings file of a host.
endpoint upstream_of(const std::string& settings) {
    std::istringstream in(settings);
    for (std::string line; std::getline(in, line);)
        if (line.starts_with("upstream"))
            return parse_endpoint(line.substr(line.find_last_of(" =") + 1))
                .value();
    throw std::runtime_error("host settings contain no upstream line");
}

double to_ms(duration it) {
    return std::chrono::duration<double, std::milli>(it).count();
}

// Compares the latency through fabric, entries and hosts with that of the same
// load per upstream, sent directly to one upstream.
void bench_latency(deployment& fleet, std::uint64_t seed,
                   const figure_sink& sink) {
    constexpr double rate = 70;
    const auto& service = fleet.layout().services.front();
    auto direct_load =
        latency_load(seed, rate / static_cast<double>(service.hosts.size()));
    direct_load.services = {
        {service.name,
         upstream_of(fleet.layout().settings.at(service.hosts.front()))}};
    load_generator direct(direct_load);
    direct.run([] { return false; });
    const auto bare = direct.summary();
    // Must be last: finish_load() stops the upstreams to collect histories.
    fleet.start_load(latency_load(seed, rate));
    const auto through = fleet.finish_load().summary;

    const std::string notes =
        "entries=3 hosts=7+3 rate_per_service=70 clients_per_service=20";
    sink({"p50_latency_ms", to_ms(through.p50), "ms", to_ms(bare.p50),
          "upstream_directly", seed, notes});
    sink({"p99_latency_ms", to_ms(through.p99), "ms", to_ms(bare.p99),
          "upstream_directly", seed,
          notes + " added_ms=" + std::to_string(to_ms(through.p99 - bare.p99)) +
              " sent=" + std::to_string(through.total.sent) +
              " answered=" + std::to_string(through.total.answered)});
}

} // namespace

void bench_process(std::uint64_t seed, const figure_sink& sink) {
    deployment fleet(
        {.services = {{"participa", 7}, {"acervo", 3}}, .seed = seed});
    std::this_thread::sleep_for(warm_up_time);
    std::map<std::string, double> before;
    for (const auto& [name, unused] : fleet.layout().settings)
        before[name] = cpu_seconds(fleet.pid_of(name));
    std::this_thread::sleep_for(observation_time);
    const double seconds =
        std::chrono::duration<double>(observation_time).count();
    for (const std::string role : {"entry", "host"}) {
        double cpu = 0;
        double memory = 0;
        int n = 0;
        for (const auto& [name, start] : before) {
            if (name.starts_with("entry") != (role == "entry"))
                continue;
            const int pid = fleet.pid_of(name);
            cpu += (cpu_seconds(pid) - start) / seconds;
            memory = std::max(memory, resident_bytes(pid));
            ++n;
        }
        const std::string notes = "role=" + role +
                                  " processes=" + std::to_string(n) +
                                  " fleet=13 services=2 clients=0";
        sink({"idle_cpu_percent", 100 * cpu / n, "%", 0, "none", seed,
              notes + " observed_s=20 mean=1"});
        sink({"idle_resident_bytes", memory, "B", 0, "none", seed,
              notes + " largest=1"});
    }
    bench_latency(fleet, seed, sink);
}

} // namespace arbutusport::emulator
