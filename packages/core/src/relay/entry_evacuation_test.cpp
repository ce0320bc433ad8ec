// Checks single decisions of an entry about evacuated data centres that the
// simulation does not bring about one by one.

#include <arbutusport/relay/entry_relay.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <string>

namespace arbutusport::relay {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start{seconds(100)};
const flow_key flow{{0x64400007, 40001}, {0xc6120001, 443}};
const service_id service = service_id_of("participa");
constexpr data_centre_id here{1};
constexpr data_centre_id there{2};
const machine_address host_here(0x0a010001);
const machine_address host_there(0x0a010002);
const machine_address peer(0x0a010008);
constexpr std::uint32_t client_start = 1000;

host_record record(std::uint64_t key, data_centre_id data_centre,
                   machine_address machine) {
    return {.key = host_key(key),
            .service = service,
            .address = {machine.value(), 8080},
            .data_centre = data_centre,
            .slots = 2};
}

routing_document make_routing() {
    routing_document it{.version = 1};
    it.routes.push_back({flow.service, {{service, 1}}, {}});
    return it;
}

// An entry that expects evacuations.
struct fixture {
    std::vector<machine_address> packets;
    std::vector<std::string> sent;
    std::vector<machine_address> asked;
    std::vector<std::string> events;
    std::vector<std::string> listings;
    std::optional<revision> reads_after;
    bool reads = true;
    std::size_t resets = 0;
    bytes datagram = bytes(34);
    segment opening;
    entry_relay entry;

    explicit fixture(bool expects = true)
        : entry({.self = machine_address(0x0a010009),
                 .data_centre = here,
                 .expects_evacuations = expects},
                {.forward = [this](machine_address to, routing_mark,
                                   byte_view) { packets.push_back(to); },
                 .reset = [this](const flow_key&, std::uint32_t) { ++resets; },
                 .send =
                     [this](machine_address to, const message& it) {
                         sent.emplace_back(type_name(it));
                         if (std::holds_alternative<directory_request>(it))
                             asked.push_back(to);
                     },
                 .decode = [this](byte_view) { return std::optional(opening); },
                 .restart_reading =
                     [this](const char* reason) {
                         listings.emplace_back(reason);
                     },
                 .set_reading_enabled =
                     [this](bool enabled, revision after) {
                         reads = enabled;
                         reads_after = after;
                     },
                 .read_store = [](std::uint64_t, revision) {},
                 .report =
                     [this](const event& it) {
                         events.push_back(std::string(it.name) + " " +
                                          it.reason);
                     }}) {
        opening.flow = flow;
        opening.syn = true;
        opening.sequence = client_start;
        opening.datagram = datagram;
    }

    void list(std::uint64_t as_of,
              const std::vector<directory_change>& more = {}) {
        std::vector<directory_change> items{
            {revision(2), make_routing()},
            {revision(3), record(1, here, host_here)},
            {revision(4), record(2, there, host_there)}};
        items.insert(items.end(), more.begin(), more.end());
        entry.on_listing(revision(as_of), items, start);
    }

    // The directory arrives from a peer, without the requests.
    void receive_directory(std::uint64_t as_of) {
        directory known;
        known.adopt_listing(revision(as_of),
                            {{revision(2), make_routing()},
                             {revision(3), record(1, here, host_here)},
                             {revision(4), record(2, there, host_there)}},
                            start);
        entry.on_message(peer,
                         directory_part{.as_of = known.as_of(),
                                        .digest = known.digest(),
                                        .count = 1,
                                        .content = encode_view(known.view())},
                         start);
    }

    void hear_reader(time_point now) {
        entry.on_message(
            peer,
            peer_hello{.run = incarnation(1),
                       .data_centre = here,
                       .reads_store = true,
                       .is_reply = true,
                       .reader = reader_announcement{peer, incarnation(1), 1}},
            now);
    }

    void tick_until(time_point from, time_point until) {
        for (auto it = from; it <= until; it += milliseconds(10))
            entry.on_tick(it);
    }

    // The entry follows a reader, which then ends.
    void outlive_reader() {
        hear_reader(start);
        tick_until(start, start + milliseconds(200));
        CPPUNIT_ASSERT(!reads);
        tick_until(start + milliseconds(210), start + seconds(5));
        CPPUNIT_ASSERT(reads);
    }

    void evacuate(std::uint64_t at, data_centre_id it, time_point now = start) {
        entry.on_changes(revision(at), {{revision(at), evacuation_set{it}}},
                         now);
    }

    bool has_event(const std::string& it) const {
        return std::ranges::find(events, it) != events.end();
    }
};

} // namespace

