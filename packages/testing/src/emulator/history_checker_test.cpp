// Guards against a checker that overlooks a violation, or that reports one in
// a good history, and against loss of fields in JSON lines.

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

history good_history() {
    return {make_event(1, event_kind::sent, "r1"),
            make_event(2, event_kind::ran, "r1"),
            make_event(3, event_kind::told, "r1"),
            make_event(4, event_kind::drained, ""),
            make_event(20, event_kind::sent, "r2"),
            make_event(21, event_kind::ran, "r2"),
            make_event(22, event_kind::told, "r2")};
}

void assert_only(const history& events, violation_kind kind) {
    const auto found = check(events);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.size());
    CPPUNIT_ASSERT_EQUAL(std::string(to_string(kind)),
                         std::string(to_string(found.front().kind)));
    CPPUNIT_ASSERT(!found.front().reason.empty());
}

} // namespace

class history_checker_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(history_checker_test);
    CPPUNIT_TEST(accepts_a_good_history);
    CPPUNIT_TEST(finds_a_double_run);
    CPPUNIT_TEST(accepts_repeated_runs_of_an_idempotent_request);
    CPPUNIT_TEST(finds_not_run_before_and_after_a_run);
    CPPUNIT_TEST(finds_crossed_and_cut_answers);
    CPPUNIT_TEST(finds_a_lost_request);
    CPPUNIT_TEST(finds_a_misrouted_request);
    CPPUNIT_TEST(finds_new_work_after_drain);
    CPPUNIT_TEST(keeps_fields_in_json_lines);
    CPPUNIT_TEST(rejects_malformed_lines);
    CPPUNIT_TEST_SUITE_END();

public:
    void accepts_a_good_history() {
        CPPUNIT_ASSERT(check(good_history()).empty());
    }

    void finds_a_double_run() {
        auto events = good_history();
        events.push_back(make_event(30, event_kind::ran, "r2"));
        assert_only(events, violation_kind::double_run);
    }

    void accepts_repeated_runs_of_an_idempotent_request() {
        auto events = good_history();
        events.push_back(make_event(30, event_kind::ran, "r2"));
        for (event& it : events)
            it.idempotent = true;
        CPPUNIT_ASSERT(check(events).empty());
    }

    void finds_not_run_before_and_after_a_run() {
        auto events = good_history();
        events[2].result = outcome::not_run;
        assert_only(events, violation_kind::false_not_run);
        std::swap(events[1].at, events[2].at);
        std::swap(events[1], events[2]);
        assert_only(events, violation_kind::false_not_run);
    }

    void finds_crossed_and_cut_answers() {
        auto events = good_history();
        events[2].answered_request = "r2";
        assert_only(events, violation_kind::crossed_answer);
        events = good_history();
        events[2].body_whole = false;
        assert_only(events, violation_kind::cut_answer);
    }

    void finds_a_lost_request() {
        auto events = good_history();
        events.push_back(make_event(30, event_kind::sent, "r3"));
        assert_only(events, violation_kind::lost_request);
        events.push_back(make_event(31, event_kind::told, "r3"));
        events.back().result = outcome::none;
        assert_only(events, violation_kind::lost_request);
    }

    void finds_a_misrouted_request() {
        auto events = good_history();
        events[1].service = "acervo";
        assert_only(events, violation_kind::misrouted);
    }

    void finds_new_work_after_drain() {
        auto events = good_history();
        events[4].client = events[5].client = events[6].client = "c2";
        assert_only(events, violation_kind::work_after_drain);
        events[5].at = events[3].at + drain_grace;
        CPPUNIT_ASSERT(check(events).empty());
    }

    void keeps_fields_in_json_lines() {
        auto events = good_history();
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
