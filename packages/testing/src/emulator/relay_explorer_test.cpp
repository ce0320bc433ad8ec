// Guards flows of live hosts, and services, over every order of the messages
// around a drain, a restart or a crash, with one of them lost. Two entries,
// three hosts, one flow; random search found such faults only by chance.

#include <arbutusport/emulator/relay_explorer.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace arbutusport::emulator {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Clients send a packet again for that long at least.
constexpr duration answered_within = seconds(4);

const relay_world_options small_world{.entries = 2, .hosts = 3};

std::size_t open(relay_world& world) {
    const auto flow = world.open_flow(0);
    world.run_for(milliseconds(300));
    return flow;
}

// Empty if the request on the flow of a live host was answered.
std::string served(relay_world& world, std::size_t flow, std::size_t entry) {
    const auto before = world.answers(flow);
    world.send_request(flow, entry);
    world.run_for(answered_within);
    return world.answers(flow) > before ? "" : "not answered\n";
}

void check(const exploration& it) {
    CPPUNIT_ASSERT_EQUAL(std::string(), it.failure.empty()
                                            ? std::string()
                                            : it.failure + "with messages " +
                                                  to_string(it.failing));
    // Choices of at most two late and one lost among the messages.
    CPPUNIT_ASSERT(it.runs > 1000);
}

} // namespace

class relay_explorer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(relay_explorer_test);
    CPPUNIT_TEST(finds_a_fault_that_needs_a_lost_message);
    CPPUNIT_TEST(another_entry_finds_the_owner);
    CPPUNIT_TEST(a_restarted_host_process_keeps_its_flows);
    CPPUNIT_TEST(a_restarted_entry_keeps_flows_of_a_draining_host);
    CPPUNIT_TEST(a_crashed_host_is_told_apart_from_live_ones);
    CPPUNIT_TEST(an_address_used_again_gets_no_old_flow);
    CPPUNIT_TEST(a_flow_opens_and_moves_to_another_entry);
    CPPUNIT_TEST(all_processes_restart_while_a_host_drains);
    CPPUNIT_TEST(a_reader_dies_while_a_host_registers);
    CPPUNIT_TEST_SUITE_END();

public:
    // The exploration itself: a client that sends once is lost with one packet.
    void finds_a_fault_that_needs_a_lost_message() {
        const auto it = explore(
            {.world = small_world, .messages = 4, .max_late = 0},
            [](relay_world& world, const auto& from_here) -> std::string {
                const auto flow = open(world);
                from_here();
                world.send_request(flow, 0);
                world.run_for(milliseconds(150));
                return world.answers(flow) == 1 ? "" : "lost";
            });
        CPPUNIT_ASSERT_EQUAL(std::string("lost"), it.failure);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.failing.size());
    }

    void another_entry_finds_the_owner() {
        check(explore({.world = small_world},
                      [](relay_world& world, const auto& from_here) {
                          const auto flow = open(world);
                          world.kill_entry(1);
                          world.run_for(milliseconds(500));
                          from_here();
                          world.start_entry(1);
                          world.run_for(milliseconds(30));
                          return served(world, flow, 1);
                      }));
    }

    void a_restarted_host_process_keeps_its_flows() {
        check(explore({.world = small_world},
                      [](relay_world& world, const auto& from_here) {
                          const auto flow = open(world);
                          const auto host = world.owner(flow);
                          world.kill_host_process(host);
                          world.kill_entry(1);
                          world.run_for(milliseconds(500));
                          from_here();
                          world.start_entry(1);
                          world.start_host_process(host);
                          world.run_for(milliseconds(20));
                          return served(world, flow, 1);
                      }));
    }

    void a_restarted_entry_keeps_flows_of_a_draining_host() {
        check(explore({.world = small_world},
                      [](relay_world& world, const auto& from_here) {
                          const auto flow = open(world);
                          const auto host = world.owner(flow);
                          world.drain_host(host);
                          world.run_for(seconds(1));
                          world.kill_entry(1);
                          world.close_listener(host);
                          world.run_for(milliseconds(500));
                          from_here();
                          world.unregister_host(host);
                          world.start_entry(1);
                          world.run_for(milliseconds(20));
                          return served(world, flow, 1);
                      }));
    }

    // Flows of the two live hosts stay; the third one's end by a reset.
    void a_crashed_host_is_told_apart_from_live_ones() {
        check(explore({.world = small_world}, [](relay_world& world,
                                                 const auto& from_here) {
            const auto first = open(world);
            auto second = open(world);
            while (world.owner(second) == world.owner(first))
                second = open(world);
            const auto host = world.owner(first);
            world.kill_entry(1);
            world.run_for(milliseconds(500));
            from_here();
            world.crash_host(host);
            world.start_entry(1);
            world.boot_host(host);
            world.send_request(first, 1);
            const auto out = served(world, second, 1);
            return world.is_reset(first) ? out : out + "lost flow not told\n";
        }));
    }

    void an_address_used_again_gets_no_old_flow() {
        check(explore({.world = small_world},
                      [](relay_world& world, const auto& from_here) {
                          const auto first = open(world);
                          auto second = open(world);
                          while (world.owner(second) == world.owner(first))
                              second = open(world);
                          from_here();
                          world.reuse_address(world.owner(first));
                          world.send_request(first, 1);
                          return served(world, second, 1);
                      }));
    }

    // Late copies of the opening packet may reach a second host.
    void a_flow_opens_and_moves_to_another_entry() {
        check(explore({.world = small_world, .lateness = milliseconds(90)},
                      [](relay_world& world, const auto& from_here) {
                          from_here();
                          const auto flow = world.open_flow(0);
                          world.run_for(milliseconds(700));
                          if (!world.is_open(flow))
                              return std::string("not opened\n");
                          return served(world, flow, 1);
                      }));
    }

    void all_processes_restart_while_a_host_drains() {
        check(explore({.world = small_world},
                      [](relay_world& world, const auto& from_here) {
                          const auto flow = open(world);
                          for (std::size_t i = 0; i < 2; ++i)
                              world.kill_entry(i);
                          for (std::size_t i = 0; i < 3; ++i)
                              world.kill_host_process(i);
                          world.drain_host(world.owner(flow));
                          world.run_for(milliseconds(500));
                          from_here();
                          for (std::size_t i = 0; i < 3; ++i)
                              world.start_host_process(i);
                          for (std::size_t i = 0; i < 2; ++i)
                              world.start_entry(i);
                          world.run_for(milliseconds(20));
                          return served(world, flow, 1);
                      }));
    }

    // The flow of a host that only the dead reader knew of must not be reset
    // by those that follow it.
    void a_reader_dies_while_a_host_registers() {
        check(explore({.world = {.entries = 3, .hosts = 3}},
                      [](relay_world& world, const auto& from_here) {
                          const auto reader = world.reader();
                          const auto other = (reader + 1) % 3;
                          world.unregister_host(0);
                          world.unregister_host(1);
                          world.run_for(seconds(5));
                          from_here();
                          world.boot_host(0);
                          world.boot_host(1);
                          world.run_for(milliseconds(2));
                          std::size_t flow = world.open_flow(reader);
                          world.run_for(milliseconds(20));
                          world.kill_entry(reader);
                          if (!world.is_open(flow))
                              return std::string();
                          return served(world, flow, other);
                      }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_explorer_test);

} // namespace arbutusport::emulator
