// Guards what a record of another writer may decide: one whose service no route
// names describes no host, wherever its address points.

#include "relay_world_flows.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace arbutusport::emulator {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Long enough for hellos, reports, the first listing and the election.
constexpr duration startup_time = seconds(4);
constexpr std::size_t host_count = 6;
// No machine has this address.
constexpr std::uint32_t unused_address = 0x0b0000ff;

// A well-formed record of a service that no route names, at the host's address.
relay::host_record foreign_record(const relay_world& world, std::size_t host) {
    relay::host_record it = world.record_of(host);
    it.key = relay::host_key(it.key.value() + 50);
    it.service = service_id_of("smoke-test");
    it.started = unix_milliseconds(
        it.started.value() +
        static_cast<std::uint64_t>(world.now().count()) / 1000);
    return it;
}

void restart_host_process(relay_world& world, std::size_t host) {
    world.kill_host_process(host);
    world.run_for(milliseconds(500));
    world.start_host_process(host);
    world.run_for(seconds(1));
}

void check_all_answered(const relay_world& world,
                        const std::vector<std::size_t>& flows) {
    CPPUNIT_ASSERT_EQUAL(std::string(), join_lines(world.found_violations()));
    for (const auto it : flows)
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, world.answers(it));
}

} // namespace

class relay_foreign_record_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(relay_foreign_record_test);
    CPPUNIT_TEST(it_makes_no_restarted_host_process_deny_flows);
    CPPUNIT_TEST(a_restarted_entry_does_not_use_it);
    CPPUNIT_TEST(it_drains_no_host);
    CPPUNIT_TEST(a_second_record_gives_a_draining_host_no_flow);
    CPPUNIT_TEST(its_address_delays_no_reset);
    CPPUNIT_TEST(a_restarted_entry_finds_flows_of_a_service_without_route);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against the reset of open flows in review/8: the process took the
    // start of the foreign record for the one of its host.
    void it_makes_no_restarted_host_process_deny_flows() {
        relay_world world({});
        world.run_until(startup_time);
        const auto flows = open_flows(world, 60);
        restart_host_process(world, 1);
        world.write_record(foreign_record(world, 1));
        world.run_for(seconds(1));
        send_all(world, flows, 0);
        world.run_for(seconds(2));
        check_all_answered(world, flows);
    }

    // The entry has no report yet that names the service of the process.
    void a_restarted_entry_does_not_use_it() {
        relay_world world({});
        world.run_until(startup_time);
        const auto flows = open_flows(world, 60);
        restart_host_process(world, 1);
        for (std::size_t i = 0; i < world.entry_count(); ++i)
            world.kill_entry(i);
        world.run_for(milliseconds(500));
        world.write_record(foreign_record(world, 1));
        for (std::size_t i = 0; i < world.entry_count(); ++i)
            world.start_entry(i);
        world.run_for(seconds(1));
        send_all(world, flows, 0);
        world.run_for(seconds(2));
        check_all_answered(world, flows);
    }

    // Guards against opening packets that host processes return for a drain of
    // another service.
    void it_drains_no_host() {
        relay_world world({.returns_draining = true});
        world.run_until(startup_time);
        for (std::size_t i = 0; i < host_count; ++i) {
            relay::host_record it = foreign_record(world, i);
            it.draining = true;
            world.write_record(it);
        }
        world.run_for(seconds(1));
        const auto flows = open_flows(world, 60);
        send_all(world, flows, 0);
        world.run_for(seconds(1));
        check_all_answered(world, flows);
    }

    // Guards against flows that a draining host took for another record at its
    // address in review/9, there one without `born`. A copy of the host's own
    // record from before the drain is another.
    void a_second_record_gives_a_draining_host_no_flow() {
        for (const bool is_copy : {false, true}) {
            relay_world world({.returns_draining = true});
            world.run_until(startup_time);
            relay::host_record it = world.record_of(1);
            it.key = relay::host_key(it.key.value() + 50);
            if (!is_copy)
                it.started = {};
            world.drain_host(1);
            const auto drained_at = world.now();
            world.run_for(seconds(1));
            world.write_record(it);
            for (int i = 0; i < 10; ++i) {
                open_flows(world, 60);
                world.run_for(seconds(1));
            }
            const auto& opened = world.openings_at(1);
            CPPUNIT_ASSERT(opened.empty() ||
                           opened.back() < drained_at + seconds(1));
        }
    }

    // Guards against searches that wait for the answer of a machine that does
    // not exist.
    void its_address_delays_no_reset() {
        relay_world world({});
        world.run_until(startup_time);
        const auto flows = open_flows(world, 60);
        relay::host_record it = foreign_record(world, 1);
        it.address.address = unused_address;
        world.write_record(it);
        world.run_for(milliseconds(100));
        world.crash_host(1);
        world.boot_host(1);
        world.run_for(milliseconds(500));
        send_all(world, flows, 0);
        world.run_for(milliseconds(300));
        std::size_t lost = 0;
        for (const auto one : flows) {
            lost += world.is_reset(one) ? 1 : 0;
            CPPUNIT_ASSERT(world.is_reset(one) || world.answers(one) == 1);
        }
        CPPUNIT_ASSERT(lost > 0);
    }

    // The other half of the rule: a service that lost its route still has
    // flows, and an entry that has just started knows it by its record only.
    void a_restarted_entry_finds_flows_of_a_service_without_route() {
        relay_world world({});
        world.run_until(startup_time);
        const auto flows = open_flows(world, 60);
        world.change_route();
        world.run_for(milliseconds(500));
        for (std::size_t i = 0; i < world.entry_count(); ++i)
            world.kill_entry(i);
        world.run_for(milliseconds(500));
        for (std::size_t i = 0; i < world.entry_count(); ++i)
            world.start_entry(i);
        world.run_for(seconds(5));
        send_all(world, flows, 0);
        world.run_for(seconds(2));
        check_all_answered(world, flows);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_foreign_record_test);

} // namespace arbutusport::emulator
