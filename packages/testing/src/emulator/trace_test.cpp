// Guards against unintended changes of process decisions by replaying recorded
// traces, and checks that the reader rejects damaged files.

#include <arbutusport/emulator/trace_replay.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <iterator>

namespace arbutusport::emulator {

namespace {

const std::string traces =
    ARBUTUSPORT_SOURCE_DIR "/packages/testing/testdata/traces/";

bytes read_file(const std::string& name) {
    std::ifstream in(traces + name, std::ios::binary);
    CPPUNIT_ASSERT_MESSAGE(name, in.good());
    return {std::istreambuf_iterator<char>(in), {}};
}

trace load(const std::string& name) {
    const bytes data = read_file(name);
    return handle_failure([&] { return read_trace(name, data); },
                          [](const failure& it) -> trace {
                              CPPUNIT_FAIL(it.peer + ": " + it.reason);
                              return {};
                          });
}

std::string error_of(byte_view data) {
    return handle_failure(
        [&]() -> result<std::string> {
            BOOST_LEAF_CHECK(read_trace("t", data));
            return std::string();
        },
        [](const failure& it) { return it.reason; });
}

} // namespace

class trace_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(trace_test);
    CPPUNIT_TEST(recorded_traces_replay_without_difference);
    CPPUNIT_TEST(reports_the_first_difference);
    CPPUNIT_TEST(rejects_damaged_files);
    CPPUNIT_TEST_SUITE_END();

public:
    void recorded_traces_replay_without_difference() {
        for (const char* name : {"host_drain.trace", "host_death.trace"}) {
            const auto done = replay(load(name));
            CPPUNIT_ASSERT_MESSAGE(
                name + (": " + to_string(done.difference.value_or(
                                   trace_difference{}))),
                !done.difference);
            CPPUNIT_ASSERT(
                check_outcome("dropped:wrong_service==0", done).value());
            CPPUNIT_ASSERT(check_outcome("send_packet>=10", done).value());
            CPPUNIT_ASSERT(!check_outcome("send_packet==0", done).value());
        }
    }

    // A replay that compared nothing would always pass.
    void reports_the_first_difference() {
        trace it = load("host_drain.trace");
        const std::size_t at = it.events.size() / 2;
        it.events[at].outputs.push_back({"dropped", "wrong_tag", 7});
        const auto done = replay(it);
        CPPUNIT_ASSERT(done.difference.has_value());
        CPPUNIT_ASSERT_EQUAL(at + 1, done.difference->event);
        CPPUNIT_ASSERT(to_string(*done.difference).find("wrong_tag") !=
                       std::string::npos);
    }

    void rejects_damaged_files() {
        const bytes good = read_file("host_death.trace");
        for (std::size_t n = 0; n < good.size(); n += 997)
            CPPUNIT_ASSERT(!error_of(byte_view(good).first(n)).empty());
        for (std::size_t n = 0; n < good.size(); n += 997) {
            bytes altered = good;
            altered[n] ^= 0x01;
            CPPUNIT_ASSERT(!error_of(altered).empty());
        }
        const bytes newer = nlohmann::json::to_cbor(
            {{"format", "arbutusport-trace"}, {"version", 2}});
        CPPUNIT_ASSERT_EQUAL(std::string("version 2, allowed: 1"),
                             error_of(newer));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(trace_test);

} // namespace arbutusport::emulator
