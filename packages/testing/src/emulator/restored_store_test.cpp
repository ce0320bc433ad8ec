// Guards the directory of entries when the platform's store returns from an
// older copy: revisions go back and are given out again, and what was written
// since is missing until its writers write it again.

#include "relay_world_flows.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace arbutusport::emulator {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration startup_time = seconds(2);
// The bound for a change of the configuration.
constexpr duration config_limit = seconds(3);
constexpr std::uint16_t added_port = 444;
constexpr std::uint16_t later_port = 445;

// Whether every entry opens a flow to the port of the service address.
bool serves_everywhere(relay_world& world, std::uint16_t port,
                       std::size_t entries) {
    std::vector<std::size_t> flows;
    for (std::size_t i = 0; i < entries; ++i)
        flows.push_back(world.open_flow(i, port));
    world.run_for(milliseconds(500));
    return std::ranges::all_of(
        flows, [&](std::size_t it) { return world.is_open(it); });
}

} // namespace

class restored_store_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(restored_store_test);
    CPPUNIT_TEST(a_change_at_a_reused_revision_is_in_force);
    CPPUNIT_TEST(a_change_is_in_force_after_each_of_two_restores);
    CPPUNIT_TEST(an_entry_without_store_learns_the_change_from_a_peer);
    CPPUNIT_TEST(an_older_configuration_never_returns);
    CPPUNIT_TEST(a_started_entry_learns_the_lost_configuration_from_a_peer);
    CPPUNIT_TEST(a_host_missing_in_the_copy_keeps_serving);
    CPPUNIT_TEST(a_departed_host_in_the_copy_is_not_used);
    CPPUNIT_TEST(a_departed_host_is_not_named_by_an_entry_that_started_later);
    CPPUNIT_TEST(a_draining_host_that_is_ready_in_the_copy_is_not_used);
    CPPUNIT_TEST(a_host_that_expired_before_the_copy_returned_is_used_again);
    CPPUNIT_TEST(no_entry_follows_a_reader_that_knows_no_eras);
    CPPUNIT_TEST(a_started_entry_of_two_builds_serves_the_change);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a confirmed route that is not served because its revision
    // had been used before the restore (deploy/days/restored.toml).
    void a_change_at_a_reused_revision_is_in_force() {
        relay_world world({});
        world.run_until(startup_time);
        world.back_up_store();
        world.drain_host(5);
        world.run_for(milliseconds(100));
        lose_and_restore(world, 3);
        world.add_route(added_port);
        world.run_for(config_limit);
        CPPUNIT_ASSERT(serves_everywhere(world, added_port, 3));
    }

    // Guards against a second restore that is mistaken for the first.
    void a_change_is_in_force_after_each_of_two_restores() {
        relay_world world({.entries = 4, .data_centres = 2});
        world.run_until(startup_time);
        world.back_up_store();
        world.drain_host(5);
        world.run_for(milliseconds(100));
        lose_and_restore(world, 4);
        world.add_route(added_port);
        world.run_for(config_limit);
        CPPUNIT_ASSERT(serves_everywhere(world, added_port, 4));
        lose_and_restore(world, 4);
        world.run_for(milliseconds(100));
        world.write_again();
        world.add_route(later_port);
        world.run_for(config_limit);
        CPPUNIT_ASSERT(serves_everywhere(world, added_port, 4));
        CPPUNIT_ASSERT(serves_everywhere(world, later_port, 4));
    }

    // Guards against a follower that drops a peer's directory because its
    // revision is lower than the one before the restore.
    void an_entry_without_store_learns_the_change_from_a_peer() {
        relay_world world({});
        world.run_until(startup_time);
        world.back_up_store();
        for (std::size_t i = 3; i < 6; ++i)
            world.drain_host(i);
        world.run_for(milliseconds(100));
        lose_and_restore(world, 3);
        world.disconnect_store(2);
        world.add_route(added_port);
        world.run_for(config_limit);
        CPPUNIT_ASSERT(serves_everywhere(world, added_port, 3));
    }

    // Guards against the return to the configuration in the copy.
    void an_older_configuration_never_returns() {
        relay_world world({.entries = 4, .data_centres = 2});
        world.run_until(startup_time);
        world.back_up_store();
        world.add_route(added_port);
        world.run_for(milliseconds(100));
        lose_and_restore(world, 4);
        for (std::size_t i = 0; i < 4; ++i)
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                                 world.directory_of(i).version());
        CPPUNIT_ASSERT(serves_everywhere(world, added_port, 4));
        world.write_again();
        world.run_for(seconds(1));
        CPPUNIT_ASSERT(serves_everywhere(world, added_port, 4));
    }

    // Guards against an entry that serves the configuration of the copy until
    // the operator writes again, although its peers know a newer one.
    void a_started_entry_learns_the_lost_configuration_from_a_peer() {
        relay_world world({});
        world.run_until(startup_time);
        world.back_up_store();
        world.add_route(added_port);
        world.run_for(milliseconds(100));
        lose_and_restore(world, 3);
        world.kill_entry(2);
        world.start_entry(2);
        world.run_for(config_limit);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, world.directory_of(2).version());
    }

    // Guards against flows of a live host that are reset, and against a service
    // without hosts, while registrations newer than the copy are missing.
    void a_host_missing_in_the_copy_keeps_serving() {
        relay_world world({});
        world.run_until(startup_time);
        for (std::size_t i = 0; i < 6; ++i)
            world.unregister_host(i);
        world.run_for(milliseconds(100));
        world.back_up_store();
        for (std::size_t i = 0; i < 6; ++i)
            world.boot_host(i);
        world.run_for(milliseconds(500));
        const auto flows = open_flows(world, 30);
        lose_and_restore(world, 3);
        CPPUNIT_ASSERT(serves_everywhere(world, 443, 3));
        world.run_for(milliseconds(1900));
        world.write_again();
        world.run_for(seconds(4));
        CPPUNIT_ASSERT(serves_everywhere(world, 443, 3));
        send_all(world, flows, 1);
        world.run_for(milliseconds(500));
        for (const auto it : flows)
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, world.answers(it));
        CPPUNIT_ASSERT_EQUAL(std::string(),
                             join_lines(world.found_violations()));
    }

    // Guards against new flows at a host that left after the copy was made.
    void a_departed_host_in_the_copy_is_not_used() {
        relay_world world({.hosts = 2});
        world.run_until(startup_time);
        world.back_up_store();
        world.drain_host(1);
        world.run_for(seconds(1));
        world.unregister_host(1);
        world.run_for(milliseconds(500));
        const auto placed = world.flows_placed_at(1);
        lose_and_restore(world, 3);
        open_flows(world, 30);
        world.run_for(seconds(1));
        CPPUNIT_ASSERT_EQUAL(placed, world.flows_placed_at(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             world.directory_of(0).hosts().size());
    }

    // Guards against a departed host that returns through a process that has
    // read only the copy and passes it on to its peers.
    void a_departed_host_is_not_named_by_an_entry_that_started_later() {
        relay_world world({.hosts = 2});
        world.run_until(startup_time);
        world.back_up_store();
        world.drain_host(1);
        world.run_for(seconds(1));
        world.unregister_host(1);
        world.run_for(milliseconds(500));
        const auto placed = world.flows_placed_at(1);
        const auto reader = world.first_reader();
        world.kill_entry(reader);
        lose_and_restore(world, 3);
        world.start_entry(reader);
        world.run_for(milliseconds(500));
        for (std::size_t i = 0; i < 12; ++i)
            world.open_flow(reader == 0 ? 1 : 0);
        world.run_for(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(placed, world.flows_placed_at(1));
    }

    // Guards against a drain that is undone by the copy.
    void a_draining_host_that_is_ready_in_the_copy_is_not_used() {
        relay_world world({.hosts = 2});
        world.run_until(startup_time);
        world.back_up_store();
        world.drain_host(1);
        world.run_for(milliseconds(500));
        const auto placed = world.flows_placed_at(1);
        lose_and_restore(world, 3);
        open_flows(world, 30);
        CPPUNIT_ASSERT_EQUAL(placed, world.flows_placed_at(1));
        world.write_again();
        world.run_for(milliseconds(500));
        open_flows(world, 30);
        CPPUNIT_ASSERT_EQUAL(placed, world.flows_placed_at(1));
    }

    // Guards against a live host that stays unused for good because it counts
    // as departed: its registration had expired when the copy returned.
    void a_host_that_expired_before_the_copy_returned_is_used_again() {
        relay_world world({.hosts = 2});
        world.run_until(startup_time);
        world.back_up_store();
        world.unregister_host(1);
        world.run_for(seconds(1));
        lose_and_restore(world, 3);
        world.run_for(seconds(10));
        const auto placed = world.flows_placed_at(1);
        open_flows(world, 30);
        CPPUNIT_ASSERT(world.flows_placed_at(1) > placed);
    }

    // Guards against a release in turn during which entries follow a reader of
    // the previous build, which takes the restored store for an old one.
    void no_entry_follows_a_reader_that_knows_no_eras() {
        for (std::size_t reader = 0; reader < 4; ++reader) {
            relay_world world({.entries = 4, .seed = reader + 1});
            world.disregard_eras(reader);
            world.disregard_eras((reader + 1) % 4);
            world.run_until(startup_time);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.reader_count());
            world.back_up_store();
            for (std::size_t i = 3; i < 6; ++i)
                world.drain_host(i);
            world.run_for(milliseconds(100));
            lose_and_restore(world, 4);
            world.run_for(seconds(2));
            world.add_route(added_port);
            world.run_for(config_limit);
            for (std::size_t i = 2; i < 4; ++i)
                CPPUNIT_ASSERT_EQUAL(
                    std::uint64_t{2},
                    world.directory_of((reader + i) % 4).version());
        }
    }

    // Guards against an entry that adopts the history before the restore from
    // its peers of the previous build when it starts.
    void a_started_entry_of_two_builds_serves_the_change() {
        relay_world world({.entries = 4});
        world.disregard_eras(0);
        world.disregard_eras(1);
        world.run_until(startup_time);
        world.back_up_store();
        for (std::size_t i = 3; i < 6; ++i)
            world.drain_host(i);
        world.run_for(milliseconds(100));
        lose_and_restore(world, 4);
        world.kill_entry(3);
        world.run_for(milliseconds(500));
        world.start_entry(3);
        world.run_for(seconds(1));
        world.add_route(added_port);
        world.run_for(config_limit);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, world.directory_of(3).version());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(restored_store_test);

} // namespace arbutusport::emulator
