// Guards against a checker that misses a violation or reports one in a valid
// history, and against fields lost in the JSON encoding.

#include <arbutusport/emulator/history_checker.hpp>
#include <arbutusport/emulator/history_io.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace arbutusport::emulator {

namespace {

time_point at_second(int n) {
    return time_point(std::chrono::seconds(n));
}

event make_event(int second, event_kind kind, const std::string& request) {
    event it;
    it.at = at_second(second);
    it.kind = kind;
    it.request = request;
    it.client = "c1";
    it.service = "participa";
    if (kind == event_kind::ran || kind == event_kind::drained)
        it.host = "participa-1";
    if (kind == event_kind::told) {
        it.result = outcome::answered;
        it.answered_request = request;
    }
    return it;
}

history valid_history() {
    return {make_event(1, event_kind::sent, "r1"),
            make_event(2, event_kind::ran, "r1"),
            make_event(3, event_kind::told, "r1"),
            make_event(4, event_kind::drained, ""),
            make_event(20, event_kind::sent, "r2"),
            make_event(21, event_kind::ran, "r2"),
            make_event(22, event_kind::told, "r2")};
}

void assert_single_violation(const history& events, violation_kind kind) {
    const auto found = check(events);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.size());
    CPPUNIT_ASSERT_EQUAL(std::string(to_string(kind)),
                         std::string(to_string(found.front().kind)));
    CPPUNIT_ASSERT(!found.front().reason.empty());
}

} // namespace

class history_checker_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(history_checker_test);
    CPPUNIT_TEST(accepts_a_valid_history);
    CPPUNIT_TEST(detects_repeated_execution);
    CPPUNIT_TEST(accepts_repeated_execution_of_an_idempotent_request);
    CPPUNIT_TEST(detects_not_run_before_and_after_execution);
    CPPUNIT_TEST(detects_mismatched_and_corrupt_responses);
    CPPUNIT_TEST(detects_a_request_without_outcome);
    CPPUNIT_TEST(detects_a_misrouted_request);
    CPPUNIT_TEST(detects_new_client_at_draining_host);
    CPPUNIT_TEST(json_lines_preserve_all_fields);
    CPPUNIT_TEST(rejects_malformed_lines);
    CPPUNIT_TEST_SUITE_END();

public:
    void accepts_a_valid_history() {
        CPPUNIT_ASSERT(check(valid_history()).empty());
    }

    void detects_repeated_execution() {
        auto events = valid_history();
        events.push_back(make_event(30, event_kind::ran, "r2"));
        assert_single_violation(events, violation_kind::double_run);
    }

    void accepts_repeated_execution_of_an_idempotent_request() {
        auto events = valid_history();
        events.push_back(make_event(30, event_kind::ran, "r2"));
        for (event& it : events)
            it.idempotent = true;
        CPPUNIT_ASSERT(check(events).empty());
    }

    void detects_not_run_before_and_after_execution() {
        auto events = valid_history();
        events[2].result = outcome::not_run;
        assert_single_violation(events, violation_kind::false_not_run);
        std::swap(events[1].at, events[2].at);
        std::swap(events[1], events[2]);
        assert_single_violation(events, violation_kind::false_not_run);
    }

    void detects_mismatched_and_corrupt_responses() {
        auto events = valid_history();
        events[2].answered_request = "r2";
        assert_single_violation(events, violation_kind::crossed_answer);
        events = valid_history();
        events[2].body_whole = false;
        assert_single_violation(events, violation_kind::cut_answer);
    }

    void detects_a_request_without_outcome() {
        auto events = valid_history();
        events.push_back(make_event(30, event_kind::sent, "r3"));
        assert_single_violation(events, violation_kind::lost_request);
        events.push_back(make_event(31, event_kind::told, "r3"));
        events.back().result = outcome::none;
        assert_single_violation(events, violation_kind::lost_request);
    }

    void detects_a_misrouted_request() {
        auto events = valid_history();
        events[1].service = "acervo";
        assert_single_violation(events, violation_kind::misrouted);
    }

    void detects_new_client_at_draining_host() {
        auto events = valid_history();
        events[4].client = events[5].client = events[6].client = "c2";
        assert_single_violation(events, violation_kind::work_after_drain);
        events[5].at = events[3].at + drain_grace_period;
        CPPUNIT_ASSERT(check(events).empty());
    }

    void json_lines_preserve_all_fields() {
        auto events = valid_history();
        events[1].idempotent = true;
        events[2].body_whole = false;
        std::stringstream text;
        write_history(events, text);
        const history read = read_history(text).value();
        CPPUNIT_ASSERT_EQUAL(events.size(), read.size());
        for (std::size_t i = 0; i < read.size(); ++i)
            CPPUNIT_ASSERT_EQUAL(to_json(events[i]), to_json(read[i]));
        CPPUNIT_ASSERT(read[2].result == outcome::answered);
        CPPUNIT_ASSERT(!read[2].body_whole);
        CPPUNIT_ASSERT(read[1].at == at_second(2));
    }

    void rejects_malformed_lines() {
        for (const char* text :
             {"{", "[]", R"({"kind":"sent"})", R"({"kind":"lost","at_us":1})",
              R"({"kind":1,"at_us":1})"}) {
            std::istringstream in(text);
            const bool accepted = handle_failure(
                [&]() -> result<bool> {
                    BOOST_LEAF_CHECK(read_history(in));
                    return true;
                },
                [](const failure& it) {
                    CPPUNIT_ASSERT_EQUAL(std::string("1"), it.peer);
                    return false;
                });
            CPPUNIT_ASSERT(!accepted);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(history_checker_test);

} // namespace arbutusport::emulator
