// Guards against a misleading flow timeline: events in the wrong order because
// clocks differ, malformed lines that are skipped without a message, and clocks
// that are assumed to be correct without a message.

#include <arbutusport/ctl/commands.hpp>
#include <arbutusport/ctl/flow_timeline.hpp>

#include <Poco/TemporaryFile.h>

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>

namespace arbutusport::ctl {

namespace {

const std::string flow = "100.64.0.7:40001>198.18.0.1:443";

std::string line(const std::string& time, const std::string& rest) {
    return "time=2026-09-15T15:52:" + time + "Z level=info " + rest + '\n';
}

// The host's clock is 3 s ahead.
std::string two_processes() {
    return line("10.000000", "process=edge-1 event=started role=entry "
                             "packets=10.1.0.9:8172") +
           line("13.000000", "process=side-1 event=started role=host "
                             "packets=10.1.0.20:8172") +
           line("20.000000", "process=edge-1 event=flow_placed flow=" + flow +
                                 " machine=10.1.0.20 load_milli=120") +
           line("23.002000", "process=side-1 event=flow_opened flow=" + flow +
                                 " machine=10.1.0.9") +
           line("21.500000", "process=edge-1 event=flow_reset "
                             "reason=host_dead flow=" +
                                 flow + " machine=10.1.0.20") +
           line("24.400000", "process=side-1 event=host_ended value=1");
}

struct timeline_output {
    int code = 0;
    std::string text;
};

timeline_output print_timeline_of(const std::string& log,
                                  const std::string& wanted) {
    Poco::TemporaryFile file;
    std::ofstream(file.path()) << log;
    std::ostringstream out;
    const int code =
        print_flow_timeline({.logs = {file.path()}, .flow = wanted}, out);
    return {code, out.str()};
}

} // namespace

class flow_timeline_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(flow_timeline_test);
    CPPUNIT_TEST(clock_offsets_are_corrected);
    CPPUNIT_TEST(clocks_without_event_pairs_are_reported);
    CPPUNIT_TEST(malformed_lines_are_rejected);
    CPPUNIT_TEST(a_prefix_before_the_time_is_allowed);
    CPPUNIT_TEST(an_unknown_flow_is_an_error);
    CPPUNIT_TEST_SUITE_END();

public:
    void clock_offsets_are_corrected() {
        const auto it = print_timeline_of(two_processes(), flow);
        CPPUNIT_ASSERT_EQUAL(exit_success, it.code);
        CPPUNIT_ASSERT(it.text.find("clock of side-1: 3002 ms ahead by 1 "
                                    "pairs") != std::string::npos);
        // The host ended before the entry reset the flow.
        const auto placed = it.text.find("flow_placed");
        const auto ended = it.text.find("host_ended");
        const auto reset = it.text.find("flow_reset");
        CPPUNIT_ASSERT(placed < ended && ended < reset);
    }

    void clocks_without_event_pairs_are_reported() {
        const auto it =
            print_timeline_of(line("20.000000", "process=edge-1 event="
                                                "owner_searched flow=" +
                                                    flow),
                              flow);
        CPPUNIT_ASSERT(it.text.find("clock of edge-1: not compared") !=
                       std::string::npos);
    }

    void malformed_lines_are_rejected() {
        const auto why_of = [](const std::string& text) {
            std::string why;
            CPPUNIT_ASSERT(!parse_log_line(text, why));
            return why;
        };
        CPPUNIT_ASSERT_EQUAL(std::string("the time cannot be read"),
                             why_of("time=soon event=started"));
        CPPUNIT_ASSERT_EQUAL(
            std::string("a time without an event"),
            why_of("time=2026-09-15T15:52:10.000000Z process=edge-1"));
        CPPUNIT_ASSERT_EQUAL(
            std::string("broken off at \"\"cut\""),
            why_of("time=2026-09-15T15:52:10.000000Z event=a reason=\"cut"));
        CPPUNIT_ASSERT_EQUAL(std::string("an event without a time"),
                             why_of("level=info event=a"));
        // Other programs may write into the same file.
        CPPUNIT_ASSERT_EQUAL(std::string(), why_of("hello"));
    }

    void a_prefix_before_the_time_is_allowed() {
        std::string why;
        const auto it = parse_log_line(
            "  35.6 edge-1 time=2026-09-15T15:52:10.250000Z level=info "
            "process=edge-1 event=store_lost reason=\"HTTP status 503\"",
            why);
        CPPUNIT_ASSERT(it);
        CPPUNIT_ASSERT_EQUAL(std::string("store_lost"), it->event);
        CPPUNIT_ASSERT_EQUAL(std::string(" reason=HTTP status 503"), it->rest);
    }

    void an_unknown_flow_is_an_error() {
        const auto it = print_timeline_of(two_processes(), "10.9.9.9");
        CPPUNIT_ASSERT_EQUAL(exit_findings, it.code);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(flow_timeline_test);

} // namespace arbutusport::ctl
