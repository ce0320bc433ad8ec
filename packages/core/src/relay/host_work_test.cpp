// Checks which packets a host's relay process takes for requests and answers,
// and what its reports state of the host's work.

#include <arbutusport/relay/host_relay.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace arbutusport::relay {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start{seconds(100)};
const service_id service = service_id_of("agenda");
constexpr machine_address current_entry{0x0a010001};
constexpr machine_address earlier_entry{0x0a010002};
constexpr std::uint32_t client_start = 5000;
constexpr std::uint32_t host_start = 90'000;

// A relay process with one open flow, and a client and host at its two sides.
class one_flow {
public:
    one_flow() {
        hear(current_entry, {.wants_work = true, .slots = 2}, start);
        segment opening = from_client(client_start, 0);
        opening.syn = true;
        opening.ack = false;
        opening.mark = make_placement_mark(service);
        relay_.on_entry(current_entry, opening, start);
        accept(start);
    }

    void hear(machine_address entry, const hello& it, time_point now) {
        relay_.on_message(entry, it, now);
    }

    // Also used for a copy of the host's answer to the opening packet.
    void accept(time_point now) {
        segment it = from_host(host_start, 0);
        it.syn = true;
        it.acknowledged = client_start + 1;
        relay_.on_host(it, now);
    }

    // Positions are those in the data that each side sends.
    void send(std::uint32_t position, std::uint16_t size, time_point now) {
        relay_.on_entry(current_entry,
                        from_client(client_start + 1 + position, size), now);
    }

    void answer(std::uint32_t position, std::uint16_t size, time_point now,
                std::uint32_t acknowledged = 0) {
        segment it = from_host(host_start + 1 + position, size);
        it.acknowledged = client_start + 1 + acknowledged;
        relay_.on_host(it, now);
    }

    // The same on further flows, told apart by the client's port.
    void open(std::uint16_t flow) {
        segment opening = on_flow(flow, from_client(client_start, 0));
        opening.syn = true;
        opening.ack = false;
        opening.mark = make_placement_mark(service);
        relay_.on_entry(current_entry, opening, start);
        segment it = on_flow(flow, from_host(host_start, 0));
        it.syn = true;
        it.acknowledged = client_start + 1;
        relay_.on_host(it, start);
    }

    void send_on(std::uint16_t flow, std::uint32_t position, std::uint16_t size,
                 time_point now) {
        relay_.on_entry(
            current_entry,
            on_flow(flow, from_client(client_start + 1 + position, size)), now);
    }

    void answer_on(std::uint16_t flow, std::uint32_t position,
                   std::uint16_t size, time_point now) {
        relay_.on_host(
            on_flow(flow, from_host(host_start + 1 + position, size)), now);
    }

    void close_by_host(time_point now, std::uint32_t position = 0,
                       std::uint16_t size = 0, std::uint32_t acknowledged = 0) {
        segment it = from_host(host_start + 1 + position, size);
        it.acknowledged = client_start + 1 + acknowledged;
        it.fin = true;
        relay_.on_host(it, now);
    }

    // An acknowledgement without data.
    void acknowledge(std::uint32_t acknowledged, time_point now) {
        answer(0, 0, now, acknowledged);
    }

    void run_ticks(time_point from, time_point to) {
        for (time_point now = from; now <= to; now += milliseconds(50))
            relay_.on_tick(now);
    }

    void reset(time_point now) {
        segment it = from_client(client_start + 1, 0);
        it.rst = true;
        relay_.on_entry(current_entry, it, now);
    }

    // What the next report to the entry says.
    std::optional<host_work> reported(machine_address entry, time_point now) {
        hear(entry, {.wants_work = entry == current_entry, .slots = 2}, now);
        return reports_.at(entry).work;
    }

    void expect_service(duration expected, time_point now) {
        const auto work = reported(current_entry, now);
        CPPUNIT_ASSERT(work);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(static_cast<double>(expected.count()),
                                     work->service_us, 10);
    }

    host_relay& relay() { return relay_; }
    const std::map<machine_address, load_report>& reports() { return reports_; }

private:
    static segment from_client(std::uint32_t sequence, std::uint16_t size) {
        segment it;
        it.flow = {{0x64400007, 40001}, {0xc6120001, 443}};
        it.ack = true;
        it.sequence = sequence;
        it.acknowledged = host_start + 1;
        it.payload_bytes = size;
        it.mark = {forwarding_mode::forward, make_service_tag(service)};
        return it;
    }

