// Guards the evacuation of a data centre in the simulated relay: no new flow is
// placed there in time, whatever fails halfway, and open flows keep working.
// What entries do is checked alone: where they place.

#include "relay_world_flows.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace arbutusport::emulator {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration startup_time = seconds(2);
// The bound within which an evacuation is in force.
constexpr duration evacuation_limit = seconds(5);
// Long enough for the message of a reader that works.
constexpr duration push_time = milliseconds(100);

relay_world_options two_data_centres() {
    return {.entries = 8,
            .hosts = 6,
            .data_centres = 2,
            .expects_evacuations = true};
}

// Number of opening packets that entries have sent to hosts of the data centre.
// Those that arrive do not show an entry that lags, since host processes return
// its packets.
std::uint64_t placed_in(const relay_world& world, std::size_t data_centre) {
    std::uint64_t out = 0;
    for (std::size_t host = data_centre; host < 6; host += 2)
        out += world.openings_sent_to(host);
    return out;
}

// Number of flows whose opening packet reached a host of the data centre.
std::uint64_t delivered_in(const relay_world& world, std::size_t data_centre) {
    std::uint64_t out = 0;
    for (std::size_t host = data_centre; host < 6; host += 2)
        out += world.flows_placed_at(host);
    return out;
}

// Opens flows through all of the entries and returns how many the data centre
// got.
std::uint64_t place_everywhere(relay_world& world, std::size_t data_centre,
                               std::size_t entries = 8) {
    const auto before = placed_in(world, data_centre);
    open_flows(world, 5 * entries, entries);
    return placed_in(world, data_centre) - before;
}

std::uint64_t place_through(relay_world& world, std::size_t entry,
                            std::size_t data_centre) {
    const auto before = placed_in(world, data_centre);
    for (int i = 0; i < 20; ++i)
        world.open_flow(entry);
    world.run_for(milliseconds(500));
    return placed_in(world, data_centre) - before;
}

// The entry that reads for the data centre.
std::size_t reader_of(const relay_world& world, std::size_t data_centre) {
    for (std::size_t i = data_centre; i < 8; i += 2)
        if (world.reads_store(i))
            return i;
    return 8;
}

} // namespace

