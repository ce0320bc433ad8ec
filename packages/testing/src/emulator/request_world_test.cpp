// Guards the invariants on requests under seeded fault schedules, and shows
// that each guard of the broker is needed.

#include <arbutusport/emulator/history_checker.hpp>
#include <arbutusport/emulator/request_world.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace arbutusport::emulator {

namespace {

// The bench runs 10,000.
constexpr std::uint64_t schedule_count = 400;

std::size_t count_violations(const requests::safety_checks& enabled,
                             std::uint64_t schedules) {
    std::size_t n = 0;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed)
        n += check(run_schedule({.seed = seed, .checks = enabled})).size();
    return n;
}

} // namespace

class request_world_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(request_world_test);
    CPPUNIT_TEST(keeps_the_invariants_under_faults);
    CPPUNIT_TEST(answers_most_requests);
    CPPUNIT_TEST(needs_each_guard);
    CPPUNIT_TEST_SUITE_END();

public:
    void keeps_the_invariants_under_faults() {
        for (std::uint64_t seed = 1; seed <= schedule_count; ++seed) {
            const auto found = check(run_schedule({.seed = seed}));
            if (!found.empty())
                CPPUNIT_FAIL("seed " + std::to_string(seed) + ": " +
                             to_string(found.front().kind) + " " +
                             found.front().request + " " +
                             found.front().reason);
        }
    }

    // A broker that refused everything would keep the invariants, too.
    void answers_most_requests() {
        std::size_t sent = 0;
        std::size_t answered = 0;
        for (std::uint64_t seed = 1; seed <= schedule_count / 4; ++seed)
            for (const event& it : run_schedule({.seed = seed})) {
                sent += it.kind == event_kind::sent ? 1 : 0;
                answered += it.result == outcome::answered ? 1 : 0;
            }
        CPPUNIT_ASSERT(answered * 2 > sent);
    }

    void needs_each_guard() {
        using requests::safety_checks;
        const auto assert_needed = [](const char* name, safety_checks enabled) {
            CPPUNIT_ASSERT_MESSAGE(
                name, count_violations(enabled, schedule_count) > 0);
        };
        assert_needed("deduplicate", {.deduplicate = false});
        assert_needed("check_binding", {.check_binding = false});
        assert_needed("record_refusals", {.record_refusals = false});
        assert_needed("match_exchanges", {.match_exchanges = false});
        assert_needed("recheck_deadlines", {.recheck_deadlines = false});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_world_test);

} // namespace arbutusport::emulator
