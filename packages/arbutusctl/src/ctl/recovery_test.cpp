// Guards against a misleading account of a recovery: steps of an earlier run of
// a process, processes that are left out, and a configuration that counts as in
// force before it is.

#include <arbutusport/ctl/recovery.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <sstream>

namespace arbutusport::ctl {

namespace {

class log_of_processes {
public:
    void add(int ms, const std::string& process, const std::string& event,
             const std::string& rest = "") {
        collector_.add({.at_us = origin_us + std::int64_t{1000} * ms,
                        .process = process,
                        .event = event,
                        .rest = rest});
    }

    recovery_account account() const { return collector_.account().value(); }

private:
    static constexpr std::int64_t origin_us = 1'700'000'000'000'000;
    recovery_collector collector_{origin_us};
};

void add_entry(log_of_processes& log, const std::string& name, int start_ms) {
    log.add(start_ms, name, "started", " role=entry");
    log.add(start_ms + 20, name, "directory_changed",
            " reason=listing version=0 as_of=1");
    log.add(start_ms + 50, name, "directory_changed",
            " reason=from_peer version=4 as_of=9");
}

const recovery_step* find_step(const recovery_account& it,
                               const std::string& name) {
    const auto found = std::ranges::find(it.steps, name, &recovery_step::name);
    return found == it.steps.end() ? nullptr : &*found;
}

} // namespace

class recovery_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(recovery_test);
    CPPUNIT_TEST(names_the_first_half_and_last_process_of_each_step);
    CPPUNIT_TEST(steps_before_the_last_start_do_not_count);
    CPPUNIT_TEST(a_version_counts_only_where_it_is_in_force);
    CPPUNIT_TEST(lines_before_the_origin_do_not_count);
    CPPUNIT_TEST(a_missing_log_is_an_error);
    CPPUNIT_TEST_SUITE_END();

public:
    void names_the_first_half_and_last_process_of_each_step() {
        log_of_processes log;
        for (int i = 0; i < 5; ++i)
            add_entry(log, "edge-" + std::to_string(i), 100 * i);
        const auto it = log.account();
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, it.processes.at("entry"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{5},
                             it.directory_sources.at("from_peer"));
        const auto* step = find_step(it, "directory");
        CPPUNIT_ASSERT(step != nullptr);
        CPPUNIT_ASSERT_EQUAL(50.0, step->first_ms);
        CPPUNIT_ASSERT_EQUAL(250.0, step->half_ms);
        CPPUNIT_ASSERT_EQUAL(450.0, step->last_ms);
        CPPUNIT_ASSERT_EQUAL(std::string("edge-4"), step->slowest);
    }

    void steps_before_the_last_start_do_not_count() {
        log_of_processes log;
        add_entry(log, "edge-0", 0);
        log.add(400, "edge-0", "started", " role=entry");
        const auto it = log.account();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.restarted_again);
        CPPUNIT_ASSERT(find_step(it, "directory") == nullptr);
        CPPUNIT_ASSERT_EQUAL(400.0, find_step(it, "started")->last_ms);
    }

    void a_version_counts_only_where_it_is_in_force() {
        log_of_processes log;
        add_entry(log, "edge-0", 0);
        add_entry(log, "edge-1", 0);
        log.add(900, "edge-1", "directory_changed",
                " reason=change version=6 as_of=12");
        const auto* step = find_step(log.account(), "version 6");
        CPPUNIT_ASSERT(step != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, step->processes);
        CPPUNIT_ASSERT_EQUAL(900.0, step->last_ms);
    }

    void lines_before_the_origin_do_not_count() {
        log_of_processes log;
        log.add(-100, "edge-1", "started", " role=entry");
        add_entry(log, "edge-0", 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             log.account().processes.at("entry"));
        // Its role is known if it does something later.
        log.add(200, "edge-1", "flow_placed");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             log.account().processes.at("entry"));
    }

    void a_missing_log_is_an_error() {
        std::ostringstream out;
        CPPUNIT_ASSERT_EQUAL(exit_findings,
                             print_recovery({.logs = {"/nonexistent/log"}},
                                            output_format::text, out));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(recovery_test);

} // namespace arbutusport::ctl
