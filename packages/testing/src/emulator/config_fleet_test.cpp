// Guards R8 in a simulated fleet: no process may revert to an older
// generation, and all processes must converge after the faults end.

#include <arbutusport/emulator/config_fleet.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace arbutusport::emulator {

namespace {

using namespace std::chrono_literals;

std::string first_or_empty(const std::vector<std::string>& list) {
    return list.empty() ? "" : list.front();
}

void apply_fault(config_fleet& it, std::mt19937_64& random) {
    const std::size_t i = random() % it.size();
    const std::string data_centre = it.data_centre(i);
    switch (random() % 12) {
    case 0:
        it.publish(random());
        it.publish(random()); // a concurrent publisher
        break;
    case 1:
        it.publish(random());
        break;
    case 2:
        it.set_platform_stale(data_centre, random() % 2 == 0);
        break;
    case 3:
        it.set_platform_down(data_centre, random() % 2 == 0);
        break;
    case 4:
    case 5:
        it.restart(i);
        break;
    case 6:
        it.stop(i);
        break;
    case 7:
        it.resume(i);
        break;
    case 8:
        it.partition({i, random() % it.size(), random() % it.size()});
        break;
    case 9:
        it.partition({});
        break;
    case 10:
        it.set_link_faults(random() % 40, random() % 40,
                           std::chrono::milliseconds(1 + random() % 400));
        break;
    default:
        it.set_link_faults(0, 0, 0us);
    }
}

void end_faults(config_fleet& it) {
    it.set_link_faults(0, 0, 0us);
    it.partition({});
    for (std::size_t i = 0; i < it.size(); ++i) {
        it.resume(i);
        it.set_platform_down(it.data_centre(i), false);
        it.set_platform_stale(it.data_centre(i), false);
    }
}

} // namespace

class config_fleet_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(config_fleet_test);
    CPPUNIT_TEST(change_reaches_every_process);
    CPPUNIT_TEST(restart_with_a_stale_platform_does_not_revert);
    CPPUNIT_TEST(restart_among_differing_peers_adopts_the_newest);
    CPPUNIT_TEST(restart_with_a_dead_data_centre_adopts_within_8_s);
    CPPUNIT_TEST(simultaneous_start_stays_within_platform_call_rate);
    CPPUNIT_TEST(malformed_generation_is_read_once);
    CPPUNIT_TEST(isolated_process_reads_from_the_platform);
    CPPUNIT_TEST(fleet_never_reverts_and_converges_after_random_faults);
    CPPUNIT_TEST_SUITE_END();

public:
    // Includes a data centre that cannot reach the platform: its processes must
    // receive the change from peers.
    void change_reaches_every_process() {
        config_fleet it({});
        it.advance(10s);
        CPPUNIT_ASSERT_EQUAL(it.size(), it.count_in_force(it.head()));
        std::size_t readers = 0;
        for (std::size_t i = 0; i < it.size(); ++i)
            readers += it.is_reader(i) ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, readers);
        it.set_platform_down("dc-0", true);
        it.publish(0);
        it.advance(5s);
        CPPUNIT_ASSERT_EQUAL(it.size(), it.count_in_force(it.head()));
    }

    void restart_with_a_stale_platform_does_not_revert() {
        for (std::uint64_t seed = 0; seed < 20; ++seed) {
            config_fleet it({.seed = seed});
            it.advance(10s);
            it.set_platform_stale("dc-0", true);
            it.publish(0);
            it.advance(5s);
            it.restart(0); // in dc-0
            it.advance(8s);
            CPPUNIT_ASSERT(it.in_force(0) == it.head());
            CPPUNIT_ASSERT_EQUAL(std::string(),
                                 first_or_empty(it.violations()));
        }
    }

    // When a partition heals, only one data centre has the newer generation.
    // A process that starts at that time may receive the older one first.
    void restart_among_differing_peers_adopts_the_newest() {
        for (std::uint64_t seed = 0; seed < 20; ++seed) {
            config_fleet it({.seed = seed});
            it.advance(10s);
            std::set<std::size_t> members;
            for (std::size_t i = 0; i < it.size(); ++i)
                if (it.data_centre(i) == "dc-2")
                    members.insert(i);
            it.set_platform_stale("dc-0", true);
            it.set_platform_stale("dc-1", true);
            it.partition(members);
            it.publish(0);
            it.advance(5s);
            CPPUNIT_ASSERT_EQUAL(members.size(), it.count_in_force(it.head()));
            it.partition({});
            it.restart(0); // in dc-0
            it.advance(20s);
            CPPUNIT_ASSERT_EQUAL(std::string(),
                                 first_or_empty(it.violations()));
            CPPUNIT_ASSERT_EQUAL(it.size(), it.count_in_force(it.head()));
        }
    }

    // Timeouts of dead peers must not extend the start-up window without limit.
    void restart_with_a_dead_data_centre_adopts_within_8_s() {
        config_fleet it({.sizes = {10, 300, 12, 3}});
        it.advance(15s);
        for (std::size_t i = 0; i < it.size(); ++i)
            if (it.data_centre(i) == "dc-2")
                it.stop(i);
        it.restart(0);
        it.advance(8s);
        CPPUNIT_ASSERT(it.in_force(0) == it.head());
    }

    // The platform permits 2,000 calls per second for all processes together.
    // When all start at once, most must get the records from a few readers.
    void simultaneous_start_stays_within_platform_call_rate() {
        constexpr std::uint64_t allowed_per_second = 2000;
        config_fleet it({.sizes = {10, 240, 16, 3}});
        std::uint64_t before = 0;
        for (int second = 0; second < 15; ++second) {
            it.advance(1s);
            const auto calls = it.counters().platform_calls;
            CPPUNIT_ASSERT(calls - before <= allowed_per_second);
            before = calls;
        }
    }

    void malformed_generation_is_read_once() {
        config_fleet it({});
        it.advance(10s);
        const generation good = it.head();
        it.publish(0, false);
        it.advance(120s);
        CPPUNIT_ASSERT_EQUAL(it.size(), it.count_in_force(good));
        std::uint64_t rejections = 0;
        for (std::size_t i = 0; i < it.size(); ++i) {
            CPPUNIT_ASSERT(it.rejections(i) <= 1);
            rejections += it.rejections(i);
        }
        CPPUNIT_ASSERT(rejections > 0);
        // 9 readers, each with one rejected read and four watches of 30 s.
        CPPUNIT_ASSERT(it.counters().platform_calls < 250);
        it.publish(0);
        it.advance(5s);
        CPPUNIT_ASSERT_EQUAL(it.size(), it.count_in_force(it.head()));
    }

    void isolated_process_reads_from_the_platform() {
        config_fleet it({});
        it.advance(10s);
        it.partition({4});
        it.publish(0);
        it.advance(16s);
        CPPUNIT_ASSERT(it.in_force(4) == it.head());
    }

    void fleet_never_reverts_and_converges_after_random_faults() {
        const bool ok = rc::check([](std::uint64_t seed) {
            config_fleet it(
                {.sizes = {.hosts = 5, .entries = 2}, .seed = seed});
            std::mt19937_64 random(seed);
            it.advance(std::chrono::milliseconds(random() % 8000));
            for (int step = 0; step < 25; ++step) {
                apply_fault(it, random);
                it.advance(std::chrono::milliseconds(random() % 3000));
            }
            end_faults(it);
            it.advance(40s);
            RC_ASSERT(first_or_empty(it.violations()) == "");
            RC_ASSERT(it.count_in_force(it.head()) == it.size());
        });
        CPPUNIT_ASSERT(ok);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_fleet_test);

} // namespace arbutusport::emulator