class entry_evacuation_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(entry_evacuation_test);
    CPPUNIT_TEST(a_new_reader_continues_from_its_own_table);
    CPPUNIT_TEST(a_new_reader_without_a_table_lists_the_store);
    CPPUNIT_TEST(no_flow_is_placed_before_the_table_is_known);
    CPPUNIT_TEST(an_unknown_table_delays_flows_for_a_limited_time);
    CPPUNIT_TEST(different_entries_are_asked_for_the_table);
    CPPUNIT_TEST(a_requested_directory_comes_with_the_table);
    CPPUNIT_TEST(evacuated_hosts_displace_no_others);
    CPPUNIT_TEST(a_copy_of_an_accepted_opening_reaches_its_host);
    CPPUNIT_TEST(an_unanswered_opening_stays_out_of_the_data_centre);
    CPPUNIT_TEST(a_returned_opening_stays_out_of_the_data_centre);
    CPPUNIT_TEST(a_refusal_names_the_evacuation);
    CPPUNIT_TEST(a_refused_request_counts_when_its_hosts_come);
    CPPUNIT_TEST(a_table_before_the_directory_is_kept_whole);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a request that was written before the reader ended and
    // that neither its message nor the next watch brings.
    void a_new_reader_continues_from_its_own_table() {
        for (const bool expects : {true, false}) {
            fixture it(expects);
            it.list(5);
            // The directory is ahead of the table.
            it.entry.on_store_read(
                1, {.as_of = revision(20), .is_listing = false, .items = {}},
                start);
            it.outlive_reader();
            CPPUNIT_ASSERT(it.reads_after == revision(expects ? 5 : 20));
            CPPUNIT_ASSERT(it.listings.empty());
            if (!expects)
                continue;
            it.entry.on_changes(revision(21),
                                {{revision(10), evacuation_set{there}}},
                                start + seconds(6));
            CPPUNIT_ASSERT(it.entry.evacuations().is_evacuated(there));
            CPPUNIT_ASSERT(it.entry.evacuations().complete_until() ==
                           revision(21));
        }
    }

    void a_new_reader_without_a_table_lists_the_store() {
        for (const bool expects : {true, false}) {
            fixture it(expects);
            it.receive_directory(5);
            it.outlive_reader();
            CPPUNIT_ASSERT_EQUAL(std::size_t{expects ? 1U : 0U},
                                 it.listings.size());
        }
    }

    void no_flow_is_placed_before_the_table_is_known() {
        fixture it;
        it.receive_directory(5);
        it.entry.on_client(it.opening, start);
        CPPUNIT_ASSERT(it.packets.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.resets);
        CPPUNIT_ASSERT(it.has_event("dropped evacuations_unknown"));
        it.entry.on_message(
            peer,
            operator_intent{.as_of = revision(5),
                            .evacuations = {{here, revision(4)}}},
            start + milliseconds(10));
        // The client's next copy.
        it.entry.on_client(it.opening, start + milliseconds(200));
        CPPUNIT_ASSERT(it.packets ==
                       std::vector<machine_address>({host_there}));
    }

    void an_unknown_table_delays_flows_for_a_limited_time() {
        fixture it;
        it.receive_directory(5);
        it.entry.on_client(it.opening, start + milliseconds(2900));
        CPPUNIT_ASSERT(it.packets.empty());
        it.entry.on_client(it.opening, start + milliseconds(3000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.packets.size());
    }

    // Guards against an entry that starts while the store is down and gets the
    // directory before, or without, the requests.
    // Guards against an entry that asks the same peer again and again, which
    // may be of a build that knows no evacuations.
    void different_entries_are_asked_for_the_table() {
        fixture it;
        it.hear_reader(start);
        const machine_address other(0x0a010007);
        it.entry.on_message(other,
                            peer_hello{.run = incarnation(2),
                                       .data_centre = here,
                                       .is_reply = true},
                            start);
        it.receive_directory(5);
        it.asked.clear();
        it.tick_until(start, start + milliseconds(2900));
        CPPUNIT_ASSERT(!it.asked.empty());
        // The reader has the newest table.
        CPPUNIT_ASSERT(it.asked.front() == peer);
        CPPUNIT_ASSERT(std::ranges::find(it.asked, other) != it.asked.end());
    }

    void a_requested_directory_comes_with_the_table() {
        for (const bool expects : {true, false}) {
            fixture it(expects);
            it.list(5);
            it.sent.clear();
            it.entry.on_message(peer, directory_request{}, start);
            CPPUNIT_ASSERT(
                it.sent ==
                (expects ? std::vector<std::string>(
                               {"operator_intent", "directory_part"})
                         : std::vector<std::string>({"directory_part"})));
        }
    }

    // Guards against entries that follow hosts elsewhere which may not be used,
    // and too few of the others; and against hellos to all evacuated hosts.
    void evacuated_hosts_displace_no_others() {
        constexpr data_centre_id elsewhere{3};
        directory known;
        std::vector<directory_change> items{{revision(2), make_routing()}};
        for (std::uint32_t i = 0; i < 60; ++i)
            items.push_back(
                {revision(3 + i), record(i, data_centre_id(1 + i % 3),
                                         machine_address(0x0a010001 + i))});
        known.adopt_listing(revision(100), items, start);
        host_peers peers(
            {.data_centre = here,
             .is_evacuated = [](data_centre_id it) { return it == there; }});
        peers.update_from_directory(known, start);
        std::map<data_centre_id, std::size_t> followed;
        for (std::uint32_t i = 0; i < 60; ++i) {
            const auto* it = peers.find(machine_address(0x0a010001 + i));
            followed[it->data_centre] += it->followed ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, followed[here]);
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, followed[elsewhere]);
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, followed[there]);
        for (const candidate& it : peers.candidates(known, service, start))
            CPPUNIT_ASSERT(peers.find(it.machine)->data_centre != there);
    }

    // Guards against a second flow elsewhere while the host has the first one.
    void a_copy_of_an_accepted_opening_reaches_its_host() {
        fixture it;
        it.list(5);
        it.entry.on_client(it.opening, start);
        it.entry.on_message(
            host_here, owned_flows{.flows = {{flow, client_start, 500'000}}},
            start + milliseconds(5));
        it.evacuate(6, here);
        it.packets.clear();
        it.entry.on_client(it.opening, start + milliseconds(200));
        CPPUNIT_ASSERT(it.packets == std::vector<machine_address>({host_here}));
    }

    void an_unanswered_opening_stays_out_of_the_data_centre() {
        for (const bool evacuated : {false, true}) {
            fixture it;
            it.list(5);
            it.entry.on_client(it.opening, start);
            CPPUNIT_ASSERT(it.packets ==
                           std::vector<machine_address>({host_here}));
            if (evacuated)
                it.evacuate(6, there);
            it.tick_until(start, start + milliseconds(100));
            CPPUNIT_ASSERT_EQUAL(!evacuated,
                                 std::ranges::find(it.packets, host_there) !=
                                     it.packets.end());
        }
    }

    void a_returned_opening_stays_out_of_the_data_centre() {
        for (const bool evacuated : {false, true}) {
            fixture it;
            it.list(5);
            it.entry.on_client(it.opening, start);
            it.evacuate(6, here);
            if (evacuated)
                it.evacuate(7, there);
            it.packets.clear();
            it.entry.on_message(
                host_here,
                packet_returned{return_reason::host_refused, it.datagram},
                start + milliseconds(5));
            CPPUNIT_ASSERT(it.packets ==
                           (evacuated
                                ? std::vector<machine_address>()
                                : std::vector<machine_address>({host_there})));
            CPPUNIT_ASSERT_EQUAL(std::size_t{evacuated ? 1U : 0U}, it.resets);
        }
    }

    void a_refusal_names_the_evacuation() {
        fixture it;
        it.list(5, {{revision(4), evacuation_set{here}},
                    {revision(5), evacuation_set{there}}});
        CPPUNIT_ASSERT(it.has_event("evacuation_in_force listing"));
        it.entry.on_client(it.opening, start);
        CPPUNIT_ASSERT(it.packets.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.resets);
        CPPUNIT_ASSERT(it.has_event("refused evacuated"));
        it.entry.on_changes(revision(6),
                            {{revision(6), evacuation_removed{there}}}, start);
        CPPUNIT_ASSERT(it.has_event("evacuation_lifted change"));
        it.entry.on_client(it.opening, start);
        CPPUNIT_ASSERT(it.packets ==
                       std::vector<machine_address>({host_there}));
    }

    // Guards against a request of a data centre with hosts that is left out
    // because another writer has filled the table with other names.
    void a_refused_request_counts_when_its_hosts_come() {
        constexpr data_centre_id later{3};
        fixture it;
        std::vector<directory_change> items;
        for (std::uint64_t i = 0; i < 2 * evacuation_table::max_without_hosts;
             ++i)
            items.push_back(
                {revision(5), evacuation_set{data_centre_id(9 + i)}});
        items.push_back({revision(5), evacuation_set{later}});
        items.push_back({revision(5), evacuation_set{here}});
        it.list(10, items);
        CPPUNIT_ASSERT(it.entry.evacuations().is_evacuated(here));
        CPPUNIT_ASSERT(!it.entry.evacuations().is_evacuated(later));
        CPPUNIT_ASSERT(
            it.has_event("evacuations_refused too_many_without_hosts"));
        const auto host = record(3, later, machine_address(0x0a010003));
        it.entry.on_changes(revision(11), {{revision(11), host}}, start);
        CPPUNIT_ASSERT(it.listings ==
                       std::vector<std::string>({"evacuations_refused"}));
        items.push_back({revision(11), host});
        it.list(12, items);
        CPPUNIT_ASSERT(it.entry.evacuations().is_evacuated(later));
    }

    // Guards against a table that is cut to the names without hosts while no
    // host is known, and then counts as complete.
    void a_table_before_the_directory_is_kept_whole() {
        fixture it;
        operator_intent table{.as_of = revision(900)};
        for (std::uint64_t i = 0; i < evacuation_table::max_without_hosts; ++i)
            table.evacuations.push_back(
                {data_centre_id(100 + i), revision(10 + i)});
        table.evacuations.push_back({here, revision(800)});
        it.entry.on_message(peer, table, start);
        it.receive_directory(5);
        CPPUNIT_ASSERT(it.entry.evacuations().is_evacuated(here));
        CPPUNIT_ASSERT(!it.entry.evacuations().has_refused());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_evacuation_test);

} // namespace arbutusport::relay
