// Guards the request invariants under seeded fault schedules, and checks that
// removing any guard of the broker violates them.

#include <arbutusport/emulator/history_checker.hpp>
#include <arbutusport/emulator/request_world.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace arbutusport::emulator {

namespace {

// The benchmark runs 10,000 schedules.
constexpr std::uint64_t schedule_count = 400;

std::size_t count_violations(const requests::safety_checks& enabled,
                             std::uint64_t schedules) {
    std::size_t count = 0;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed)
        count += check(run_schedule({.seed = seed, .checks = enabled})).size();
    return count;
}

} // namespace

class request_world_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(request_world_test);
    CPPUNIT_TEST(keeps_the_invariants_under_faults);
    CPPUNIT_TEST(answers_more_than_half_of_the_requests);
    CPPUNIT_TEST(violates_the_invariants_without_any_one_guard);
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

    // A broker that rejects every request would keep the invariants, too.
    void answers_more_than_half_of_the_requests() {
        std::size_t sent = 0;
        std::size_t answered = 0;
        for (std::uint64_t seed = 1; seed <= schedule_count / 4; ++seed)
            for (const event& it : run_schedule({.seed = seed})) {
                sent += it.kind == event_kind::sent ? 1 : 0;
                answered += it.result == outcome::answered ? 1 : 0;
            }
        CPPUNIT_ASSERT(answered * 2 > sent);
    }

    void violates_the_invariants_without_any_one_guard() {
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