    static segment on_flow(std::uint16_t flow, segment it) {
        it.flow.client.port = static_cast<std::uint16_t>(41'000 + flow);
        return it;
    }

    static segment from_host(std::uint32_t sequence, std::uint16_t size) {
        segment it = from_client(sequence, size);
        it.acknowledged = client_start + 1;
        return it;
    }

    std::map<machine_address, load_report> reports_;
    host_relay relay_{{.service = service},
                      {.deliver = [](machine_address, byte_view) {},
                       .to_client = [](const flow_key&, byte_view) {},
                       .reset = [](const flow_key&, std::uint32_t) {},
                       .send =
                           [this](machine_address to, const message& it) {
                               if (const auto* report =
                                       std::get_if<load_report>(&it))
                                   reports_[to] = *report;
                           },
                       .report = [](const event&) {}},
                      start};
};

} // namespace

class host_work_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(host_work_test);
    CPPUNIT_TEST(a_request_is_measured_to_the_first_packet_of_its_answer);
    CPPUNIT_TEST(a_repeated_request_does_not_start_over);
    CPPUNIT_TEST(an_upload_starts_when_its_missing_packet_arrives);
    CPPUNIT_TEST(a_repeated_answer_does_not_end_the_next_request);
    CPPUNIT_TEST(only_entries_that_ask_receive_work);
    CPPUNIT_TEST(a_reset_flow_leaves_no_work);
    CPPUNIT_TEST(a_flow_that_the_host_closed_leaves_no_work);
    CPPUNIT_TEST(a_host_that_closes_before_its_answer_arrives_is_measured);
    CPPUNIT_TEST(an_answer_with_fin_is_measured);
    CPPUNIT_TEST(a_long_upload_is_measured);
    CPPUNIT_TEST(a_late_copy_of_an_answered_request_is_not_outstanding);
    CPPUNIT_TEST(an_abandoned_request_is_not_outstanding_for_long);
    CPPUNIT_TEST_SUITE_END();

