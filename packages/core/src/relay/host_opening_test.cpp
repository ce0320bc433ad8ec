// Guards what a host's relay process does with opening packets that its host
// may not get: which ones count, how they are returned, and what it reports.

#include <arbutusport/relay/host_relay.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace arbutusport::relay {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start{seconds(100)};
// The first second after the start of the process has passed.
const time_point settled = start + seconds(2);
constexpr machine_address first_entry{0x0a010001};
constexpr machine_address second_entry{0x0a010002};
const service_id service = service_id_of("participa");
constexpr double rate = 4;
constexpr std::size_t limit = 6;
constexpr std::uint32_t client_start = 1000;

flow_key flow_of(std::uint16_t port) {
    return {{0x64400007, port}, {0xc6120001, 443}};
}

hello cold_hello() {
    return {.registered = registration::ready,
            .host_started = unix_milliseconds(1),
            .wants_work = true,
            .directive = host_directive{.openings_per_second = rate,
                                        .cold_left = seconds(20)}};
}

hello evacuation_hello(std::uint64_t position, bool evacuated) {
    return {.registered = registration::ready,
            .wants_work = true,
            .directive = host_directive{.as_of = revision(position),
                                        .evacuated = evacuated}};
}

struct fixture {
    std::size_t delivered = 0;
    std::size_t resets = 0;
    std::vector<packet_returned> returned;
    std::vector<std::string> reasons;
    std::vector<std::pair<machine_address, load_report>> reports;
    host_relay relay;

    explicit fixture(opening_gate_options options =
                         {.warmup = warmup_bounds{1, limit - rate}})
        : relay({.service = service, .opening = options},
                {.deliver = [this](machine_address, byte_view) { ++delivered; },
                 .to_client = [](const flow_key&, byte_view) {},
                 .reset = [this](const flow_key&, std::uint32_t) { ++resets; },
                 .send =
                     [this](machine_address to, const message& it) {
                         if (const auto* one =
                                 std::get_if<packet_returned>(&it))
                             returned.push_back(*one);
                         if (const auto* one = std::get_if<load_report>(&it))
                             reports.emplace_back(to, *one);
                     },
                 .report =
                     [this](const event& it) {
                         if (it.name == std::string("packet_returned"))
                             reasons.emplace_back(it.reason);
                     }},
                start) {}

    void open(std::uint16_t port, std::uint32_t sequence = client_start,
              time_point now = settled, machine_address from = first_entry) {
        segment it;
        it.flow = flow_of(port);
        it.syn = true;
        it.sequence = sequence;
        it.mark = make_placement_mark(service);
        relay.on_entry(from, it, now);
    }

    void host_accepts(std::uint16_t port, time_point now = settled) {
        segment it;
        it.flow = flow_of(port);
        it.syn = true;
        it.ack = true;
        it.sequence = 77;
        it.acknowledged = client_start + 1;
        relay.on_host(it, now);
    }
};

} // namespace

class host_opening_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(host_opening_test);
    CPPUNIT_TEST(what_a_cold_host_does_not_bear_is_returned);
    CPPUNIT_TEST(copies_of_an_admitted_opening_do_not_count);
    CPPUNIT_TEST(a_returned_opening_is_decided_anew);
    CPPUNIT_TEST(a_port_that_is_used_again_counts);
    CPPUNIT_TEST(a_returned_opening_keeps_the_flow_of_its_port);
    CPPUNIT_TEST(an_evacuated_host_keeps_its_flows);
    CPPUNIT_TEST(work_is_reported_only_to_entries_that_want_it);
    CPPUNIT_TEST(the_reported_room_is_divided_among_the_entries);
    CPPUNIT_TEST(a_host_that_boots_again_is_limited);
    CPPUNIT_TEST(without_settings_nothing_is_returned);
    CPPUNIT_TEST_SUITE_END();

