// Guards what an entry does about cold hosts: the directives that it sends, the
// room within which it places flows, and returned opening packets.

#include <arbutusport/relay/entry_relay.hpp>
#include <arbutusport/relay/host_directive.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace arbutusport::relay {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start{seconds(100)};
const service_id service = service_id_of("participa");
const endpoint address{0xc6120001, 443};
const machine_address cold_machine(0x0a010001);
const machine_address warm_machine(0x0a010002);
constexpr duration warmup = seconds(20);
constexpr double rate = 10;
// `rate` over one interval of reports, 400 ms.
constexpr std::size_t first_room = 4;
constexpr std::uint32_t client_start = 1000;

flow_key flow_of(std::uint16_t port) {
    return {{0x64400007, port}, address};
}

host_record record(std::uint64_t key, machine_address machine,
                   duration warmup_left) {
    return {.key = host_key(key),
            .service = service,
            .address = {machine.value(), 8080},
            .data_centre = data_centre_id(1),
            .slots = 2,
            .warmup_left = warmup_left};
}

routing_document routing(std::vector<warmup_limit> limits) {
    return {.version = 1,
            .routes = {{address, {{service, 1}}}},
            .warmup_limits = std::move(limits)};
}

const warmup_limit known_limit{service, warmup, rate};

// An entry that knows a cold host; the warm one registers later.
struct fixture {
    std::vector<machine_address> placed;
    std::vector<std::pair<machine_address, message>> messages;
    std::size_t resets = 0;
    std::vector<event> events;
    bytes datagram = bytes(34);
    // The returned packet.
    segment decoded;
    entry_relay entry;

    explicit fixture(bool limits_cold_hosts = true)
        : entry({.self = machine_address(0x0a010009),
                 .data_centre = data_centre_id(1),
                 .peers = {.limits_cold_hosts = limits_cold_hosts}},
                {.forward = [this](machine_address to, routing_mark,
                                   byte_view) { placed.push_back(to); },
                 .reset = [this](const flow_key&, std::uint32_t) { ++resets; },
                 .send =
                     [this](machine_address to, const message& it) {
                         messages.emplace_back(to, it);
                     },
                 .decode = [this](byte_view) { return std::optional(decoded); },
                 .restart_reading = [](const char*) {},
                 .set_reading_enabled = [](bool, revision) {},
                 .read_store = [](std::uint64_t, revision) {},
                 .report = [this](const event& it) { events.push_back(it); }}) {
        entry.on_listing(revision(5),
                         {{revision(2), routing({known_limit})},
                          {revision(3), record(1, cold_machine, warmup)}},
                         start);
    }

    void add_warm_host() {
        entry.on_changes(revision(6),
                         {{revision(6), record(2, warm_machine, {})}}, start);
    }

    void open(std::uint16_t port, time_point now = start) {
        segment it;
        it.flow = flow_of(port);
        it.syn = true;
        it.sequence = client_start;
        it.datagram = datagram;
        entry.on_client(it, now);
    }

    void open_many(std::uint16_t first, std::uint16_t count,
                   time_point now = start) {
        for (std::uint16_t i = 0; i < count; ++i)
            open(static_cast<std::uint16_t>(first + i), now);
    }

    void returns(machine_address from, std::uint16_t port,
                 time_point now = start) {
        decoded.flow = flow_of(port);
        decoded.syn = true;
        decoded.sequence = client_start;
        entry.on_message(
            from, packet_returned{return_reason::host_refused, datagram}, now);
    }

    void reports_room(std::uint16_t room, time_point now = start) {
        entry.on_message(cold_machine,
                         load_report{.service = make_service_tag(service),
                                     .work = host_work{.opening_room = room}},
                         now);
    }

    std::size_t count_placed(machine_address at) const {
        return static_cast<std::size_t>(std::ranges::count(placed, at));
    }

    std::vector<hello> hellos_to(machine_address machine) const {
        std::vector<hello> out;
        for (const auto& [to, it] : messages)
            if (const auto* one = std::get_if<hello>(&it);
                one != nullptr && to == machine)
                out.push_back(*one);
        return out;
    }
};

// The directory and its first host.
struct known_host {
    directory known;

    known_host(duration warmup_left, std::vector<warmup_limit> limits) {
        known.adopt_listing(
            revision(5),
            {{revision(2), routing(std::move(limits))},
             {revision(3), record(1, cold_machine, warmup_left)}},
            start);
    }

