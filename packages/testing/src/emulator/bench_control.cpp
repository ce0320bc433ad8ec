// Control traffic of the membership and the configuration by the number of
// members: at rest, for each change, and under failures of many at once.

#include "member_fleet.hpp"

#include <arbutusport/emulator/bench.hpp>
#include <arbutusport/emulator/config_fleet.hpp>

#include <algorithm>
#include <array>
#include <string>

namespace arbutusport::emulator {

namespace {

using namespace std::chrono_literals;

constexpr duration window = 60s;
constexpr std::array<std::size_t, 3> sizes{64, 256, 1024};

// Hosts per service and entries per host as in the target.
record_sizes sizes_for(std::size_t processes) {
    const std::size_t entries = std::max<std::size_t>(3, processes * 46 / 546);
    const std::size_t hosts = processes - entries;
    return {std::max<std::size_t>(2, hosts * 36 / 500), hosts, entries, 3};
}

// Time in which the news of the start or of a partition have been sent often
// enough. A message carries 20 events, so it grows with the members.
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
    const auto spent = [&](duration time) {
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
    const double rest = spent(window);
    const double seconds = std::chrono::duration<double>(window).count();
    report("probe_bytes_per_s", "B/s", rest / seconds,
           " direction=both headers=packet,udp,ip", 0);
    report("probe_messages_per_s", "1/s",
           per_member(static_cast<double>(fleet.sent_messages() - messages),
                      processes) /
               seconds,
           " direction=both", 0);

    // One host dies and is replaced; the news need their time to die down.
    fleet.stop(processes - 1);
    double extra = spent(window) - rest;
    report("failure_bytes", "B", extra, " window_s=60 event=host_down", rest);
    fleet.start(processes - 1);
    extra = spent(window) - rest;
    report("replacement_bytes", "B", extra, " window_s=60 event=host_back",
           rest);

    fleet.advance(settling);
    fleet.isolate("dc-0");
    report("isolation_bytes_per_s", "B/s", spent(window) / seconds,
           " data_centres=3 isolated=1 window_s=0..60", rest / seconds);
    fleet.advance(settling);
    report("isolation_bytes_per_s", "B/s", spent(window) / seconds,
           " data_centres=3 isolated=1 window_s=settled", rest / seconds);
    fleet.isolate({});
    report("rejoin_bytes_per_s", "B/s", spent(window) / seconds,
           " data_centres=3 isolated=1 window_s=0..60", rest / seconds);
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

// Greatest number of calls in one second, and all of them.
std::pair<double, double> count_calls(config_fleet& fleet, duration time) {
    double most = 0;
    const sync_meter all{fleet};
    for (duration it{}; it < time; it += 1s) {
        const sync_meter second{fleet};
        fleet.advance(1s);
        most = std::max(most, second.calls());
    }
    return {most, all.calls()};
}

void bench_sync(std::size_t processes, std::uint64_t seed,
                const figure_sink& sink) {
    config_fleet fleet({.sizes = sizes_for(processes), .seed = seed});
    const std::string notes = "members=" + std::to_string(processes);
    const auto report = [&](const char* name, const char* unit, double value,
                            const std::string& more, double baseline) {
        sink({name, value, unit, baseline, "at_rest", seed, notes + more});
    };
    const double seconds = std::chrono::duration<double>(window).count();
    const auto [start_peak, start_calls] = count_calls(fleet, 30s);
    report("start_calls", "calls", start_calls,
           " all_start=1 window_s=30 peak_per_s=" + std::to_string(start_peak),
           0);
    const sync_meter idle{fleet};
    fleet.advance(window);
    const double rest = idle.bytes();
    report("sync_bytes_per_s", "B/s", rest / seconds,
           " direction=both excluded=tcp,ip,nng,events", 0);
    report("sync_messages_per_s", "1/s", idle.messages() / seconds,
           " direction=both", 0);
    report("watch_calls_per_s", "1/s", idle.calls() / seconds,
           " data_centres=3 readers=9", 0);

    const sync_meter change{fleet};
    const double expected_calls = idle.calls() / 2;
    fleet.publish(0);
    fleet.advance(window / 2);
    report("change_bytes", "B", change.bytes() - rest / 2,
           " window_s=30 change=drain_timeout", rest / 2);
    report("change_calls", "calls", change.calls() - expected_calls,
           " window_s=30 data_centres=3 readers=9", expected_calls);

    // A third of the fleet restarts at once, as after a power failure.
    for (std::size_t i = 0; i < fleet.size(); ++i)
        if (fleet.data_centre(i) == "dc-0")
            fleet.restart(i);
    const sync_meter restart{fleet};
    const auto [peak, calls] = count_calls(fleet, 30s);
    report("data_centre_restart_bytes", "B", restart.bytes() - rest / 2,
           " data_centres=3 restarted=1 window_s=30", rest / 2);
    report("data_centre_restart_calls", "calls", calls,
           " data_centres=3 restarted=1 window_s=30 peak_per_s=" +
               std::to_string(peak),
           0);
}

// A data centre misses changes behind a cut link, with a stale platform.
void bench_link_loss(std::uint64_t seed, const figure_sink& sink) {
    constexpr std::size_t processes = 256;
    constexpr int changes = 39;
    config_fleet fleet({.sizes = sizes_for(processes), .seed = seed});
    fleet.advance(30s);
    std::set<std::size_t> cut;
    for (std::size_t i = 0; i < fleet.size(); ++i)
        if (fleet.data_centre(i) == "dc-0")
            cut.insert(i);
    fleet.partition(cut);
    fleet.set_platform_stale("dc-0", true);
    for (int n = 0; n < changes; ++n) {
        fleet.publish(static_cast<std::size_t>(n) %
                      sizes_for(processes).services);
        fleet.advance(3600s / changes);
    }
    fleet.partition({});
    fleet.set_platform_stale("dc-0", false);
    const sync_meter heal{fleet};
    const time_point since = fleet.now();
    while (fleet.count_in_force(fleet.head()) < fleet.size() &&
           fleet.now() - since < window)
        fleet.advance(100ms);
    sink({"link_return_s",
          std::chrono::duration<double>(fleet.now() - since).count(), "s", 0,
          "none", seed,
          "members=256 data_centres=3 isolated=1 isolated_s=3600 changes=39 "
          "bytes_per_member=" +
              std::to_string(heal.bytes()) +
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
