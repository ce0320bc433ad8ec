// Checks which placements count as work until a host's report includes them,
// and the room of cold hosts that do not report to this entry.

#include <arbutusport/relay/host_peers.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace arbutusport::relay {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr machine_address host{7};
constexpr time_point start{seconds(10)};
const service_id service = service_id_of("acervo");
constexpr machine_address near_host{8};
constexpr machine_address remote_host{9};
constexpr double rate = 10;
// Interval at which a process elsewhere would report, and what a cold host
// bears in it.
constexpr duration remote_interval = milliseconds(800);
constexpr std::uint32_t remote_room = 8;

host_record cold_record(std::uint64_t key, machine_address machine,
                        std::uint64_t data_centre) {
    return {.key = host_key(key),
            .service = service,
            .address = {machine.value(), 8080},
            .data_centre = data_centre_id(data_centre),
            .slots = 2,
            .warmup_left = seconds(20)};
}

// Two cold hosts: the near one has no room left, the remote one is not
// followed.
struct cold_hosts {
    directory known;
    host_peers peers{{.data_centre = data_centre_id(1),
                      .remote_hosts = 0,
                      .limits_cold_hosts = true}};

    cold_hosts() {
        known.adopt_listing(
            revision(5),
            {{revision(2),
              routing_document{
                  .version = 1,
                  .routes = {{.targets = {{service, 1}}}},
                  .warmup_limits = {{service, seconds(20), rate}}}},
             {revision(3), cold_record(1, near_host, 1)},
             {revision(4), cold_record(2, remote_host, 2)}},
            start);
        peers.update_from_directory(known, start);
        peers.on_report(near_host,
                        {.service = make_service_tag(service),
                         .work = host_work{.opening_room = 0}},
                        start);
    }

    std::uint32_t remote_room_at(time_point now) const {
        for (const candidate& it : peers.candidates(known, service, now))
            if (it.machine == remote_host)
                return it.opening_room;
        CPPUNIT_FAIL("the remote host is no candidate");
        return 0;
    }
};

} // namespace

class host_peers_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(host_peers_test);
    CPPUNIT_TEST(a_placement_counts_until_a_report_can_include_it);
    CPPUNIT_TEST(flows_placed_by_other_entries_count);
    CPPUNIT_TEST(a_cold_host_that_is_not_followed_gets_room_again);
    CPPUNIT_TEST(a_return_by_a_process_that_is_not_followed_expires);
    CPPUNIT_TEST(known_flows_do_not_stand_for_placed_ones);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a report that was made between the opening and the first
    // request, after which the host would look idle for a whole interval.
    void a_placement_counts_until_a_report_can_include_it() {
        host_peers peers = followed();
        peers.on_placed(host, start);
        peers.on_placed(host, start + milliseconds(90));
        peers.on_report(host, {}, start + milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(1U, peers.find(host)->placed.value());
        peers.on_report(host, {}, start + milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(0U, peers.find(host)->placed.value());
    }

    // Guards against entries that all choose the host that reported no work.
    void flows_placed_by_other_entries_count() {
        host_peers peers = followed();
        peers.on_placed(host, start);
        for (int i = 0; i < 3; ++i)
            peers.on_flows(host, {.flows = {owned_flow{}}}, start);
        CPPUNIT_ASSERT_EQUAL(0U, peers.find(host)->placed.value());
        CPPUNIT_ASSERT_EQUAL(3U, peers.find(host)->opened.value());
        // A list of all flows names none that has just opened.
        peers.on_flows(host, {.flows = {2, owned_flow{}}}, start);
        CPPUNIT_ASSERT_EQUAL(3U, peers.find(host)->opened.value());
        peers.on_report(host, {}, start + milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(0U, peers.find(host)->opened.value());
    }

    // Guards against a host that takes flows only until its first room is used
    // up, since nobody reports its room.
    void a_cold_host_that_is_not_followed_gets_room_again() {
        cold_hosts it;
        CPPUNIT_ASSERT(!it.peers.find(remote_host)->followed);
        CPPUNIT_ASSERT_EQUAL(remote_room, it.remote_room_at(start));
        for (std::uint32_t i = 0; i < remote_room; ++i)
            it.peers.on_placed(remote_host, start + milliseconds(100));
        const auto before =
            start + milliseconds(100) + remote_interval - duration(1);
        CPPUNIT_ASSERT_EQUAL(0U, it.remote_room_at(before));
        const auto after = before + duration(1);
        CPPUNIT_ASSERT_EQUAL(remote_room, it.remote_room_at(after));
        // Placements of the new interval count alone.
        it.peers.on_placed(remote_host, after);
        CPPUNIT_ASSERT_EQUAL(remote_room - 1, it.remote_room_at(after));
        // A followed process reports; its room does not change by itself.
        CPPUNIT_ASSERT_EQUAL(
            0U, it.peers.candidates(it.known, service, start + seconds(1))[0]
                    .opening_room);
    }

    void a_return_by_a_process_that_is_not_followed_expires() {
        cold_hosts it;
        it.peers.on_returned(remote_host, start);
        CPPUNIT_ASSERT_EQUAL(0U, it.remote_room_at(start));
        const auto later = start + remote_interval;
        CPPUNIT_ASSERT_EQUAL(remote_room, it.remote_room_at(later));
        it.peers.on_placed(remote_host, later);
        CPPUNIT_ASSERT_EQUAL(remote_room - 1, it.remote_room_at(later));
    }

    // Guards against a placement that is taken for open because an older flow
    // was named, twice since it is not new.
    void known_flows_do_not_stand_for_placed_ones() {
        host_peers peers = followed();
        peers.on_placed(host, start);
        peers.on_placed(host, start);
        peers.on_flows(host, {.flows = {2, owned_flow{}}}, start);
        CPPUNIT_ASSERT_EQUAL(2U, peers.find(host)->placed.value());
        peers.on_flows(host, {.flows = {owned_flow{}}}, start);
        CPPUNIT_ASSERT_EQUAL(1U, peers.find(host)->placed.value());
        CPPUNIT_ASSERT_EQUAL(1U, peers.find(host)->opened.value());
    }

private:
    static host_peers followed() {
        host_peers out;
        out.add_departed({host, {}}, start);
        out.on_report(host, {}, start - milliseconds(400));
        return out;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(host_peers_test);

} // namespace arbutusport::relay