class relay_evacuation_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(relay_evacuation_test);
    CPPUNIT_TEST(nothing_is_sent_without_evacuations);
    CPPUNIT_TEST(all_entries_follow_the_request_and_its_end);
    CPPUNIT_TEST(open_flows_keep_working);
    CPPUNIT_TEST(a_reader_ends_before_it_passes_the_request_on);
    CPPUNIT_TEST(an_entry_that_was_cut_off_catches_up);
    CPPUNIT_TEST(a_data_centre_without_store_learns_from_others);
    CPPUNIT_TEST(a_request_between_two_watches_counts);
    CPPUNIT_TEST(a_restored_store_lifts_nothing);
    CPPUNIT_TEST(a_removal_after_a_restore_counts);
    CPPUNIT_TEST(all_entries_restart);
    CPPUNIT_TEST(an_entry_starts_without_the_store);
    CPPUNIT_TEST(an_entry_starts_with_nobody_to_ask);
    CPPUNIT_TEST(a_lost_message_is_repeated);
    CPPUNIT_TEST(a_lagging_new_reader_reads_what_it_lacks);
    CPPUNIT_TEST(a_name_without_hosts_has_no_effect);
    CPPUNIT_TEST(flows_are_refused_when_no_data_centre_is_left);
    CPPUNIT_TEST(more_hosts_elsewhere_are_followed);
    CPPUNIT_TEST(an_entry_of_the_previous_build_disturbs_nobody);
    CPPUNIT_TEST(host_processes_return_what_the_previous_build_places);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against traffic in deployments that have no evacuations.
    void nothing_is_sent_without_evacuations() {
        auto options = two_data_centres();
        options.expects_evacuations = false;
        relay_world world(options);
        world.run_until(startup_time);
        world.kill_entry(reader_of(world, 0));
        world.drain_host(1);
        world.run_for(seconds(10));
        CPPUNIT_ASSERT(!world.sent_messages().contains("operator_intent"));
        relay_world expecting(two_data_centres());
        expecting.run_until(seconds(10));
        CPPUNIT_ASSERT(expecting.sent_messages().contains("operator_intent"));
    }

    void all_entries_follow_the_request_and_its_end() {
        for (const bool expects : {true, false}) {
            auto options = two_data_centres();
            options.expects_evacuations = expects;
            relay_world world(options);
            world.run_until(startup_time);
            CPPUNIT_ASSERT(place_everywhere(world, 0) > 0);
            world.evacuate(0);
            world.run_for(push_time);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, place_everywhere(world, 0));
            world.run_for(seconds(10));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, place_everywhere(world, 0));
            world.take_back(0);
            world.run_for(push_time);
            for (std::size_t i = 0; i < 8; ++i)
                CPPUNIT_ASSERT(!world.evacuations_of(i).is_evacuated(
                    relay_world::data_centre(0)));
            CPPUNIT_ASSERT(place_everywhere(world, 0) > 0);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.resets());
        }
    }

    void open_flows_keep_working() {
        relay_world world(two_data_centres());
        world.run_until(startup_time);
        const auto flows = open_flows(world, 60, 8);
        world.evacuate(0);
        world.run_for(evacuation_limit);
        // Every entry, also those that have to search the owner.
        for (std::size_t i = 0; i < 8; ++i)
            send_all(world, flows, i);
        world.run_for(seconds(1));
        for (const auto it : flows)
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, world.answers(it));
        CPPUNIT_ASSERT_EQUAL(std::string(),
                             join_lines(world.found_violations()));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.resets());
    }

    // Guards against a successor that continues after the position of its
    // directory although the request was never passed on.
    void a_reader_ends_before_it_passes_the_request_on() {
        for (int phase = 0; phase < 500; phase += 100) {
            relay_world world(two_data_centres());
            world.run_until(startup_time + milliseconds(phase));
            const auto reader = reader_of(world, 0);
            world.evacuate(0);
            world.kill_entry(reader);
            world.run_for(evacuation_limit);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, place_everywhere(world, 0));
        }
    }

    // An entry without the store and without peers cannot know the request;
    // once it reaches its peers again, it has to learn it from them.
    void an_entry_that_was_cut_off_catches_up() {
        relay_world world(two_data_centres());
        world.run_until(startup_time);
        const auto entry = reader_of(world, 0) == 0 ? 2 : 0;
        world.disconnect_store(entry);
        world.set_entry_isolated(entry, true);
        world.run_for(milliseconds(200));
        world.evacuate(0);
        world.run_for(evacuation_limit);
        world.set_entry_isolated(entry, false);
        world.run_for(evacuation_limit);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, place_through(world, entry, 0));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, place_everywhere(world, 0));
    }

    // Guards against a data centre whose entries are all rejected by the store:
    // a request does not change the digest of the directory by which they
    // notice that peers elsewhere are ahead.
    void a_data_centre_without_store_learns_from_others() {
        relay_world world(two_data_centres());
        world.run_until(startup_time);
        for (std::size_t i = 0; i < 8; i += 2)
            world.disconnect_store(i);
        world.run_for(seconds(1));
        world.evacuate(0);
        world.run_for(evacuation_limit);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, place_everywhere(world, 0));
        world.take_back(0);
        world.run_for(evacuation_limit);
        for (std::size_t i = 0; i < 8; ++i)
            CPPUNIT_ASSERT(!world.evacuations_of(i).is_evacuated(
                relay_world::data_centre(0)));
        CPPUNIT_ASSERT(place_through(world, 0, 0) > 0);
    }

    // Evacuated, taken back and evacuated again within one watch answer.
    void a_request_between_two_watches_counts() {
        relay_world world(two_data_centres());
        world.run_until(startup_time);
        for (std::size_t i = 0; i < 8; ++i)
            world.delay_changes(i, milliseconds(700));
        world.evacuate(0);
        world.take_back(0);
        world.evacuate(0);
        world.run_for(milliseconds(700) + push_time);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, place_everywhere(world, 0));
        world.take_back(0);
        world.evacuate(0);
        world.take_back(0);
        world.run_for(milliseconds(700) + push_time);
        CPPUNIT_ASSERT(place_everywhere(world, 0) > 0);
    }

    // Guards against flows to a data centre that the operator has evacuated,
    // because the copy is older than the request.
    void a_restored_store_lifts_nothing() {
        relay_world world(two_data_centres());
        world.run_until(startup_time);
        world.back_up_store();
        world.evacuate(0);
        world.run_for(milliseconds(500));
        lose_and_restore(world, 8);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, place_everywhere(world, 0));
        world.write_again();
        world.run_for(seconds(5));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, place_everywhere(world, 0));
        // Entries that start later know the copy only from the store.
        for (std::size_t i = 0; i < 4; ++i) {
            world.kill_entry(i);
            world.run_for(milliseconds(100));
            world.start_entry(i);
            world.run_for(seconds(2));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, place_everywhere(world, 0));
    }

    void a_removal_after_a_restore_counts() {
        relay_world world(two_data_centres());
        world.run_until(startup_time);
        world.back_up_store();
        world.evacuate(0);
        world.run_for(milliseconds(500));
        lose_and_restore(world, 8);
        world.write_again();
        world.evacuate(0);
        world.take_back(0);
        world.run_for(evacuation_limit);
        for (std::size_t i = 0; i < 8; ++i)
            CPPUNIT_ASSERT(!world.evacuations_of(i).is_evacuated(
                relay_world::data_centre(0)));
        CPPUNIT_ASSERT(place_everywhere(world, 0) > 0);
    }

    void all_entries_restart() {
        relay_world world(two_data_centres());
        world.run_until(startup_time);
        world.evacuate(0);
        world.run_for(milliseconds(500));
        for (std::size_t i = 0; i < 8; ++i)
            world.kill_entry(i);
        world.run_for(milliseconds(500));
        const auto before = placed_in(world, 0);
        for (std::size_t i = 0; i < 8; ++i)
            world.start_entry(i);
        // Clients arrive from the first moment on.
        for (int i = 0; i < 400; ++i) {
            world.open_flow(static_cast<std::size_t>(i) % 8);
            world.run_for(milliseconds(2));
        }
        world.run_for(seconds(1));
        CPPUNIT_ASSERT_EQUAL(before, placed_in(world, 0));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, place_everywhere(world, 0));
    }

    // Guards against an entry that places with a peer's directory before it
    // knows the requests.
    void an_entry_starts_without_the_store() {
        relay_world world(two_data_centres());
        world.run_until(startup_time);
        world.evacuate(0);
        world.run_for(milliseconds(500));
        world.kill_entry(2);
        for (std::size_t i = 0; i < 8; ++i)
            world.disconnect_store(i);
        world.run_for(seconds(1));
        const auto before = placed_in(world, 0);
        world.start_entry(2);
        std::vector<std::size_t> flows;
        for (int i = 0; i < 200; ++i) {
            flows.push_back(world.open_flow(2));
            world.run_for(milliseconds(5));
        }
        world.run_for(seconds(1));
        CPPUNIT_ASSERT(world.is_entry_ready(2));
        CPPUNIT_ASSERT_EQUAL(before, placed_in(world, 0));
        CPPUNIT_ASSERT(world.is_open(flows.back()));
    }

    // Guards against an entry that never serves: its peer is of a build that
    // knows no evacuations, and the store rejects it.
    void an_entry_starts_with_nobody_to_ask() {
        auto options = two_data_centres();
        options.entries = 2;
        options.data_centres = 1;
        relay_world world(options);
        world.run_until(startup_time);
        world.disregard_eras(0);
        world.kill_entry(1);
        world.disconnect_store(1);
        world.run_for(milliseconds(500));
        world.start_entry(1);
        world.run_for(seconds(2));
        CPPUNIT_ASSERT(!world.is_entry_ready(1));
        world.run_for(milliseconds(2500));
        CPPUNIT_ASSERT(world.is_entry_ready(1));
        const auto flow = world.open_flow(1);
        world.run_for(milliseconds(500));
        CPPUNIT_ASSERT(world.is_open(flow));
    }

    // Guards against entries that keep placing because the one message that
    // followed the change was lost; most are no successors of the reader, which
    // receive its announcements.
    void a_lost_message_is_repeated() {
        auto options = two_data_centres();
        options.entries = 24;
        relay_world world(options);
        world.run_until(startup_time);
        world.drop_messages("operator_intent", true);
        world.evacuate(0);
        world.run_for(milliseconds(400));
        world.drop_messages("operator_intent", false);
        world.run_for(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, place_everywhere(world, 0, 24));
    }

    // Guards against a new reader whose directory is newer than the request,
    // but whose table is not.
    void a_lagging_new_reader_reads_what_it_lacks() {
        relay_world world(two_data_centres());
        world.run_until(startup_time);
        world.drop_messages("operator_intent", true);
        world.evacuate(0);
        world.drain_host(5);
        world.run_for(milliseconds(200));
        for (std::size_t i = 0; i < 8; ++i)
            CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                                 count_draining_hosts(world, i));
        world.kill_entry(reader_of(world, 0));
        world.kill_entry(reader_of(world, 1));
        world.drop_messages("operator_intent", false);
        world.run_for(evacuation_limit);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, place_everywhere(world, 0));
    }

    void a_name_without_hosts_has_no_effect() {
        relay_world world(two_data_centres());
        world.run_until(startup_time);
        world.evacuate(7);
        world.run_for(milliseconds(500));
        CPPUNIT_ASSERT(place_everywhere(world, 0) > 0);
        CPPUNIT_ASSERT(place_everywhere(world, 1) > 0);
        // Each reader reports it once, its followers too.
        CPPUNIT_ASSERT_EQUAL(std::size_t{8},
                             world.count_events("evacuation_without_effect"));
        world.evacuate(0);
        world.run_for(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, place_everywhere(world, 0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{8},
                             world.count_events("evacuation_without_effect"));
    }

    void flows_are_refused_when_no_data_centre_is_left() {
        relay_world world(two_data_centres());
        world.run_until(startup_time);
        const auto open = open_flows(world, 20, 8);
        world.evacuate(0);
        world.evacuate(1);
        world.run_for(push_time);
        const auto before = placed_in(world, 0) + placed_in(world, 1);
        std::vector<std::size_t> flows;
        for (std::size_t i = 0; i < 8; ++i)
            flows.push_back(world.open_flow(i));
        // Before the client sends the next copy.
        world.run_for(milliseconds(20));
        for (const auto it : flows)
            CPPUNIT_ASSERT(world.is_reset(it));
        CPPUNIT_ASSERT_EQUAL(before, placed_in(world, 0) + placed_in(world, 1));
        send_all(world, open, 3);
        world.run_for(milliseconds(500));
        for (const auto it : open)
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, world.answers(it));
        world.take_back(1);
        world.run_for(push_time);
        CPPUNIT_ASSERT(place_everywhere(world, 1) > 0);
    }

    // Guards against a data centre whose entries send all new flows to a few
    // hosts of another one.
    void more_hosts_elsewhere_are_followed() {
        auto options = two_data_centres();
        options.hosts = 60;
        relay_world world(options);
        world.run_until(startup_time);
        world.evacuate(0);
        world.run_for(seconds(2));
        open_flows(world, 300, 1);
        std::size_t used = 0;
        for (std::size_t host = 1; host < 60; host += 2)
            used += world.flows_placed_at(host) > 0 ? 1 : 0;
        CPPUNIT_ASSERT(used >= 25);
    }

    // An entry that knows no evacuations goes on placing; the others do not
    // take its view over.
    void an_entry_of_the_previous_build_disturbs_nobody() {
        relay_world world(two_data_centres());
        world.disregard_eras(0);
        world.run_until(startup_time);
        world.evacuate(0);
        world.run_for(evacuation_limit);
        for (std::size_t i = 1; i < 8; ++i)
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, place_through(world, i, 0));
    }

    // Guards against flows that reach an evacuated data centre, or that open
    // nowhere, through an entry that knows no evacuations.
    void host_processes_return_what_the_previous_build_places() {
        relay_world world(two_data_centres());
        world.disregard_eras(0);
        world.run_until(startup_time);
        world.evacuate(0);
        world.run_for(evacuation_limit);
        const auto sent = placed_in(world, 0);
        const auto delivered = delivered_in(world, 0);
        std::vector<std::size_t> flows;
        for (int i = 0; i < 20; ++i)
            flows.push_back(world.open_flow(0));
        world.run_for(milliseconds(500));
        CPPUNIT_ASSERT(placed_in(world, 0) > sent);
        CPPUNIT_ASSERT_EQUAL(delivered, delivered_in(world, 0));
        for (const auto it : flows)
            CPPUNIT_ASSERT(world.is_open(it));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_evacuation_test);

} // namespace arbutusport::emulator
