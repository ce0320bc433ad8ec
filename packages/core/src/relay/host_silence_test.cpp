// Checks which packets a host has to answer, and which time counts as silence.

#include <arbutusport/relay/host_silence.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace arbutusport::relay {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start{seconds(100)};
constexpr duration tick = milliseconds(50);

segment data() {
    segment it;
    it.ack = true;
    it.payload_bytes = 100;
    return it;
}

// Silence after the packet and ten ticks.
duration silence_after(const segment& packet) {
    host_silence it;
    it.on_tick(start);
    it.on_delivered(packet, start);
    for (int i = 1; i <= 10; ++i)
        it.on_tick(start + i * tick);
    return it.length();
}

} // namespace

class host_silence_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(host_silence_test);
    CPPUNIT_TEST(only_packets_that_need_an_answer_count);
    CPPUNIT_TEST(any_packet_of_the_host_ends_it);
    CPPUNIT_TEST(it_counts_from_the_first_unanswered_packet);
    CPPUNIT_TEST(a_pause_of_the_process_does_not_count);
    CPPUNIT_TEST_SUITE_END();

public:
    void only_packets_that_need_an_answer_count() {
        segment acknowledgement;
        acknowledgement.ack = true;
        segment reset = data();
        reset.rst = true;
        segment fin = acknowledgement;
        fin.fin = true;
        segment opening;
        opening.syn = true;
        CPPUNIT_ASSERT(silence_after(acknowledgement) == duration{});
        CPPUNIT_ASSERT(silence_after(reset) == duration{});
        for (const segment& it : {data(), fin, opening})
            CPPUNIT_ASSERT(silence_after(it) == 10 * tick);
    }

    void any_packet_of_the_host_ends_it() {
        host_silence it;
        it.on_tick(start);
        it.on_delivered(data(), start);
        it.on_tick(start + tick);
        it.end();
        it.on_tick(start + 2 * tick);
        CPPUNIT_ASSERT(it.length() == duration{});
        CPPUNIT_ASSERT(!it.first());
    }

    void it_counts_from_the_first_unanswered_packet() {
        host_silence it;
        it.on_tick(start);
        it.on_delivered(data(), start + milliseconds(30));
        it.on_delivered(data(), start + milliseconds(40));
        it.on_tick(start + tick);
        CPPUNIT_ASSERT(it.length() == milliseconds(20));
        CPPUNIT_ASSERT(it.first()->delivered_at == start + milliseconds(30));
    }

    // Guards against the end of all flows when a process goes on after a stop:
    // the host's answers wait in its socket.
    void a_pause_of_the_process_does_not_count() {
        host_silence it;
        it.on_tick(start);
        it.on_delivered(data(), start + milliseconds(10));
        it.on_tick(start + seconds(5));
        CPPUNIT_ASSERT(it.length() == milliseconds(100));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(host_silence_test);

} // namespace arbutusport::relay
