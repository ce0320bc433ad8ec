// Guards what cold hosts bear, counted over all entries of a fleet: in no span
// of one second do more flows open at one of them than the limit allows, also
// while entries and host processes fail.

#include "relay_world_flows.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>

namespace arbutusport::emulator {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Long enough for hellos, reports, the first listing and the election.
constexpr duration startup_time = seconds(4);
constexpr duration warmup = seconds(6);
constexpr double rate = 4;
constexpr relay::warmup_bounds bounds{.overage = 1.5, .slack = 2};
constexpr std::size_t limit = 8; // rate * overage + slack
constexpr std::size_t entries = 40;
constexpr std::size_t hosts = 200;
constexpr std::size_t cold_hosts = 40;
constexpr std::size_t flows_per_ms = 5;

relay_world_options fleet(std::optional<relay::warmup_bounds> it) {
    return {.entries = entries,
            .hosts = hosts,
            .data_centres = 4,
            .warmup = warmup,
            .warmup_rate = rate,
            .warmup_bounds = it};
}

// The largest number of flows that opened at the host within one second while
// it was cold.
std::size_t most_openings(const relay_world& world, std::size_t host,
                          duration since) {
    const auto& at = world.openings_at(host);
    std::size_t most = 0;
    for (auto first = at.begin(); first != at.end(); ++first) {
        if (*first < since || *first >= since + warmup)
            continue;
        const auto last = std::upper_bound(
            first, at.end(),
            std::min(*first + seconds(1), since + warmup - duration(1)));
        most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
}

std::size_t most_openings_of_any(const relay_world& world, std::size_t count,
                                 duration since) {
    std::size_t most = 0;
    for (std::size_t i = 0; i < count; ++i)
        most = std::max(most, most_openings(world, i, since));
    return most;
}

// Opens flows through all entries in turn.
std::vector<std::size_t> open_for(relay_world& world, duration time,
                                  std::size_t entry_count = entries,
                                  std::size_t per_ms = flows_per_ms) {
    std::vector<std::size_t> out;
    const auto end = world.now() + time;
    std::size_t n = 0;
    while (world.now() < end) {
        for (std::size_t i = 0; i < per_ms; ++i)
            out.push_back(world.open_flow(n++ % entry_count));
        world.run_for(milliseconds(1));
    }
    return out;
}

// Crashes the first hosts, and boots them later. Requests on `flows` show their
// processes that they have ended. The wait lets the mean load of these requests
// decay, so that the hosts attract flows when they return.
duration return_cold(relay_world& world, std::size_t count,
                     const std::vector<std::size_t>& flows = {}) {
    for (std::size_t i = 0; i < count; ++i)
        world.crash_host(i);
    for (const std::size_t it : flows)
        world.send_request(it, it % entries);
    world.run_for(seconds(8));
    for (std::size_t i = 0; i < count; ++i)
        world.boot_host(i);
    return world.now();
}

// Gives every host flows, so that one that returns without any attracts new
// ones.
std::vector<std::size_t> load_fleet(relay_world& world) {
    world.run_until(startup_time);
    return open_for(world, seconds(3));
}

std::size_t count_open(const relay_world& world,
                       const std::vector<std::size_t>& flows) {
    return static_cast<std::size_t>(std::ranges::count_if(
        flows, [&](std::size_t it) { return world.is_open(it); }));
}

std::uint64_t count_returned(const relay_world& world) {
    const auto it = world.sent_messages().find("packet_returned");
    return it == world.sent_messages().end()
               ? 0
               : it->second.within_data_centre.messages +
                     it->second.between_data_centres.messages;
}

} // namespace

class relay_cold_host_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(relay_cold_host_test);
    CPPUNIT_TEST(no_cold_host_gets_more_than_it_bears);
    CPPUNIT_TEST(without_the_limit_cold_hosts_get_too_much);
    CPPUNIT_TEST(failures_do_not_exceed_the_limit);
    CPPUNIT_TEST(entries_of_the_previous_build_do_not_exceed_the_limit);
    CPPUNIT_TEST(what_cold_hosts_do_not_bear_is_refused_at_once);
    CPPUNIT_TEST(a_draining_cold_host_gets_no_new_flows);
    CPPUNIT_TEST_SUITE_END();

public:
    void no_cold_host_gets_more_than_it_bears() {
        relay_world world(fleet(bounds));
        const auto loaded = load_fleet(world);
        const auto since = return_cold(world, cold_hosts, loaded);
        const auto returned_before = count_returned(world);
        const auto flows = open_for(world, warmup);
        CPPUNIT_ASSERT(most_openings_of_any(world, cold_hosts, since) <= limit);
        world.run_for(milliseconds(700));
        // The other hosts have capacity, so every flow opens.
        CPPUNIT_ASSERT_EQUAL(flows.size(), count_open(world, flows));
        // Entries place within the room that they know.
        const auto returned = count_returned(world) - returned_before;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(returned),
                               returned <= flows.size() / 10);
        // Cold hosts take part: each gets at least a quarter of what it bears.
        for (std::size_t i = 0; i < cold_hosts; ++i)
            CPPUNIT_ASSERT(
                std::ranges::count_if(world.openings_at(i), [&](duration it) {
                    return it >= since;
                }) >= static_cast<std::ptrdiff_t>(rate * 6 / 4));
        CPPUNIT_ASSERT_EQUAL(std::string(),
                             join_lines(world.found_violations()));
    }

    // Shows that the checks of this file can fail.
    void without_the_limit_cold_hosts_get_too_much() {
        relay_world world(fleet(std::nullopt));
        const auto loaded = load_fleet(world);
        const auto since = return_cold(world, cold_hosts, loaded);
        open_for(world, seconds(2));
        CPPUNIT_ASSERT(most_openings_of_any(world, cold_hosts, since) > limit);
    }

    // Entries restart, host processes restart during the warm-up, and one entry
    // is isolated and returns with an old directory.
    void failures_do_not_exceed_the_limit() {
        auto options = fleet(bounds);
        options.loss = 0.01;
        relay_world world(options);
        const auto loaded = load_fleet(world);
        world.set_entry_isolated(7, true);
        const auto since = return_cold(world, cold_hosts, loaded);
        open_for(world, milliseconds(700));
        world.set_entry_isolated(7, false);
        open_for(world, milliseconds(400));
        for (std::size_t i = 0; i < 5; ++i)
            world.kill_entry(i);
        for (std::size_t i = 0; i < cold_hosts; i += 2)
            world.kill_host_process(i);
        open_for(world, milliseconds(150));
        for (std::size_t i = 0; i < 5; ++i)
            world.start_entry(i);
        for (std::size_t i = 0; i < cold_hosts; i += 2)
            world.start_host_process(i);
        open_for(world, seconds(2));
        for (std::size_t i = 0; i < cold_hosts; i += 4) {
            world.kill_host_process(i);
            world.start_host_process(i);
        }
        open_for(world, seconds(2));
        CPPUNIT_ASSERT(most_openings_of_any(world, cold_hosts, since) <= limit);
        CPPUNIT_ASSERT_EQUAL(std::string(),
                             join_lines(world.found_violations()));
    }

    // These place as before; the process beside the host is the check. Half of
    // the entries are of that build, so that the process hears both.
    void entries_of_the_previous_build_do_not_exceed_the_limit() {
        relay_world world({.entries = 4,
                           .hosts = 8,
                           .warmup = warmup,
                           .warmup_rate = rate,
                           .warmup_bounds = bounds});
        world.restart_as_previous_build(0);
        world.restart_as_previous_build(1);
        world.run_until(startup_time);
        const auto since = return_cold(world, 2);
        // Through entries of the previous build only.
        const auto flows = open_for(world, seconds(2), 2);
        CPPUNIT_ASSERT(most_openings_of_any(world, 2, since) <= limit);
        world.run_for(milliseconds(700));
        CPPUNIT_ASSERT_EQUAL(flows.size(), count_open(world, flows));
    }

    // Guards against clients that wait until they give up because every host of
    // the service is cold.
    void what_cold_hosts_do_not_bear_is_refused_at_once() {
        constexpr std::size_t count = 6;
        relay_world world({.entries = 4,
                           .hosts = count,
                           .warmup = warmup,
                           .warmup_rate = rate,
                           .warmup_bounds = bounds});
        world.run_until(startup_time);
        const auto since = return_cold(world, count);
        world.run_for(milliseconds(100));
        const auto before = world.resets();
        std::vector<std::size_t> flows;
        for (int i = 0; i < 2000; ++i) {
            flows.push_back(world.open_flow(static_cast<std::size_t>(i) % 4));
            world.run_for(milliseconds(1));
            // Each flow is decided within a few round trips of 2 ms.
            if (i >= 20) {
                const auto it = flows[flows.size() - 20];
                CPPUNIT_ASSERT(world.is_open(it) || world.is_reset(it));
            }
        }
        CPPUNIT_ASSERT(most_openings_of_any(world, count, since) <= limit);
        CPPUNIT_ASSERT(world.resets() > before);
        // Hosts are used up to what the configuration states.
        CPPUNIT_ASSERT(count_open(world, flows) >=
                       static_cast<std::size_t>(count * rate));
    }

    void a_draining_cold_host_gets_no_new_flows() {
        relay_world world({.entries = 4,
                           .hosts = 8,
                           .warmup = warmup,
                           .warmup_rate = rate,
                           .warmup_bounds = bounds});
        world.run_until(startup_time);
        const auto since = return_cold(world, 2);
        open_for(world, seconds(1), 4);
        world.drain_host(0);
        world.run_for(milliseconds(50));
        const auto placed = world.flows_placed_at(0);
        const auto flows = open_for(world, seconds(1), 4);
        world.run_for(milliseconds(700));
        CPPUNIT_ASSERT_EQUAL(placed, world.flows_placed_at(0));
        CPPUNIT_ASSERT_EQUAL(flows.size(), count_open(world, flows));
        CPPUNIT_ASSERT(most_openings_of_any(world, 2, since) <= limit);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_cold_host_test);

} // namespace arbutusport::emulator
