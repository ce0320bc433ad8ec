// Checks the copy of the store: it never returns to an older revision, and a
// host whose record vanished in an outage is kept until the grace period ends.

#include <arbutusport/relay/directory.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace arbutusport::relay {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const endpoint address{0xc6120001, 443};
const time_point start{seconds(100)};

host_record host(std::uint64_t key) {
    return {.key = host_key(key), .service = service_id(1)};
}

directory_change routing(std::uint64_t at, std::uint64_t version) {
    return {revision(at),
            routing_document{.version = version,
                             .routes = {{address, {{service_id(1), 1}}}}}};
}

directory_change registered(std::uint64_t at, std::uint64_t key) {
    return {revision(at), host(key)};
}

constexpr store_era second_era{2};

// The change as a store states it that was restored once.
directory_change moved(directory_change it) {
    it.at = revision(it.at.number(), second_era);
    return it;
}

directory_change started(std::uint64_t at, std::uint64_t key,
                         std::uint64_t milliseconds_since_epoch) {
    host_record it = host(key);
    it.started = unix_milliseconds(milliseconds_since_epoch);
    return {revision(at), it};
}

unix_milliseconds started_at(const directory& it, std::uint64_t key) {
    return it.hosts().at(host_key(key)).record.started;
}

directory make_directory() {
    directory it;
    it.adopt_listing(revision(10),
                     {routing(3, 1), registered(4, 1), registered(5, 2)},
                     start);
    return it;
}

} // namespace

