// Control traffic of membership and configuration by the number of members:
// when idle, per change, and during simultaneous failures.

#include "member_fleet.hpp"

#include <arbutusport/emulator/bench.hpp>
#include <arbutusport/emulator/config_fleet.hpp>

#include <algorithm>
#include <array>
#include <string>

namespace arbutusport::emulator {

namespace {

using namespace std::chrono_literals;

constexpr duration measurement_window = 60s;
constexpr std::array<std::size_t, 3> sizes{64, 256, 1024};

// Keeps the ratios of hosts per service and entries per host of the target
// deployment.
record_sizes sizes_for(std::size_t processes) {
    const std::size_t entries = std::max<std::size_t>(3, processes * 46 / 546);
    const std::size_t hosts = processes - entries;
    return {std::max<std::size_t>(2, hosts * 36 / 500), hosts, entries, 3};
}

// Time after which the events of a start or partition are no longer sent. It
// grows with the number of members, since a message holds 20 events.
duration settling_time(std::size_t members) {
    constexpr std::size_t reference = 256;
    return 300s * std::max(members, reference) / reference;
}

// Each byte is sent by one member and received by another.
double per_member(double sent, std::size_t members) {
    return 2 * sent / static_cast<double>(members);
}

void bench_members(std::size_t processes, std::uint64_t seed,
                   const figure_sink& sink) {
    member_fleet fleet(sizes_for(processes), seed);
    const duration settling = settling_time(processes);
    const std::string notes = "members=" + std::to_string(processes);
    const auto measure_bytes = [&](duration time) {
        const auto before = fleet.sent_bytes();
        fleet.advance(time);
        return per_member(static_cast<double>(fleet.sent_bytes() - before),
                          processes);
    };
    const auto report = [&](const char* name, const char* unit, double value,
                            const std::string& more, double baseline) {
        sink({name, value, unit, baseline, "at_rest", seed, notes + more});
    };
    fleet.advance(settling);
    const auto messages = fleet.sent_messages();
    const double idle_bytes = measure_bytes(measurement_window);
    const double seconds =
        std::chrono::duration<double>(measurement_window).count();
    report("probe_bytes_per_s", "B/s", idle_bytes / seconds,
           " direction=both headers=packet,udp,ip", 0);
    report("probe_messages_per_s", "1/s",
           per_member(static_cast<double>(fleet.sent_messages() - messages),
                      processes) /
               seconds,
           " direction=both", 0);

    // One host fails and is replaced. Its events are sent for some time.
    fleet.stop(processes - 1);
    double extra = measure_bytes(measurement_window) - idle_bytes;
    report("failure_bytes", "B", extra, " window_s=60 event=host_down",
           idle_bytes);
    fleet.start(processes - 1);
    extra = measure_bytes(measurement_window) - idle_bytes;
    report("replacement_bytes", "B", extra, " window_s=60 event=host_back",
           idle_bytes);

    fleet.advance(settling);
    fleet.isolate("dc-0");
    report("isolation_bytes_per_s", "B/s",
           measure_bytes(measurement_window) / seconds,
           " data_centres=3 isolated=1 window_s=0..60", idle_bytes / seconds);
    fleet.advance(settling);
    report("isolation_bytes_per_s", "B/s",
           measure_bytes(measurement_window) / seconds,
           " data_centres=3 isolated=1 window_s=settled", idle_bytes / seconds);
    fleet.isolate({});
    report("rejoin_bytes_per_s", "B/s",
           measure_bytes(measurement_window) / seconds,
           " data_centres=3 isolated=1 window_s=0..60", idle_bytes / seconds);
}

struct sync_meter {
    config_fleet& fleet;
    fleet_counters before = fleet.counters();

