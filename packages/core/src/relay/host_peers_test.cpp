// Checks which placements count as work until a host's report includes them.

#include <arbutusport/relay/host_peers.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace arbutusport::relay {

namespace {

using std::chrono::milliseconds;

constexpr machine_address host{7};
constexpr time_point start{std::chrono::seconds(10)};

} // namespace

class host_peers_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(host_peers_test);
    CPPUNIT_TEST(a_placement_counts_until_a_report_can_include_it);
    CPPUNIT_TEST(flows_placed_by_other_entries_count);
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
