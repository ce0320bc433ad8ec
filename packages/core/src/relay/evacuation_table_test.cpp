// Guards the order of evacuation requests: an older listing, change or peer
// must not undo a newer one, whatever the order in which they arrive.

#include <arbutusport/relay/evacuation_table.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace arbutusport::relay {

namespace {

constexpr data_centre_id here{1};
constexpr data_centre_id there{2};
constexpr store_era later_era{2};

directory_change request(revision at, data_centre_id data_centre = here) {
    return {at, evacuation_set{data_centre}};
}

directory_change removal(revision at, data_centre_id data_centre = here) {
    return {at, evacuation_removed{data_centre}};
}

// What the process with this table sends to its peers.
operator_intent intent_of(const evacuation_table& it) {
    return {.as_of = it.complete_until(),
            .evacuations = it.list(),
            .ended = it.list_ended()};
}

evacuation_table listed(revision as_of,
                        const std::vector<evacuation>& items = {}) {
    evacuation_table out;
    out.adopt_listing(as_of, items);
    return out;
}

} // namespace

class evacuation_table_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(evacuation_table_test);
    CPPUNIT_TEST(a_listing_sets_and_ends_requests);
    CPPUNIT_TEST(changes_in_one_answer_apply_in_order);
    CPPUNIT_TEST(an_older_view_changes_nothing);
    CPPUNIT_TEST(an_older_peer_does_not_bring_back_an_unknown_request);
    CPPUNIT_TEST(the_position_advances_without_gaps_only);
    CPPUNIT_TEST(a_newer_peer_ends_a_request);
    CPPUNIT_TEST(a_request_survives_a_restore_that_lost_it);
    CPPUNIT_TEST(a_removal_after_a_restore_reaches_followers);
    CPPUNIT_TEST(a_removal_before_a_restore_reaches_those_that_lag);
    CPPUNIT_TEST(a_peer_from_before_the_restore_changes_nothing);
    CPPUNIT_TEST(a_listing_before_the_restore_arrives_late);
    CPPUNIT_TEST(names_without_hosts_are_bounded);
    CPPUNIT_TEST(a_data_centre_with_hosts_is_never_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_listing_sets_and_ends_requests() {
        evacuation_table it;
        CPPUNIT_ASSERT(!it.is_known());
        CPPUNIT_ASSERT(it.adopt_listing(revision(10), {{here, revision(7)}}));
        CPPUNIT_ASSERT(it.is_known() && it.is_evacuated(here));
        CPPUNIT_ASSERT(!it.adopt_listing(revision(11), {{here, revision(7)}}));
        CPPUNIT_ASSERT(it.adopt_listing(revision(12), {}));
        CPPUNIT_ASSERT(!it.is_evacuated(here) && it.was_evacuated(here));
        CPPUNIT_ASSERT(!it.was_evacuated(there));
        CPPUNIT_ASSERT(it.changed_at(here) == revision(12));
    }

    // Guards against a second request in one watch answer that is lost because
    // of the removal before it.
    void changes_in_one_answer_apply_in_order() {
        auto it = listed(revision(10));
        CPPUNIT_ASSERT(it.apply(request(revision(11))));
        CPPUNIT_ASSERT(it.apply(removal(revision(12))));
        CPPUNIT_ASSERT(it.apply(request(revision(13))));
        it.advance(revision(10), revision(13));
        CPPUNIT_ASSERT(it.list() ==
                       std::vector<evacuation>({{here, revision(13)}}));
        // The answer arrives again.
        CPPUNIT_ASSERT(!it.apply(removal(revision(12))));
        CPPUNIT_ASSERT(it.is_evacuated(here));
    }

    void an_older_view_changes_nothing() {
        auto it = listed(revision(10));
        it.apply(request(revision(11)));
        it.advance(revision(10), revision(11));
        CPPUNIT_ASSERT(!it.adopt_listing(revision(9), {}));
        CPPUNIT_ASSERT(!it.adopt_peer({.as_of = revision(10)}));
        CPPUNIT_ASSERT(it.is_evacuated(here));
        CPPUNIT_ASSERT(it.complete_until() == revision(11));
    }

    // Guards against a request that ended before this process started.
    void an_older_peer_does_not_bring_back_an_unknown_request() {
        auto it = listed(revision(20));
        CPPUNIT_ASSERT(!it.adopt_peer(
            {.as_of = revision(15), .evacuations = {{here, revision(14)}}}));
        CPPUNIT_ASSERT(!it.is_evacuated(here));
    }

    // Guards against a table that claims to be complete although the change
    // between two watches is missing.
    void the_position_advances_without_gaps_only() {
        evacuation_table unknown;
        unknown.advance(revision(), revision(10));
        CPPUNIT_ASSERT(!unknown.is_known());
        auto it = listed(revision(10));
        it.advance(revision(11), revision(14));
        CPPUNIT_ASSERT(it.complete_until() == revision(10));
        it.advance(revision(9), revision(14));
        CPPUNIT_ASSERT(it.complete_until() == revision(14));
        it.advance(revision(14), revision(16, later_era));
        CPPUNIT_ASSERT(it.complete_until() == revision(14));
        // A request in the gap is still accepted from a peer.
        auto behind = listed(revision(10));
        behind.advance(revision(12), revision(14));
        CPPUNIT_ASSERT(behind.adopt_peer(
            {.as_of = revision(14), .evacuations = {{here, revision(11)}}}));
    }

    void a_newer_peer_ends_a_request() {
        auto it = listed(revision(10), {{here, revision(5)}});
        CPPUNIT_ASSERT(it.adopt_peer({.as_of = revision(12)}));
        CPPUNIT_ASSERT(!it.is_evacuated(here));
        CPPUNIT_ASSERT(!it.apply(request(revision(11))));
    }

    void a_request_survives_a_restore_that_lost_it() {
        auto it = listed(revision(10), {{here, revision(9)}});
        CPPUNIT_ASSERT(!it.adopt_listing(revision(8, later_era), {}));
        CPPUNIT_ASSERT(it.is_evacuated(here));
        // An entry that started after the restore learns it from a peer, and
        // one that knows it does not lose it to that entry.
        auto started = listed(revision(9, later_era));
        CPPUNIT_ASSERT(!it.adopt_peer(intent_of(started)));
        CPPUNIT_ASSERT(it.is_evacuated(here));
        CPPUNIT_ASSERT(started.adopt_peer(intent_of(it)));
        CPPUNIT_ASSERT(started.is_evacuated(here));
    }

    // Guards against entries that differ for good: one has read the removal,
    // the others learn it from its table only.
    void a_removal_after_a_restore_reaches_followers() {
        auto reader = listed(revision(10), {{here, revision(9)}});
        auto follower = reader;
        for (auto* it : {&reader, &follower})
            it->adopt_listing(revision(8, later_era), {});
        reader.apply(request(revision(9, later_era)));
        reader.apply(removal(revision(10, later_era)));
        reader.advance(revision(8, later_era), revision(10, later_era));
        const auto outdated = intent_of(follower);
        CPPUNIT_ASSERT(follower.adopt_peer(intent_of(reader)));
        CPPUNIT_ASSERT(!follower.is_evacuated(here));
        // Neither one that heard of the removal takes the request back.
        CPPUNIT_ASSERT(!reader.adopt_peer(outdated));
        CPPUNIT_ASSERT(!follower.adopt_peer(outdated));
        evacuation_table started;
        started.adopt_peer(intent_of(follower));
        CPPUNIT_ASSERT(!started.adopt_peer(outdated));
        CPPUNIT_ASSERT(!started.is_evacuated(here));
    }

    // Guards against a removal that one entry missed before the restore: the
    // request would stay in force there and at all entries that hear of it.
    void a_removal_before_a_restore_reaches_those_that_lag() {
        auto behind = listed(revision(10), {{here, revision(9)}});
        auto ahead = behind;
        ahead.apply(removal(revision(11)));
        for (auto* it : {&behind, &ahead})
            it->adopt_listing(revision(8, later_era), {});
        evacuation_table started;
        CPPUNIT_ASSERT(started.adopt_peer(intent_of(behind)));
        CPPUNIT_ASSERT(started.is_evacuated(here));
        const auto outdated = intent_of(behind);
        for (auto* it : {&behind, &started}) {
            CPPUNIT_ASSERT(it->adopt_peer(intent_of(ahead)));
            CPPUNIT_ASSERT(!it->is_evacuated(here));
            CPPUNIT_ASSERT(!it->adopt_peer(outdated));
        }
        evacuation_table last;
        last.adopt_peer(intent_of(started));
        CPPUNIT_ASSERT(!last.adopt_peer(outdated));
        CPPUNIT_ASSERT(!last.is_evacuated(here));
    }

    // Guards against a request that ended before the restore and returns with
    // a peer that has noticed neither.
    void a_peer_from_before_the_restore_changes_nothing() {
        auto it = listed(revision(10));
        it.adopt_listing(revision(8, later_era), {});
        CPPUNIT_ASSERT(!it.adopt_peer(
            {.as_of = revision(9), .evacuations = {{here, revision(7)}}}));
        CPPUNIT_ASSERT(!it.is_evacuated(here));
        CPPUNIT_ASSERT(it.complete_until() == revision(8, later_era));
    }

    // The end of the earlier era is known better from it than from the copy.
    void a_listing_before_the_restore_arrives_late() {
        auto it = listed(revision(10), {{here, revision(9)}});
        it.adopt_listing(revision(8, later_era), {});
        CPPUNIT_ASSERT(it.adopt_listing(revision(12), {}));
        CPPUNIT_ASSERT(!it.is_evacuated(here));
        CPPUNIT_ASSERT(it.complete_until() == revision(8, later_era));
    }

    void names_without_hosts_are_bounded() {
        auto it = listed(revision(1));
        const auto max = evacuation_table::max_without_hosts;
        for (std::uint64_t i = 0; i < 4 * max; ++i)
            it.apply(request(revision(2 + i), data_centre_id(100 + i)));
        CPPUNIT_ASSERT_EQUAL(max, it.list().size());
        CPPUNIT_ASSERT(it.has_refused());
        // Ended requests give way.
        it.apply(removal(revision(1000), data_centre_id(100)));
        CPPUNIT_ASSERT(it.apply(request(revision(1001))));
        CPPUNIT_ASSERT(it.is_evacuated(here));
        it.adopt_listing(revision(1002), {{here, revision(1001)}});
        CPPUNIT_ASSERT(!it.has_refused());
    }

    void a_data_centre_with_hosts_is_never_refused() {
        evacuation_table it([](data_centre_id one) { return one == here; });
        std::vector<evacuation> items;
        for (std::uint64_t i = 0; i < 1000; ++i)
            items.push_back({data_centre_id(100 + i), revision(2 + i)});
        items.push_back({here, revision(1)});
        it.adopt_listing(revision(2000), items);
        CPPUNIT_ASSERT(it.is_evacuated(here));
        CPPUNIT_ASSERT_EQUAL(evacuation_table::max_without_hosts + 1,
                             it.list().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(evacuation_table_test);

} // namespace arbutusport::relay
