// Guards flows of a host that has closed its listener: it has crashed, or it
// drains and serves on. The process beside it must tell the two apart.

#include "relay_world_flows.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace arbutusport::emulator {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Long enough for hellos, reports, the first listing and the election.
constexpr duration startup_time = seconds(4);
constexpr std::size_t host = 1;

std::vector<std::size_t> flows_of_host(const relay_world& world,
                                       const std::vector<std::size_t>& flows) {
    std::vector<std::size_t> out;
    for (const auto it : flows)
        if (world.owning_host(it) == host)
            out.push_back(it);
    CPPUNIT_ASSERT(!out.empty());
    return out;
}

void check_served(relay_world& world, const std::vector<std::size_t>& flows) {
    send_all(world, flows, 0);
    world.run_for(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::string(), join_lines(world.found_violations()));
    for (const auto it : flows)
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, world.answers(it));
}

} // namespace

class relay_closed_listener_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(relay_closed_listener_test);
    CPPUNIT_TEST(an_acknowledgement_to_a_draining_host_ends_no_flow);
    CPPUNIT_TEST(an_acknowledgement_before_the_drain_is_known_ends_no_flow);
    CPPUNIT_TEST(an_acknowledgement_after_a_restart_ends_no_flow);
    CPPUNIT_TEST(a_restarted_process_keeps_flows_before_the_drain_is_known);
    CPPUNIT_TEST(a_crash_beside_a_restarted_process_ends_flows);
    CPPUNIT_TEST(a_crash_ends_flows_although_clients_acknowledge);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against the reset of open flows in review/7: the process took a
    // bare acknowledgement for a packet that the host has to answer.
    void an_acknowledgement_to_a_draining_host_ends_no_flow() {
        relay_world world({});
        world.run_until(startup_time);
        const auto flows = open_flows(world, 60);
        world.drain_host(host);
        world.run_for(seconds(1));
        world.close_listener(host);
        world.run_for(milliseconds(100));
        world.acknowledge(flows_of_host(world, flows).front(), 0);
        world.run_for(seconds(2));
        check_served(world, flows);
    }

    // A host closes its listener soon after it has registered as draining.
    void an_acknowledgement_before_the_drain_is_known_ends_no_flow() {
        relay_world world({});
        world.run_until(startup_time);
        const auto flows = open_flows(world, 60);
        world.close_listener(host);
        world.run_for(milliseconds(100));
        world.acknowledge(flows_of_host(world, flows).front(), 0);
        world.run_for(milliseconds(700));
        world.drain_host(host);
        world.run_for(seconds(1));
        check_served(world, flows);
    }

    // The process delivers the packet to find out whether the host has the
    // flow. A host that has it does not react.
    void an_acknowledgement_after_a_restart_ends_no_flow() {
        relay_world world({});
        world.run_until(startup_time);
        const auto flows = open_flows(world, 60);
        world.drain_host(host);
        world.run_for(seconds(1));
        world.close_listener(host);
        world.kill_host_process(host);
        world.run_for(milliseconds(500));
        world.start_host_process(host);
        world.run_for(milliseconds(500));
        for (const auto it : flows_of_host(world, flows))
            world.acknowledge(it, 0);
        world.run_for(seconds(2));
        check_served(world, flows);
    }

    // Guards against the reset of live flows by a restarted process: it knew
    // none of them and took the refused connection to a host registered as
    // ready for its end, although the host had just begun to drain.
    void a_restarted_process_keeps_flows_before_the_drain_is_known() {
        relay_world world({});
        world.run_until(startup_time);
        const auto flows = open_flows(world, 60);
        world.kill_host_process(host);
        world.run_for(milliseconds(500));
        world.start_host_process(host);
        world.run_for(milliseconds(500));
        world.close_listener(host);
        world.run_for(milliseconds(100));
        check_served(world, flows);
    }

    // The opposite fault: the process does not know which flows the host had.
    void a_crash_beside_a_restarted_process_ends_flows() {
        relay_world world({});
        world.run_until(startup_time);
        const auto flows = flows_of_host(world, open_flows(world, 60));
        world.kill_host_process(host);
        world.run_for(milliseconds(500));
        world.start_host_process(host);
        world.run_for(milliseconds(500));
        world.crash_host(host);
        world.run_for(milliseconds(100));
        send_all(world, flows, 0);
        // The entry forwards the request and its first repetition, after 200
        // ms, as before the crash. It searches the flow with the second one.
        world.run_for(milliseconds(600 + 100));
        for (const auto it : flows)
            CPPUNIT_ASSERT(world.is_reset(it));
    }

    // The opposite fault: flows of a host that has ended must end too.
    void a_crash_ends_flows_although_clients_acknowledge() {
        relay_world world({});
        world.run_until(startup_time);
        const auto flows = flows_of_host(world, open_flows(world, 60));
        world.crash_host(host);
        world.run_for(milliseconds(100));
        for (int i = 0; i < 3; ++i) {
            world.acknowledge(flows.front(), 0);
            world.run_for(milliseconds(100));
        }
        world.send_request(flows.back(), 0);
        world.run_for(milliseconds(260));
        for (const auto it : flows)
            CPPUNIT_ASSERT(world.is_reset(it));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_closed_listener_test);

} // namespace arbutusport::emulator