public:
    void what_a_cold_host_does_not_bear_is_returned() {
        fixture it;
        it.relay.on_message(first_entry, cold_hello(), settled);
        for (std::uint16_t port = 1; port <= 20; ++port)
            it.open(port);
        CPPUNIT_ASSERT_EQUAL(limit, it.delivered);
        CPPUNIT_ASSERT_EQUAL(20 - limit, it.returned.size());
        // Earlier builds reject messages with a reason unknown to them.
        CPPUNIT_ASSERT(it.returned[0].reason == return_reason::host_refused);
        CPPUNIT_ASSERT_EQUAL(std::string("host_cold"), it.reasons[0]);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.resets);
    }

    // The host takes a flow once: copies while it has not answered, and after
    // it accepted, are delivered and not counted.
    void copies_of_an_admitted_opening_do_not_count() {
        fixture it;
        it.relay.on_message(first_entry, cold_hello(), settled);
        for (int i = 0; i < 5; ++i)
            it.open(1);
        // A copy through another entry.
        it.open(1, client_start, settled, second_entry);
        it.host_accepts(1);
        for (int i = 0; i < 5; ++i)
            it.open(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{11}, it.delivered);
        for (std::uint16_t port = 2; port <= 20; ++port)
            it.open(port);
        // The first flow counts as one.
        CPPUNIT_ASSERT_EQUAL(11 + limit - 1, it.delivered);
        // A copy still passes when there is no room.
        it.open(1);
        CPPUNIT_ASSERT_EQUAL(12 + limit - 1, it.delivered);
    }

    void a_returned_opening_is_decided_anew() {
        fixture it;
        it.relay.on_message(first_entry, cold_hello(), settled);
        for (std::uint16_t port = 1; port <= limit; ++port)
            it.open(port);
        it.open(100);
        it.open(100);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.returned.size());
        const auto later = settled + opening_limiter::span + duration(1);
        it.open(100, client_start, later);
        CPPUNIT_ASSERT_EQUAL(limit + 1, it.delivered);
        CPPUNIT_ASSERT_EQUAL(std::size_t{limit - 1},
                             std::size_t{it.relay.gate().room(later)});
    }

    void a_port_that_is_used_again_counts() {
        fixture it;
        it.relay.on_message(first_entry, cold_hello(), settled);
        it.open(1);
        it.host_accepts(1);
        it.open(1, client_start + 5'000'000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{limit - 2},
                             std::size_t{it.relay.gate().room(settled)});
    }

    // Guards against an open flow that is forgotten, although its host never
    // sees the opening packet that used its port again.
    void a_returned_opening_keeps_the_flow_of_its_port() {
        fixture it;
        it.open(1);
        it.host_accepts(1);
        it.relay.on_message(first_entry, evacuation_hello(20, true), settled);
        it.open(1, client_start + 1'000'000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.returned.size());
        const auto delivered = it.delivered;
        segment data;
        data.flow = flow_of(1);
        data.ack = true;
        data.sequence = client_start + 1;
        data.acknowledged = 78;
        data.payload_bytes = 10;
        data.mark = make_placement_mark(service);
        it.relay.on_entry(first_entry, data, settled);
        CPPUNIT_ASSERT_EQUAL(delivered + 1, it.delivered);
        // The process still counts the flow and sends no opening of it again.
        it.open(1);
        CPPUNIT_ASSERT_EQUAL(delivered + 2, it.delivered);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.returned.size());
    }

    // Guards against the end of open flows in an evacuation, and against new
    // ones from an entry that lags.
    void an_evacuated_host_keeps_its_flows() {
        fixture it{opening_gate_options()};
        it.open(1);
        it.host_accepts(1);
        it.relay.on_message(first_entry, evacuation_hello(5, true), settled);
        it.open(2);
        CPPUNIT_ASSERT_EQUAL(std::string("evacuated"), it.reasons.at(0));
        CPPUNIT_ASSERT(it.returned[0].reason == return_reason::host_refused);
        it.open(1);
        segment data;
        data.flow = flow_of(1);
        data.ack = true;
        data.sequence = client_start + 1;
        data.acknowledged = 78;
        data.payload_bytes = 10;
        data.mark = make_placement_mark(service);
        it.relay.on_entry(first_entry, data, settled);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, it.delivered);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.returned.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.resets);
        it.relay.on_message(second_entry, evacuation_hello(7, false), settled);
        it.open(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, it.delivered);
    }

    // Guards against entries of earlier builds, which drop reports with work.
    void work_is_reported_only_to_entries_that_want_it() {
        fixture it;
        it.relay.on_message(first_entry, cold_hello(), settled);
        it.relay.on_message(second_entry, hello{}, settled);
        // A plain hello of an entry that sends both kinds.
        it.relay.on_message(first_entry, hello{}, settled);
        CPPUNIT_ASSERT(it.reports[0].second.work.has_value());
        CPPUNIT_ASSERT(!it.reports[1].second.work.has_value());
        CPPUNIT_ASSERT(it.reports[2].second.work.has_value());
        it.reports.clear();
        it.relay.begin_stop(settled);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.reports.size());
        for (const auto& [to, one] : it.reports)
            CPPUNIT_ASSERT_EQUAL(to == first_entry, one.work.has_value());
        // An earlier build runs at the address now.
        it.relay.on_message(first_entry, hello{.run = incarnation(9)}, settled);
        CPPUNIT_ASSERT(!it.reports.back().second.work.has_value());
    }

    void the_reported_room_is_divided_among_the_entries() {
        fixture it;
        it.relay.on_message(first_entry, cold_hello(), settled);
        CPPUNIT_ASSERT_EQUAL(std::size_t{limit}, room(it));
        it.relay.on_message(second_entry, cold_hello(), settled);
        CPPUNIT_ASSERT_EQUAL(std::size_t{limit / 2}, room(it));
        for (std::uint16_t port = 1; port < limit; ++port)
            it.open(port);
        it.relay.on_message(second_entry, cold_hello(), settled);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, room(it));
        it.open(100);
        it.relay.on_message(second_entry, cold_hello(), settled);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, room(it));
        // After the cold time.
        it.relay.on_message(
            second_entry,
            hello{.registered = registration::ready, .wants_work = true},
            settled + seconds(20));
        CPPUNIT_ASSERT_EQUAL(std::size_t{host_work::unlimited_room}, room(it));
    }

    // Guards against a burst at a host that boots beside a running process,
    // before the entries know its registration.
    void a_host_that_boots_again_is_limited() {
        fixture it;
        it.relay.on_message(first_entry, cold_hello(), settled);
        const auto later = settled + seconds(60);
        it.relay.on_message(first_entry,
                            hello{.registered = registration::ready,
                                  .host_started = unix_milliseconds(1),
                                  .wants_work = true},
                            later);
        it.relay.on_host_refused(later);
        it.relay.on_tick(later + seconds(1));
        it.relay.on_host_accepted(later + seconds(1));
        CPPUNIT_ASSERT(it.relay.state() == host_state::alive);
        for (std::uint16_t port = 1; port <= 20; ++port)
            it.open(port, client_start, later + seconds(1));
        CPPUNIT_ASSERT_EQUAL(limit, it.delivered);
    }

    void without_settings_nothing_is_returned() {
        fixture it{opening_gate_options()};
        it.relay.on_message(first_entry, cold_hello(), start);
        for (std::uint16_t port = 1; port <= 200; ++port)
            it.open(port, client_start, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{200}, it.delivered);
        CPPUNIT_ASSERT_EQUAL(std::size_t{host_work::unlimited_room}, room(it));
    }

private:
    static std::size_t room(const fixture& it) {
        return it.reports.back().second.work->opening_room;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(host_opening_test);

} // namespace arbutusport::relay