    double bytes() const {
        return per_member(static_cast<double>(fleet.counters().sync_bytes -
                                              before.sync_bytes),
                          fleet.size());
    }
    double messages() const {
        return per_member(static_cast<double>(fleet.counters().sync_messages -
                                              before.sync_messages),
                          fleet.size());
    }
    double calls() const {
        return static_cast<double>(fleet.counters().platform_calls -
                                   before.platform_calls);
    }
};

// Returns the maximum number of calls in one second and the total.
std::pair<double, double> count_calls(config_fleet& fleet, duration time) {
    double peak = 0;
    const sync_meter all{fleet};
    for (duration it{}; it < time; it += 1s) {
        const sync_meter second{fleet};
        fleet.advance(1s);
        peak = std::max(peak, second.calls());
    }
    return {peak, all.calls()};
}

void bench_sync(std::size_t processes, std::uint64_t seed,
                const figure_sink& sink) {
    config_fleet fleet({.sizes = sizes_for(processes), .seed = seed});
    const std::string notes = "members=" + std::to_string(processes);
    const auto report = [&](const char* name, const char* unit, double value,
                            const std::string& more, double baseline) {
        sink({name, value, unit, baseline, "at_rest", seed, notes + more});
    };
    const double seconds =
        std::chrono::duration<double>(measurement_window).count();
    const auto [start_peak, start_calls] = count_calls(fleet, 30s);
    report("start_calls", "calls", start_calls,
           " all_start=1 window_s=30 peak_per_s=" + std::to_string(start_peak),
           0);
    const sync_meter idle{fleet};
    fleet.advance(measurement_window);
    const double idle_bytes = idle.bytes();
    report("sync_bytes_per_s", "B/s", idle_bytes / seconds,
           " direction=both excluded=tcp,ip,nng,events", 0);
    report("sync_messages_per_s", "1/s", idle.messages() / seconds,
           " direction=both", 0);
    report("watch_calls_per_s", "1/s", idle.calls() / seconds,
           " data_centres=3 readers=9", 0);

    const sync_meter change{fleet};
    const double expected_calls = idle.calls() / 2;
    fleet.publish(0);
    fleet.advance(measurement_window / 2);
    report("change_bytes", "B", change.bytes() - idle_bytes / 2,
           " window_s=30 change=drain_timeout", idle_bytes / 2);
    report("change_calls", "calls", change.calls() - expected_calls,
           " window_s=30 data_centres=3 readers=9", expected_calls);

    // A third of the fleet restarts simultaneously, as after a power failure.
    for (std::size_t i = 0; i < fleet.size(); ++i)
        if (fleet.data_centre(i) == "dc-0")
            fleet.restart(i);
    const sync_meter restart{fleet};
    const auto [peak, calls] = count_calls(fleet, 30s);
    report("data_centre_restart_bytes", "B", restart.bytes() - idle_bytes / 2,
           " data_centres=3 restarted=1 window_s=30", idle_bytes / 2);
    report("data_centre_restart_calls", "calls", calls,
           " data_centres=3 restarted=1 window_s=30 peak_per_s=" +
               std::to_string(peak),
           0);
}

// A data centre misses changes while it is partitioned and its platform is
// stale.
void bench_link_loss(std::uint64_t seed, const figure_sink& sink) {
    constexpr std::size_t processes = 256;
    constexpr int changes = 39;
    config_fleet fleet({.sizes = sizes_for(processes), .seed = seed});
    fleet.advance(30s);
    std::set<std::size_t> partitioned;
    for (std::size_t i = 0; i < fleet.size(); ++i)
        if (fleet.data_centre(i) == "dc-0")
            partitioned.insert(i);
    fleet.partition(partitioned);
    fleet.set_platform_stale("dc-0", true);
    for (int n = 0; n < changes; ++n) {
        fleet.publish(static_cast<std::size_t>(n) %
                      sizes_for(processes).services);
        fleet.advance(3600s / changes);
    }
    fleet.partition({});
    fleet.set_platform_stale("dc-0", false);
    const sync_meter recovery{fleet};
    const time_point since = fleet.now();
    while (fleet.count_in_force(fleet.head()) < fleet.size() &&
           fleet.now() - since < measurement_window)
        fleet.advance(100ms);
    sink({"link_return_s",
          std::chrono::duration<double>(fleet.now() - since).count(), "s", 0,
          "none", seed,
          "members=256 data_centres=3 isolated=1 isolated_s=3600 changes=39 "
          "bytes_per_member=" +
              std::to_string(recovery.bytes()) +
              " violations=" + std::to_string(fleet.violations().size())});
}

} // namespace

void bench_control(std::uint64_t seed, const figure_sink& sink) {
    for (const std::size_t it : sizes)
        bench_sync(it, seed, sink);
    bench_link_loss(seed, sink);
    for (const std::size_t it : sizes)
        bench_members(it, seed, sink);
}

} // namespace arbutusport::emulator