class directory_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(directory_test);
    CPPUNIT_TEST(an_older_listing_changes_nothing);
    CPPUNIT_TEST(a_repeated_change_is_ignored);
    CPPUNIT_TEST(an_older_configuration_is_never_restored);
    CPPUNIT_TEST(a_host_missing_in_a_listing_is_removed_at_once);
    CPPUNIT_TEST(a_lapsed_host_stays_until_the_grace_ends);
    CPPUNIT_TEST(a_lapsed_host_that_registers_again_stays);
    CPPUNIT_TEST(a_peers_view_removes_hosts_at_once);
    CPPUNIT_TEST(equal_contents_have_equal_digests);
    CPPUNIT_TEST(a_delta_needs_its_base);
    CPPUNIT_TEST(a_delta_changes_routes);
    CPPUNIT_TEST(a_delta_without_a_new_position_is_adopted);
    CPPUNIT_TEST(a_delta_with_another_result_does_not_hide_a_view);
    CPPUNIT_TEST(a_restored_store_replaces_older_positions);
    CPPUNIT_TEST(a_change_of_another_history_is_not_applied);
    CPPUNIT_TEST(a_peer_without_eras_cannot_undo_a_restore);
    CPPUNIT_TEST(a_delta_of_another_era_is_not_applied);
    CPPUNIT_TEST(versions_order_configurations_across_restores);
    CPPUNIT_TEST(a_newer_configuration_is_taken_from_an_older_view);
    CPPUNIT_TEST(an_earlier_start_in_the_copy_waits_for_heartbeats);
    CPPUNIT_TEST(a_waiting_record_that_the_store_removes_never_counts);
    CPPUNIT_TEST(a_registration_after_the_restore_counts_at_once);
    CPPUNIT_TEST(the_newest_host_at_an_address_outlasts_a_restore);
    CPPUNIT_TEST(followers_keep_hosts_that_a_new_reader_does_not_know);
    CPPUNIT_TEST(newer_warmup_limits_replace_older_ones);
    CPPUNIT_TEST(a_view_keeps_terms_and_limits);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against limits of an older configuration, which a peer may send
    // after a newer one.
    void newer_warmup_limits_replace_older_ones() {
        const service_id a(1);
        const service_id b(2);
        directory it;
        CPPUNIT_ASSERT(!it.knows_warmup_limits());
        CPPUNIT_ASSERT(it.adopt_warmup_limits(5, {{a, seconds(9), 10}}));
        CPPUNIT_ASSERT(!it.adopt_warmup_limits(4, {{a, seconds(9), 90}}));
        // A peer that knows the last valid limit of another service.
        CPPUNIT_ASSERT(it.adopt_warmup_limits(5, {{b, seconds(9), 20}}));
        CPPUNIT_ASSERT_EQUAL(10.0, it.warmup_limit_of(a)->openings_per_second);
        CPPUNIT_ASSERT_EQUAL(20.0, it.warmup_limit_of(b)->openings_per_second);
        CPPUNIT_ASSERT(!it.adopt_warmup_limits(5, {}));
        CPPUNIT_ASSERT(it.adopt_warmup_limits(6, {{b, seconds(9), 20}}));
        CPPUNIT_ASSERT(it.warmup_limit_of(a) == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, it.warmup_limits_version());
    }

    // Guards against limits and terms that vanish because a peer's copy does
    // not carry them, or stay unknown because the peer's copy came first.
    void a_view_keeps_terms_and_limits() {
        const service_id service(1);
        routing_document full{.version = 2,
                              .routes = {{address,
                                          {{service, 1}},
                                          {.target_latency = seconds(1),
                                           .timeout = seconds(2),
                                           .priority = 3}}},
                              .warmup_limits = {{service, seconds(9), 10}}};
        routing_document bare = full;
        bare.routes[0].terms = {};
        bare.warmup_limits.clear();
        directory it;
        it.adopt_view(
            {.as_of = revision(20), .routing_at = revision(8), .routing = bare},
            start);
        CPPUNIT_ASSERT(!it.knows_warmup_limits());
        it.adopt_listing(revision(21), {{revision(8), full}}, start);
        CPPUNIT_ASSERT(it.find_route(address)->terms == full.routes[0].terms);
        CPPUNIT_ASSERT(it.warmup_limit_of(service) != nullptr);
        bare.version = 3;
        it.adopt_view({.as_of = revision(30),
                       .routing_at = revision(29),
                       .routing = bare},
                      start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, it.version());
        CPPUNIT_ASSERT(it.find_route(address)->terms == full.routes[0].terms);
        CPPUNIT_ASSERT(it.warmup_limit_of(service) != nullptr);
    }

    void an_older_listing_changes_nothing() {
        directory it = make_directory();
        CPPUNIT_ASSERT(!it.adopt_listing(revision(9), {}, start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.hosts().size());
    }

    void a_repeated_change_is_ignored() {
        directory it = make_directory();
        it.apply({revision(10), host_removed{host_key(1)}}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.hosts().size());
        it.apply({revision(11), host_removed{host_key(1)}}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.hosts().size());
    }

    void an_older_configuration_is_never_restored() {
        directory it = make_directory();
        it.apply(routing(12, 4), start);
        it.advance(revision(12));
        directory_view older{.as_of = revision(11), .routing_at = revision(3)};
        CPPUNIT_ASSERT(!it.adopt_view(older, start));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, it.version());
        // A newer view with an older configuration should not exist, but must
        // not restore the older configuration either.
        older.as_of = revision(20);
        it.adopt_view(older, start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, it.version());
        CPPUNIT_ASSERT(it.find_route(address) != nullptr);
    }

    void a_host_missing_in_a_listing_is_removed_at_once() {
        directory it = make_directory();
        it.adopt_listing(revision(11), {registered(5, 2)}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.hosts().size());
    }

    void a_lapsed_host_stays_until_the_grace_ends() {
        directory it = make_directory();
        it.on_store_lost(start);
        it.on_store_regained(start + seconds(5));
        it.adopt_listing(revision(11), {}, start + seconds(5));
        it.on_tick(start + seconds(7));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.hosts().size());
        CPPUNIT_ASSERT(it.hosts().begin()->second.lapsed);
        it.on_tick(start + milliseconds(7600));
        CPPUNIT_ASSERT(it.hosts().empty());
    }

    void a_lapsed_host_that_registers_again_stays() {
        directory it = make_directory();
        it.on_store_lost(start);
        it.on_store_regained(start + seconds(5));
        it.adopt_listing(revision(11), {}, start + seconds(5));
        it.apply(registered(12, 1), start + seconds(6));
        it.on_tick(start + seconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.hosts().size());
        CPPUNIT_ASSERT(!it.hosts().begin()->second.lapsed);
    }

    // The peer has already observed the grace period. Otherwise an entry that
    // could not reach the store for long would keep hosts that have ended.
    void a_peers_view_removes_hosts_at_once() {
        directory it = make_directory();
        it.on_store_lost(start);
        directory_view view = it.view();
        view.as_of = revision(20);
        view.hosts.pop_back();
        CPPUNIT_ASSERT(it.adopt_view(view, start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.hosts().size());
    }

    void equal_contents_have_equal_digests() {
        directory left = make_directory();
        directory right = make_directory();
        right.advance(revision(50));
        CPPUNIT_ASSERT_EQUAL(left.digest(), right.digest());
        right.apply(registered(51, 3), start);
        CPPUNIT_ASSERT(left.digest() != right.digest());
    }

    void a_delta_needs_its_base() {
        directory sender = make_directory();
        directory recipient = make_directory();
        directory other = make_directory();
        other.apply(registered(11, 9), start);
        const auto base = sender.digest();
        sender.apply(registered(12, 3), start);
        sender.apply({revision(13), host_removed{host_key(1)}}, start);
        sender.advance(revision(13));
        const directory_delta delta{.as_of = sender.as_of(),
                                    .base_digest = base,
                                    .digest = sender.digest(),
                                    .changed = {{revision(12), host(3)}},
                                    .removed = {host_key(1)}};
        CPPUNIT_ASSERT(recipient.adopt_delta(delta, start));
        CPPUNIT_ASSERT_EQUAL(sender.digest(), recipient.digest());
        CPPUNIT_ASSERT(recipient.as_of() == sender.as_of());
        // A copy, and a directory with other contents.
        CPPUNIT_ASSERT(!recipient.adopt_delta(delta, start));
        CPPUNIT_ASSERT(!other.adopt_delta(delta, start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, other.hosts().size());
    }

    void a_delta_with_another_result_does_not_hide_a_view() {
        directory it = make_directory();
        const auto before = it.as_of();
        it.adopt_delta({.as_of = revision(20),
                        .base_digest = it.digest(),
                        .digest = 1,
                        .removed = {host_key(1)}},
                       start);
        CPPUNIT_ASSERT(it.as_of() == before);
        directory_view view = make_directory().view();
        view.as_of = revision(20);
        CPPUNIT_ASSERT(it.adopt_view(view, start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.hosts().size());
    }

    // A change of routes keeps the terms of those that it does not name, which
    // are not exchanged.
    void a_delta_changes_routes() {
        const endpoint other{0xc6120002, 443};
        const endpoint added{0xc6120003, 443};
        directory it;
        it.adopt_listing(
            revision(10),
            {{revision(3),
              routing_document{.version = 1,
                               .routes = {{.address = address,
                                           .targets = {{service_id(1), 1}},
                                           .terms = {.priority = 3}},
                                          {other, {{service_id(1), 1}}}}}}},
            start);
        directory sender = it;
        sender.apply(
            {revision(11),
             routing_document{.version = 2,
                              .routes = {{address, {{service_id(1), 1}}},
                                         {added, {{service_id(2), 1}}}}}},
            start);
        sender.advance(revision(11));
        const directory_delta delta{
            .as_of = sender.as_of(),
            .base_digest = it.digest(),
            .digest = sender.digest(),
            .routing = routing_delta{.at = revision(11),
                                     .version = 2,
                                     .changed = {{added, {{service_id(2), 1}}}},
                                     .removed = {other}},
            .wants_position = true};
        CPPUNIT_ASSERT(it.adopt_delta(delta, start));
        CPPUNIT_ASSERT(it.as_of() == sender.as_of());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, it.version());
        CPPUNIT_ASSERT(it.find_route(other) == nullptr);
        CPPUNIT_ASSERT(it.find_route(added) != nullptr);
        CPPUNIT_ASSERT(it.find_route(address)->terms.priority == 3);
    }

    // A record that lapsed was removed at the reader, but its followers kept it
    // until the next change of the store.
    void a_delta_without_a_new_position_is_adopted() {
        directory it = make_directory();
        directory sender = it;
        sender.on_store_lost(start);
        sender.adopt_listing(revision(10), {routing(3, 1), registered(4, 1)},
                             start);
        sender.on_store_regained(start);
        const auto base = sender.digest();
        CPPUNIT_ASSERT_EQUAL(it.digest(), base);
        sender.on_tick(start + seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sender.hosts().size());
        CPPUNIT_ASSERT(it.adopt_delta({.as_of = sender.as_of(),
                                       .base_digest = base,
                                       .digest = sender.digest(),
                                       .removed = {host_key(2)}},
                                      start + seconds(3)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.hosts().size());
    }

    // Guards against a listing that is dropped because the restored store gave
    // out its revision before (deploy/days/restored.toml).
    void a_restored_store_replaces_older_positions() {
        directory it = make_directory();
        CPPUNIT_ASSERT(
            it.adopt_listing(revision(6, second_era),
                             {moved(routing(3, 1)), moved(registered(4, 1)),
                              moved(registered(6, 7))},
                             start));
        CPPUNIT_ASSERT(it.as_of() == revision(6, second_era));
        // The host that the copy lacks has some seconds to register again.
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, it.hosts().size());
        CPPUNIT_ASSERT(it.apply(moved(routing(7, 2)), start));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, it.version());
        it.on_tick(start + milliseconds(2600));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.hosts().size());
        // A process that has known only this era has the same digest.
        directory other;
        other.adopt_listing(revision(7, second_era),
                            {moved(registered(4, 1)), moved(registered(6, 7)),
                             moved(routing(7, 2))},
                            start);
        CPPUNIT_ASSERT_EQUAL(other.digest(), it.digest());
    }

    // Guards against a history that is continued from a position of another.
    void a_change_of_another_history_is_not_applied() {
        directory it = make_directory();
        CPPUNIT_ASSERT(!it.apply(
            {revision(11, second_era), host_removed{host_key(1)}}, start));
        it.advance(revision(11, second_era));
        CPPUNIT_ASSERT(it.as_of() == revision(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.hosts().size());
    }

    // Guards against processes of the previous build, which go on with the
    // history before the restore.
    void a_peer_without_eras_cannot_undo_a_restore() {
        directory it = make_directory();
        it.adopt_listing(revision(5, second_era), {moved(registered(4, 1))},
                         start);
        directory_view view = make_directory().view();
        view.as_of = revision(99);
        CPPUNIT_ASSERT(!it.adopt_view(view, start));
        CPPUNIT_ASSERT(!it.adopt_delta({.as_of = revision(99),
                                        .base_digest = it.digest(),
                                        .digest = it.digest()},
                                       start));
        CPPUNIT_ASSERT(it.as_of() == revision(5, second_era));
    }

    void a_delta_of_another_era_is_not_applied() {
        directory it = make_directory();
        CPPUNIT_ASSERT(
            !it.adopt_delta({.as_of = revision(11, second_era),
                             .base_digest = it.digest(),
                             .digest = it.digest(),
                             .changed = {{revision(11, second_era), host(9)}}},
                            start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.hosts().size());
    }

    // Guards against the return of the copy's configuration, and against one
    // that is not adopted because its revision is low.
    void versions_order_configurations_across_restores() {
        directory it = make_directory();
        it.apply(routing(11, 8), start);
        it.advance(revision(11));
        it.adopt_listing(revision(5, second_era), {moved(routing(3, 1))},
                         start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, it.version());
        it.apply(moved(routing(6, 8)), start);
        CPPUNIT_ASSERT(it.routing_at() == revision(6, second_era));
        it.apply(moved(routing(7, 9)), start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, it.version());
    }

    void a_newer_configuration_is_taken_from_an_older_view() {
        directory peer = make_directory();
        peer.apply(routing(11, 8), start);
        directory it;
        it.adopt_listing(revision(5, second_era),
                         {moved(routing(3, 1)), moved(registered(4, 1))},
                         start);
        CPPUNIT_ASSERT(it.adopt_view(peer.view(), start));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, it.version());
        CPPUNIT_ASSERT(it.as_of() == revision(5, second_era));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.hosts().size());
    }

    // Guards against a host that is known by its earlier start again. If the
    // store still says so when all live hosts have written, it counts.
    void an_earlier_start_in_the_copy_waits_for_heartbeats() {
        directory it = make_directory();
        it.apply(started(11, 1, 500), start);
        it.advance(revision(11));
        it.adopt_listing(revision(5, second_era), {moved(started(4, 1, 400))},
                         start);
        it.on_tick(start + seconds(4));
        CPPUNIT_ASSERT(started_at(it, 1) == unix_milliseconds(500));
        it.on_tick(start + seconds(5));
        CPPUNIT_ASSERT(started_at(it, 1) == unix_milliseconds(400));
    }

    // Guards against a departed host that is used some seconds after a restore,
    // although the store has removed its record.
    void a_waiting_record_that_the_store_removes_never_counts() {
        const auto make_waiting = [] {
            directory it;
            it.adopt_listing(revision(11), {routing(3, 1), started(11, 1, 500)},
                             start);
            it.apply({revision(12), host_removed{host_key(1)}}, start);
            it.advance(revision(12));
            it.adopt_listing(revision(5, second_era),
                             {moved(started(4, 1, 400))}, start);
            return it;
        };
        directory by_listing = make_waiting();
        by_listing.adopt_listing(revision(6, second_era), {}, start);
        directory by_view = make_waiting();
        directory_view view = by_listing.view();
        by_view.adopt_view(view, start);
        directory by_delta = make_waiting();
        by_delta.adopt_delta({.as_of = revision(6, second_era),
                              .base_digest = by_delta.digest(),
                              .digest = by_delta.digest(),
                              .removed = {host_key(1)}},
                             start);
        for (directory* it : {&by_listing, &by_view, &by_delta}) {
            it->on_tick(start + seconds(5));
            CPPUNIT_ASSERT(it->hosts().empty());
        }
    }

    // A host may start again while the clock of its machine is behind.
    void a_registration_after_the_restore_counts_at_once() {
        directory it = make_directory();
        it.apply(started(11, 1, 500), start);
        it.advance(revision(11));
        it.adopt_listing(revision(5, second_era), {moved(started(4, 1, 400))},
                         start);
        it.apply(moved(started(6, 1, 450)), start + seconds(1));
        CPPUNIT_ASSERT(started_at(it, 1) == unix_milliseconds(450));
        it.on_tick(start + seconds(5));
        CPPUNIT_ASSERT(started_at(it, 1) == unix_milliseconds(450));
    }

    // Guards against flows for the service that had an address before.
    void the_newest_host_at_an_address_outlasts_a_restore() {
        directory it = make_directory();
        it.apply(started(11, 1, 400), start);
        it.apply(started(12, 2, 500), start);
        it.advance(revision(12));
        it.adopt_listing(revision(11, second_era), {moved(started(11, 1, 400))},
                         start);
        CPPUNIT_ASSERT(
            it.host_at(0, make_service_tag(service_id()))->record.key ==
            host_key(2));
    }

    // Guards against live hosts that vanish from processes that learn only
    // from a peer, when that peer started after the restore.
    void followers_keep_hosts_that_a_new_reader_does_not_know() {
        directory reader;
        reader.adopt_listing(revision(5, second_era),
                             {moved(routing(3, 1)), moved(registered(4, 1))},
                             start);
        directory follower = make_directory();
        CPPUNIT_ASSERT(follower.adopt_view(reader.view(), start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, follower.hosts().size());
        follower.on_tick(start + milliseconds(2600));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, follower.hosts().size());
        CPPUNIT_ASSERT_EQUAL(reader.digest(), follower.digest());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(directory_test);

} // namespace arbutusport::relay