    const directory::host& host() const {
        return known.hosts().begin()->second;
    }
};

} // namespace

class cold_placement_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(cold_placement_test);
    CPPUNIT_TEST(a_directive_states_what_a_cold_host_bears);
    CPPUNIT_TEST(a_directive_states_an_evacuation_and_its_end);
    CPPUNIT_TEST(a_cold_host_gets_a_hello_at_once);
    CPPUNIT_TEST(a_host_that_boots_under_its_key_gets_a_hello_at_once);
    CPPUNIT_TEST(a_process_of_an_unknown_build_gets_both_hellos);
    CPPUNIT_TEST(flows_are_placed_within_the_room);
    CPPUNIT_TEST(a_warm_host_gets_what_the_cold_one_does_not_bear);
    CPPUNIT_TEST(a_returned_opening_goes_to_another_host);
    CPPUNIT_TEST(a_returned_opening_ends_the_room_until_the_next_report);
    CPPUNIT_TEST(a_reported_room_counts_without_a_known_limit);
    CPPUNIT_TEST(without_a_limit_in_the_settings_nothing_is_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_directive_states_what_a_cold_host_bears() {
        const evacuation_table none;
        const known_host cold(warmup, {known_limit});
        const auto directive = make_directive(cold.host(), cold.known, none,
                                              true, start + seconds(5));
        CPPUNIT_ASSERT(directive.has_value());
        CPPUNIT_ASSERT_EQUAL(rate, directive->openings_per_second);
        CPPUNIT_ASSERT(directive->cold_left == seconds(15));
        CPPUNIT_ASSERT(directive->warmup == warmup);
        // Its process keeps the limit for the next start of the host.
        const auto warm =
            make_directive(cold.host(), cold.known, none, true, start + warmup);
        CPPUNIT_ASSERT(warm.has_value());
        CPPUNIT_ASSERT_EQUAL(rate, warm->openings_per_second);
        CPPUNIT_ASSERT(warm->cold_left == duration::zero());
        CPPUNIT_ASSERT(warm->warmup == warmup);
        CPPUNIT_ASSERT(
            !make_directive(cold.host(), cold.known, none, false, start));
        const known_host without_limit(warmup, {});
        CPPUNIT_ASSERT(!make_directive(without_limit.host(),
                                       without_limit.known, none, true, start));
        // No host is cold for longer than its service's warm-up time.
        const known_host odd(10 * warmup, {known_limit});
        CPPUNIT_ASSERT(make_directive(odd.host(), odd.known, none, true, start)
                           ->cold_left == warmup);
    }

    void a_directive_states_an_evacuation_and_its_end() {
        const known_host warm(duration{}, {});
        evacuation_table evacuations;
        evacuations.adopt_listing(revision(5), {});
        const auto directive = [&] {
            return make_directive(warm.host(), warm.known, evacuations, true,
                                  start);
        };
        CPPUNIT_ASSERT(!directive());
        evacuations.apply({revision(7), evacuation_set{data_centre_id(1)}});
        CPPUNIT_ASSERT(directive()->evacuated);
        CPPUNIT_ASSERT(directive()->as_of == revision(7));
        evacuations.apply({revision(9), evacuation_removed{data_centre_id(1)}});
        CPPUNIT_ASSERT(!directive()->evacuated);
        CPPUNIT_ASSERT(directive()->as_of == revision(9));
    }

    // Guards against opening packets that arrive before the process knows that
    // its host is cold.
    void a_cold_host_gets_a_hello_at_once() {
        fixture it;
        it.messages.clear();
        it.entry.on_changes(revision(6),
                            {{revision(6), host_removed{host_key(1)}},
                             {revision(7), record(9, cold_machine, warmup)}},
                            start + milliseconds(1));
        const auto hellos = it.hellos_to(cold_machine);
        CPPUNIT_ASSERT(!hellos.empty());
        CPPUNIT_ASSERT(hellos[0].directive.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{2}, hellos[0].slots);
    }

    // Guards against a boot that is noticed only by the key, which the host
    // may keep.
    void a_host_that_boots_under_its_key_gets_a_hello_at_once() {
        fixture it;
        it.messages.clear();
        auto again = record(1, cold_machine, warmup);
        again.started = unix_milliseconds(1'700'000'000'000);
        it.entry.on_changes(revision(6), {{revision(6), again}},
                            start + milliseconds(1));
        CPPUNIT_ASSERT(!it.hellos_to(cold_machine).empty());
        // The host repeats its registration.
        it.messages.clear();
        it.entry.on_changes(revision(7), {{revision(7), again}},
                            start + milliseconds(2));
        CPPUNIT_ASSERT(it.hellos_to(cold_machine).empty());
    }

    void a_process_of_an_unknown_build_gets_both_hellos() {
        fixture it;
        const auto first = it.hellos_to(cold_machine);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, first.size());
        CPPUNIT_ASSERT(first[0].wants_work && !first[1].wants_work);
        // A process of either build sends its flows once.
        CPPUNIT_ASSERT(!first[0].wants_flows && first[1].wants_flows);
        it.reports_room(3, start + milliseconds(5));
        it.messages.clear();
        it.entry.on_tick(start + milliseconds(400));
        const auto second = it.hellos_to(cold_machine);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.size());
        CPPUNIT_ASSERT(second[0].wants_work && second[0].wants_flows);
    }

    void flows_are_placed_within_the_room() {
        fixture it;
        it.open_many(1, 20);
        CPPUNIT_ASSERT_EQUAL(first_room, it.placed.size());
        // What no host takes is refused at once.
        CPPUNIT_ASSERT_EQUAL(20 - first_room, it.resets);
        it.reports_room(3, start + milliseconds(100));
        it.open_many(100, 20, start + milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(first_room + 3, it.placed.size());
        // The host is no longer cold.
        it.reports_room(host_work::unlimited_room, start + warmup);
        it.open_many(200, 20, start + warmup);
        CPPUNIT_ASSERT_EQUAL(first_room + 23, it.placed.size());
    }

    void a_warm_host_gets_what_the_cold_one_does_not_bear() {
        fixture it;
        it.add_warm_host();
        it.open_many(1, 40);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.resets);
        CPPUNIT_ASSERT_EQUAL(std::size_t{40}, it.placed.size());
        CPPUNIT_ASSERT(it.count_placed(cold_machine) <= first_room);
    }

    // Guards against a client that waits for a retransmission, and against a
    // host that counts as unresponsive although it has answered.
    void a_returned_opening_goes_to_another_host() {
        fixture it;
        it.open(1);
        CPPUNIT_ASSERT(it.placed == std::vector{cold_machine});
        it.add_warm_host();
        it.returns(cold_machine, 1, start + milliseconds(2));
        CPPUNIT_ASSERT((it.placed == std::vector{cold_machine, warm_machine}));
        it.entry.on_message(
            warm_machine, owned_flows{.flows = {{flow_of(1), client_start, 5}}},
            start + milliseconds(4));
        it.entry.on_tick(start + milliseconds(100));
        CPPUNIT_ASSERT(std::ranges::none_of(it.events, [](const event& one) {
            return one.name == std::string("opening_unanswered");
        }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.resets);
    }

    void a_returned_opening_ends_the_room_until_the_next_report() {
        fixture it;
        it.open(1);
        it.returns(cold_machine, 1);
        const auto placed = it.placed.size();
        it.open_many(2, 5);
        CPPUNIT_ASSERT_EQUAL(placed, it.placed.size());
        it.reports_room(2);
        it.open_many(10, 5);
        CPPUNIT_ASSERT_EQUAL(placed + 2, it.placed.size());
    }

    // The host process knows the limit before this entry does, or returns
    // everything because its data centre is evacuated.
    void a_reported_room_counts_without_a_known_limit() {
        fixture it;
        it.add_warm_host();
        it.entry.on_message(warm_machine,
                            load_report{.service = make_service_tag(service),
                                        .work = host_work{.opening_room = 0}},
                            start);
        it.reports_room(host_work::unlimited_room, start + warmup);
        it.open_many(1, 20, start + warmup);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.count_placed(warm_machine));
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, it.count_placed(cold_machine));
    }

    void without_a_limit_in_the_settings_nothing_is_refused() {
        fixture it(false);
        it.open_many(1, 20);
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, it.placed.size());
        it.returns(cold_machine, 1);
        it.open_many(100, 20);
        CPPUNIT_ASSERT(it.placed.size() >= 40);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cold_placement_test);

} // namespace arbutusport::relay
