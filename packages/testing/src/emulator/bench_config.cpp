// Benchmarks of the config layer: time until a change is in force, control
// traffic, platform calls, and costs by the size of the record set.

#include "bench_config_sizes.hpp"

#include <arbutusport/emulator/config_fleet.hpp>
#include <arbutusport/membership/membership.hpp>
#include <arbutusport/records/parse.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <string>

namespace arbutusport::emulator {

namespace {

using namespace std::chrono_literals;

constexpr duration poll_interval = 30s;
// 930 changes per day.
constexpr duration change_interval = 92'900ms;
constexpr duration startup_time = 30s;
// Header and authentication tag of a packet, and the UDP and IPv4 headers.
constexpr std::size_t packet_overhead = 70 + 28;

double seconds(duration it) {
    return std::chrono::duration<double>(it).count();
}

// Keeps the ratios of hosts per service and entries per host of the target
// deployment.
record_sizes sizes_for(std::size_t processes) {
    const std::size_t entries = std::max<std::size_t>(3, processes * 46 / 546);
    const std::size_t hosts = processes - entries;
    return {std::max<std::size_t>(2, hosts * 36 / 500), hosts, entries, 3};
}

// Returns the time from `since` until the latest generation is in force in all
// processes, at most `limit`.
duration wait_until_all_adopt(config_fleet& it, time_point since,
                              duration limit) {
    while (it.count_in_force(it.head()) < it.size() && it.now() - since < limit)
        it.advance(50ms);
    if (it.count_in_force(it.head()) < it.size())
        return limit;
    duration longest{};
    for (std::size_t i = 0; i < it.size(); ++i)
        longest = std::max(longest, it.in_force_since(i) - since);
    return longest;
}

// Simulates polling: each process has a random phase, and polls from one data
// centre fail until the outage ends.
duration polling_delay(std::size_t processes, duration outage,
                       std::mt19937_64& random) {
    duration longest{};
    for (std::size_t i = 0; i < processes; ++i) {
        duration it(static_cast<duration::rep>(
            random() % static_cast<std::uint64_t>(poll_interval.count())));
        while (i % 3 == 0 && it < outage)
            it += poll_interval;
        longest = std::max(longest, it);
    }
    return longest;
}

void bench_in_force(std::uint64_t seed, const figure_sink& sink) {
    constexpr int trials = 20;
    constexpr duration outage = 60s;
    std::mt19937_64 random(seed);
    double sum = 0;
    double worst = 0;
    double baseline = 0;
    for (int n = 0; n < trials; ++n) {
        config_fleet it({.sizes = {2, 10, 3, 3}, .seed = random()});
        it.advance(startup_time);
        it.set_platform_down("dc-0", true);
        it.advance(std::chrono::milliseconds(random() % 5000));
        const time_point since = it.now();
        it.publish(0);
        const double taken = seconds(wait_until_all_adopt(it, since, outage));
        sum += taken;
        worst = std::max(worst, taken);
        baseline += seconds(polling_delay(it.size(), outage, random));
    }
    sink({.name = "config_in_force_s",
          .value = sum / trials,
          .unit = "s",
          .baseline = baseline / trials,
          .baseline_name = "poll_30s",
          .seed = seed,
          .notes = "processes=13 data_centres=3 platform_down=1 outage_s=60 "
                   "trials=20 worst=" +
                   std::to_string(worst)});
}

// Mean number of rounds from the first to the last process that adopts a
// change.
double measure_spread_rounds(std::size_t processes, std::size_t push_peer_count,
                             std::uint64_t seed) {
    constexpr int changes = 3;
    config_fleet it({.sizes = sizes_for(processes),
                     .push_peer_count = push_peer_count,
                     .seed = seed});
    it.advance(startup_time);
    double sum = 0;
    for (int n = 0; n < changes; ++n) {
        it.publish(static_cast<std::size_t>(n));
        wait_until_all_adopt(it, it.now(), 60s);
        time_point first = time_point::max();
        time_point last{};
        for (std::size_t i = 0; i < it.size(); ++i) {
            first = std::min(first, it.in_force_since(i));
            last = std::max(last, it.in_force_since(i));
        }
        sum += seconds(last - first);
    }
    // A round takes one second.
    return sum / changes;
}

void bench_spread(std::uint64_t seed, const figure_sink& sink) {
    constexpr std::array<std::size_t, 3> sizes{64, 256, 1024};
    constexpr double target = 5460;
    std::array<double, 3> pushed{};
    std::array<double, 3> plain{};
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        pushed[i] = measure_spread_rounds(sizes[i], 3, seed);
        plain[i] = measure_spread_rounds(sizes[i], 0, seed);
        sink({.name = "config_spread_rounds",
              .value = pushed[i],
              .unit = "rounds",
              .baseline = plain[i],
              .baseline_name = "no_push",
              .seed = seed,
              .notes = "processes=" + std::to_string(sizes[i]) + " changes=3"});
    }
    // The sizes are evenly spaced in log n, so the end points give the slope
    // of the least squares line.
    const double steps = std::log(1024.0 / 64.0);
    const auto at_target = [&](const std::array<double, 3>& it) {
        const double mean = (it[0] + it[1] + it[2]) / 3;
        return mean + (it[2] - it[0]) / steps * std::log(target / 256.0);
    };
    sink({.name = "config_spread_rounds_extrapolated",
          .value = at_target(pushed),
          .unit = "rounds",
          .baseline = at_target(plain),
          .baseline_name = "no_push",
          .seed = seed,
          .notes = "processes=5460 slope_per_ln_n=" +
                   std::to_string((pushed[2] - pushed[0]) / steps)});
}

// Probe bytes sent per member and second, including packet, UDP and IPv4
// headers.
double measure_probe_bytes(std::size_t processes, std::uint64_t seed) {
    const auto fleet =
        records::build_snapshot({1, 1}, make_records(sizes_for(processes)))
            .value();
    std::map<endpoint, std::unique_ptr<membership::member_table>> tables;
    std::map<endpoint, process_id> ids;
    const auto add = [&](process_id id, const endpoint& packets) {
        tables[packets] =
            std::make_unique<membership::member_table>(membership::options{
                .self = id, .run = incarnation(1), .seed = seed});
        tables[packets]->set_snapshot(fleet, {});
        ids[packets] = id;
    };
    for (const auto& it : fleet->entries)
        add(it.id, it.packets);
    for (const auto& service : fleet->services)
        for (const auto& it : service.hosts)
            add(it.id, it.packets);
    std::size_t sent = 0;
    time_point now{};
    const std::function<void(const endpoint&, const membership::actions&)>
        deliver = [&](const endpoint& from, const membership::actions& list) {
            for (const auto& it : list) {
                sent += it.body.size() + packet_overhead;
                deliver(it.to, tables[it.to]->on_probe(it.kind, ids[from], from,
                                                       it.body, now));
            }
        };
    // Warm-up: the start events are no longer sent after this time.
    const time_point start = now + 300s;
    for (; now < start + 30s; now += 100ms) {
        if (now == start)
            sent = 0;
        for (const auto& [address, table] : tables)
            deliver(address, table->on_tick(now));
    }
    return static_cast<double>(sent) / 30 / static_cast<double>(processes);
}

void bench_traffic(std::uint64_t seed, const figure_sink& sink) {
    constexpr std::size_t processes = 256;
    constexpr int changes = 3;
    const double probes = measure_probe_bytes(processes, seed);
    config_fleet it({.sizes = sizes_for(processes), .seed = seed});
    it.advance(startup_time);
    const auto measure = [&](duration time) {
        const auto before = it.counters();
        it.advance(time);
        const auto& after = it.counters();
        const double bytes =
            static_cast<double>(after.sync_bytes - before.sync_bytes);
        const double calls =
            static_cast<double>(after.platform_calls - before.platform_calls);
        return std::pair(bytes / seconds(time) / processes,
                         calls / seconds(time));
    };
    std::size_t set_bytes = 0;
    for (const auto& record : make_records(sizes_for(processes)))
        set_bytes += record.json.size();
    const auto report = [&](const char* load, double sync, double calls,
                            double full_set, double polled) {
        // Each byte is sent by one process and received by another.
        sink({.name = "control_bytes_per_s",
              .value = 2 * (sync + probes),
              .unit = "B/s",
              .baseline = 2 * (sync + probes) + full_set,
              .baseline_name = "full_sets",
              .seed = seed,
              .notes = std::string("load=") + load +
                       " processes=256 sync=" + std::to_string(2 * sync) +
                       " probes=" + std::to_string(2 * probes) +
                       " excluded=tcp_headers"});
        sink({.name = "platform_calls_per_s",
              .value = calls,
              .unit = "1/s",
              .baseline = polled,
              .baseline_name = "poll_30s",
              .seed = seed,
              .notes = std::string("load=") + load +
                       " processes=256 data_centres=3"});
    };
    const double polls = processes / seconds(poll_interval);
    const auto [idle_bytes, idle_calls] = measure(60s);
    report("idle", idle_bytes, idle_calls, 0, polls);
    double bytes = 0;
    double calls = 0;
    for (int n = 0; n < changes; ++n) {
        it.publish(static_cast<std::size_t>(n));
        const auto [sync, reads] = measure(change_interval);
        bytes += sync / changes;
        calls += reads / changes;
    }
    const double interval = seconds(change_interval);
    report("930_changes_a_day", bytes, calls,
           2 * static_cast<double>(set_bytes) / interval,
           polls + processes / interval);
}

} // namespace

void bench_config(std::uint64_t seed, const figure_sink& sink) {
    bench_in_force(seed, sink);
    bench_spread(seed, sink);
    bench_traffic(seed, sink);
    bench_config_sizes(seed, sink);
}

} // namespace arbutusport::emulator