public:
    // A client repeats a request after 200 ms; the copy may pass the answer.
    // Guards against hosts that look busy for as long as such flows live.
    void a_late_copy_of_an_answered_request_is_not_outstanding() {
        one_flow it;
        it.send(0, 100, start);
        it.answer(0, 200, start + milliseconds(30), 100);
        it.send(0, 100, start + milliseconds(210));
        const time_point later = start + milliseconds(220);
        CPPUNIT_ASSERT(it.reported(current_entry, later));
        CPPUNIT_ASSERT_EQUAL(0U, it.reports().at(current_entry).outstanding);
    }

    // Guards against requests whose answer was lost with a process, or whose
    // host forgot them: later requests that the host answered show that these
    // are not in progress.
    void an_abandoned_request_is_not_outstanding_for_long() {
        one_flow it;
        it.open(1);
        it.open(2);
        it.send(0, 100, start);
        it.send_on(1, 0, 100, start);
        time_point now = start + milliseconds(10);
        for (std::uint32_t n = 0; n < 3; ++n) {
            it.send_on(2, 100 * n, 100, now);
            now += milliseconds(40);
            it.answer_on(2, 200 * n, 200, now);
        }
        CPPUNIT_ASSERT(it.reported(current_entry, now));
        CPPUNIT_ASSERT_EQUAL(0U, it.reports().at(current_entry).outstanding);
    }

    void a_request_is_measured_to_the_first_packet_of_its_answer() {
        one_flow it;
        it.send(0, 100, start);
        const auto busy = it.reported(current_entry, start);
        CPPUNIT_ASSERT(busy && busy->service_us == 0);
        it.answer(0, 1200, start + milliseconds(30), 100);
        it.answer(1200, 1200, start + milliseconds(60), 100);
        it.expect_service(milliseconds(30), start + milliseconds(60));
        it.send(100, 100, start + seconds(1));
        // Half of a time with two slots.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            15'000, it.reported(current_entry, start + seconds(1))->backlog_us,
            100);
        const auto work = it.reported(current_entry, start + seconds(1));
        CPPUNIT_ASSERT(work->service_high_us >= 25'000);
        CPPUNIT_ASSERT(work->requests_milli_per_second > 500);
        CPPUNIT_ASSERT_EQUAL(host_work::unlimited_room, work->opening_room);
    }

    // Guards against slow requests that are measured as short ones: a client
    // repeats a packet after 200 ms without an acknowledgement.
    void a_repeated_request_does_not_start_over() {
        one_flow it;
        it.send(0, 100, start);
        it.accept(start + milliseconds(100));
        it.send(0, 100, start + milliseconds(200));
        it.answer(0, 600, start + milliseconds(250), 100);
        it.expect_service(milliseconds(250), start + milliseconds(250));
    }

    // Guards against a wait for lost packets that is measured as service.
    void an_upload_starts_when_its_missing_packet_arrives() {
        one_flow it;
        it.send(0, 1200, start);
        it.send(2400, 1200, start + milliseconds(1));
        it.send(1200, 1200, start + milliseconds(200));
        it.answer(0, 300, start + milliseconds(205), 3600);
        it.expect_service(milliseconds(5), start + milliseconds(205));
        // The gap is closed, so repetitions are recognised again.
        it.send(3600, 900, start + milliseconds(300));
        it.send(3600, 900, start + milliseconds(500));
        it.answer(300, 300, start + milliseconds(800), 4500);
        CPPUNIT_ASSERT(it.relay().work().mean_service() > milliseconds(200));
    }

    // Guards against a request of which the answer seems to arrive at once.
    void a_repeated_answer_does_not_end_the_next_request() {
        one_flow it;
        it.send(0, 100, start);
        it.answer(0, 600, start + milliseconds(30), 100);
        it.send(100, 100, start + milliseconds(230));
        it.answer(0, 600, start + milliseconds(231), 100);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.relay().work().requests());
        it.answer(600, 600, start + milliseconds(260), 200);
        it.expect_service(milliseconds(30), start + milliseconds(260));
    }

    // Guards against reports that an earlier build drops.
    void only_entries_that_ask_receive_work() {
        one_flow it;
        CPPUNIT_ASSERT(it.reported(current_entry, start));
        CPPUNIT_ASSERT(!it.reported(earlier_entry, start));
        // A change of the host's state is reported to all.
        it.relay().begin_stop(start);
        CPPUNIT_ASSERT(it.reports().at(current_entry).work);
        CPPUNIT_ASSERT(!it.reports().at(earlier_entry).work);
    }

    void a_reset_flow_leaves_no_work() {
        one_flow it;
        it.send(0, 100, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.relay().work().requests());
        it.reset(start + milliseconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.relay().work().requests());
        const auto work = it.reported(current_entry, start + milliseconds(20));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, work->backlog_us);
    }

    // Guards against requests that the host breaks off without an answer.
    void a_flow_that_the_host_closed_leaves_no_work() {
        one_flow it;
        it.send(0, 100, start);
        it.close_by_host(start + milliseconds(10));
        it.run_ticks(start + milliseconds(50), start + milliseconds(2100));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.relay().work().requests());
        CPPUNIT_ASSERT(it.reported(current_entry, start + milliseconds(2100)));
        CPPUNIT_ASSERT_EQUAL(0U, it.reports().at(current_entry).outstanding);
    }

    // Guards against services with a flow for each request that learn nothing:
    // the host's packets may overtake each other, and the FIN carries no data.
    void a_host_that_closes_before_its_answer_arrives_is_measured() {
        one_flow it;
        it.send(0, 100, start);
        it.close_by_host(start + milliseconds(30), 200, 0, 100);
        it.run_ticks(start + milliseconds(30), start + milliseconds(30));
        it.answer(0, 200, start + milliseconds(31), 100);
        it.expect_service(milliseconds(31), start + milliseconds(31));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.relay().work().requests());
    }

    void an_answer_with_fin_is_measured() {
        one_flow it;
        it.send(0, 100, start);
        it.close_by_host(start + milliseconds(30), 0, 200, 100);
        it.expect_service(milliseconds(30), start + milliseconds(30));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.relay().work().requests());
    }

    // Guards against uploads without a sample. The client sends 16 packets in a
    // round trip, and the host acknowledges every second one. The process has
    // missed some of them: another entry's copy arrives late.
    void a_long_upload_is_measured() {
        constexpr std::uint32_t packets = 70;
        constexpr std::uint16_t size = 1200;
        for (const std::uint32_t missing : {packets, 0U, 7U, 20U, 40U, 68U}) {
            one_flow it;
            time_point now = start;
            for (std::uint32_t n = 0; n < packets; ++n) {
                if (n % 16 == 0)
                    now += milliseconds(8);
                if (n != missing)
                    it.send(n * size, size, now);
                if (n % 2 != 0)
                    it.acknowledge((n < missing ? n + 1 : missing) * size, now);
            }
            if (missing < packets) {
                now += milliseconds(200);
                it.send(missing * size, size, now);
                it.acknowledge(packets * size, now);
            }
            now += milliseconds(5);
            it.close_by_host(now, 0, 300, packets * size);
            it.expect_service(milliseconds(5), now);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(host_work_test);

} // namespace arbutusport::relay
