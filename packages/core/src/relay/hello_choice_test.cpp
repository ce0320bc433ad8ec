// Guards the hellos to host processes of unknown builds: an earlier build must
// go on working, and must not get twice the messages for long.

#include <arbutusport/relay/hello_choice.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace arbutusport::relay {

namespace {

constexpr incarnation first_run{7};
constexpr incarnation second_run{8};

int count_with_work(hello_choice& it, int hellos) {
    int n = 0;
    for (int i = 0; i < hellos; ++i)
        n += it.next(false).with_work ? 1 : 0;
    return n;
}

} // namespace

class hello_choice_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(hello_choice_test);
    CPPUNIT_TEST(an_unknown_process_gets_both_kinds);
    CPPUNIT_TEST(a_process_that_reports_work_gets_one_kind);
    CPPUNIT_TEST(an_earlier_build_gets_the_new_kind_rarely);
    CPPUNIT_TEST(a_new_run_starts_anew);
    CPPUNIT_TEST(a_silent_process_gets_both_kinds);
    CPPUNIT_TEST_SUITE_END();

public:
    void an_unknown_process_gets_both_kinds() {
        hello_choice it;
        const auto kinds = it.next(true);
        CPPUNIT_ASSERT(kinds.plain && kinds.with_work);
    }

    void a_process_that_reports_work_gets_one_kind() {
        hello_choice it;
        it.next(true);
        it.on_report(first_run, true);
        // The answer to the plain hello may have been sent without work.
        it.on_report(first_run, false);
        const auto kinds = it.next(false);
        CPPUNIT_ASSERT(!kinds.plain && kinds.with_work);
    }

    void an_earlier_build_gets_the_new_kind_rarely() {
        hello_choice it;
        it.on_report(first_run, false);
        CPPUNIT_ASSERT_EQUAL(3, count_with_work(it, 10));
        CPPUNIT_ASSERT_EQUAL(10, count_with_work(it, 100));
        CPPUNIT_ASSERT(it.next(false).plain);
    }

    void a_new_run_starts_anew() {
        hello_choice it;
        it.on_report(first_run, true);
        it.on_report(second_run, false);
        CPPUNIT_ASSERT(it.next(false).plain);
        CPPUNIT_ASSERT_EQUAL(2, count_with_work(it, 9));
    }

    // Guards against a process that is replaced by an earlier build: it drops
    // the new kind and would count as unreachable.
    void a_silent_process_gets_both_kinds() {
        hello_choice it;
        it.on_report(first_run, true);
        const auto kinds = it.next(true);
        CPPUNIT_ASSERT(kinds.plain && kinds.with_work);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(hello_choice_test);

} // namespace arbutusport::relay
