// Guards the way of versions and drains from the entry that reads the store to
// the others of its data centre: over narrow links, with lost messages, and
// while changes follow one another.

#include "relay_world_flows.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <utility>

namespace arbutusport::emulator {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Long enough for hellos, reports, the first listing and the election.
constexpr duration startup_time = seconds(4);
// Strictest bound of a deployment on the time until a version or a drain is in
// force (docs/platform.md).
constexpr duration apply_bound = seconds(3);
constexpr duration step = milliseconds(100);
constexpr std::size_t idle_routes = 1640;
constexpr double ten_megabits = 1.25e6;

// Records versions and drains with the time at which they were published, and
// finds entries that lack one after the bound.
class publications {
public:
    explicit publications(relay_world& world) : world_(world) {}

    void note() {
        std::uint64_t version = 0;
        std::size_t draining = 0;
        for (std::size_t i = 0; i < world_.entry_count(); ++i) {
            version = std::max(version, world_.directory_of(i).version());
            draining = std::max(draining, count_draining_hosts(world_, i));
        }
        pending_.push_back({world_.now(), version, draining});
    }

    // Runs for the time; entries that are late are added to the result, each
    // once a step.
    std::size_t late_in(duration time) {
        std::size_t out = 0;
        for (const duration end = world_.now() + time; world_.now() < end;) {
            world_.run_for(step);
            note();
            while (pending_.front().at + apply_bound < world_.now()) {
                due_ = pending_.front();
                pending_.pop_front();
            }
            for (std::size_t i = 0; i < world_.entry_count(); ++i)
                if (world_.directory_of(i).version() < due_.version ||
                    count_draining_hosts(world_, i) < due_.draining)
                    ++out;
        }
        return out;
    }

private:
    struct state {
        duration at{};
        std::uint64_t version = 0;
        std::size_t draining = 0;
    };

    relay_world& world_;
    std::deque<state> pending_;
    state due_;
};

// Entries of one data centre whose links are narrow, with a large
// configuration that all of them know.
class large_configuration {
public:
    explicit large_configuration(relay_world_options options)
        : world(options), published(world) {
        world.run_until(startup_time);
        world.add_idle_routes(idle_routes);
        late = published.late_in(seconds(5));
    }

    relay_world world;
    publications published;
    std::size_t late = 0;
};

} // namespace

class relay_transfer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(relay_transfer_test);
    CPPUNIT_TEST(a_large_configuration_reaches_all_entries_over_narrow_links);
    CPPUNIT_TEST(versions_in_series_reach_all_entries_over_narrow_links);
    CPPUNIT_TEST(drains_reach_all_entries_beside_a_large_configuration);
    CPPUNIT_TEST(lost_messages_delay_no_version);
    CPPUNIT_TEST(lost_messages_delay_no_large_configuration);
    CPPUNIT_TEST(a_lagging_entry_opens_no_flow_at_a_draining_host);
    CPPUNIT_TEST_SUITE_END();

public:
    // The end of each push was lost, so the last entries in the order of
    // addresses missed the version (issue 39).
    void a_large_configuration_reaches_all_entries_over_narrow_links() {
        large_configuration it(
            {.entries = 8, .hosts = 20, .link_bytes_per_second = ten_megabits});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.late);
    }

    // A push discarded what had arrived of the one before it, so some entries
    // had no complete directory until the series ended (issue 39).
    void versions_in_series_reach_all_entries_over_narrow_links() {
        large_configuration it(
            {.entries = 8, .hosts = 20, .link_bytes_per_second = ten_megabits});
        std::size_t late = 0;
        for (std::uint16_t port = 1000; port < 1012; ++port) {
            it.world.add_route(port);
            late += it.published.late_in(seconds(1));
        }
        for (std::uint16_t port = 1100; port < 1125; ++port) {
            it.world.add_route(port);
            late += it.published.late_in(milliseconds(100));
        }
        late += it.published.late_in(seconds(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, late);
    }

    // A change of hosts cannot be adopted without the configuration before it,
    // so a lost configuration delayed drains (issue 39).
    void drains_reach_all_entries_beside_a_large_configuration() {
        large_configuration it(
            {.entries = 8, .hosts = 20, .link_bytes_per_second = ten_megabits});
        std::size_t late = 0;
        for (std::uint16_t i = 0; i < 10; ++i) {
            it.world.add_route(static_cast<std::uint16_t>(1000 + i));
            it.world.run_for(milliseconds(50));
            it.world.drain_host(i);
            late += it.published.late_in(milliseconds(700));
        }
        late += it.published.late_in(seconds(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, late);
    }

    void lost_messages_delay_no_version() {
        for (const std::uint64_t seed : {1, 2, 3}) {
            large_configuration it(
                {.entries = 8, .hosts = 20, .seed = seed, .loss = 0.05});
            std::size_t late = 0;
            for (std::uint16_t port = 1000; port < 1020; ++port) {
                it.world.add_route(port);
                late += it.published.late_in(seconds(1));
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, late);
        }
    }

    // The process beside a host that drains delivered opening packets of every
    // entry, also of those that did not know of the drain (issue 39).
    void a_lagging_entry_opens_no_flow_at_a_draining_host() {
        constexpr std::size_t entries = 4;
        constexpr std::size_t leaving = 2;
        relay_world world(
            {.entries = entries, .hosts = 6, .returns_draining = true});
        world.run_until(startup_time);
        for (const char* type : {"directory_delta", "directory_part"})
            world.drop_messages(type, true);
        world.drain_host(leaving);
        const duration drained_at = world.now();
        const auto flows = open_flows(world, 1200, entries);
        std::size_t lagging = 0;
        for (std::size_t i = 0; i < entries; ++i)
            lagging += count_draining_hosts(world, i) == 0 ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(entries - 1, lagging);
        for (const auto it : flows)
            CPPUNIT_ASSERT(world.is_open(it));
        for (const duration it : world.openings_at(leaving))
            CPPUNIT_ASSERT(it <= drained_at + apply_bound);
    }

    void lost_messages_delay_no_large_configuration() {
        for (const std::uint64_t seed : {1, 2, 3}) {
            large_configuration it({.entries = 8,
                                    .hosts = 20,
                                    .seed = seed,
                                    .loss = 0.05,
                                    .link_bytes_per_second = ten_megabits});
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.late);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_transfer_test);

} // namespace arbutusport::emulator
