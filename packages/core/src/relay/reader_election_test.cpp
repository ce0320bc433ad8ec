// Guards against readers that change without a failure, which costs calls to
// the store, and against data centres that nobody reads for.

#include <arbutusport/relay/reader_election.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace arbutusport::relay {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using standing = reader_election::standing;

const time_point start{seconds(100)};
const machine_address self(0x0a010001);
constexpr standing first{0, 12};
constexpr standing last{11, 12};

// An entry of lower or higher rank than `self`.
machine_address other(bool higher) {
    machine_address it(0x0a010002);
    while ((reader_election::rank(it) > reader_election::rank(self)) != higher)
        it = machine_address(it.value() + 1);
    return it;
}

reader_announcement announcement(machine_address reader, std::uint64_t count) {
    return {reader, incarnation(1), count};
}

reader_election make(bool elected = false) {
    reader_election it({.self = self});
    CPPUNIT_ASSERT(!it.should_read(false, false, last, start));
    if (elected)
        CPPUNIT_ASSERT(it.should_read(true, false, first, start + seconds(1)));
    return it;
}

} // namespace

class reader_election_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(reader_election_test);
    CPPUNIT_TEST(timeouts_cover_lost_announcements_at_every_size);
    CPPUNIT_TEST(the_first_successor_replaces_a_failed_reader_first);
    CPPUNIT_TEST(a_repeated_announcement_does_not_keep_a_failed_reader);
    CPPUNIT_TEST(the_reader_is_queried_before_it_is_replaced);
    CPPUNIT_TEST(the_reader_of_lower_rank_yields);
    CPPUNIT_TEST(a_rejected_reader_yields_to_any_other);
    CPPUNIT_TEST(an_old_announcement_does_not_undo_a_withdrawal);
    CPPUNIT_TEST(a_restarted_reader_of_a_lower_run_is_accepted);
    CPPUNIT_TEST_SUITE_END();

public:
    // The timeout was shorter than the interval of hellos in fleets of more
    // than 20 entries: 746 changes of the reader in a day without faults
    // (consulta-sul-large, quiet-1).
    void timeouts_cover_lost_announcements_at_every_size() {
        const reader_election_options options{.self = self};
        const reader_election it(options);
        for (std::size_t members = 2; members <= 4096; members *= 2) {
            const auto limit = 2 * options.announce_interval;
            CPPUNIT_ASSERT(it.failure_timeout({0, members}) > limit);
            // Two hellos and their replies in each round at least double the
            // entries that know an announcement.
            int rounds = 0;
            for (std::size_t n = 1; n < members; n *= 2)
                ++rounds;
            CPPUNIT_ASSERT(it.failure_timeout({members - 1, members}) >
                               limit + rounds * options.announce_interval ||
                           members <= options.successors);
        }
    }

    void the_first_successor_replaces_a_failed_reader_first() {
        const auto replaced_after = [](standing own) {
            reader_election it = make();
            it.on_announced(announcement(other(true), 1), true, start);
            for (duration age{};; age += milliseconds(10))
                if (it.should_read(false, false, own, start + age))
                    return age;
        };
        CPPUNIT_ASSERT(replaced_after(first) < milliseconds(1200));
        CPPUNIT_ASSERT(replaced_after({1, 12}) >= milliseconds(1300));
        // A reader is replaced within 2 s although three successors failed.
        CPPUNIT_ASSERT(replaced_after({3, 12}) < seconds(2));
        CPPUNIT_ASSERT(replaced_after(last) > seconds(3));
    }

    void a_repeated_announcement_does_not_keep_a_failed_reader() {
        reader_election it = make();
        const auto reader = other(true);
        it.on_announced(announcement(reader, 7), true, start);
        for (int ms = 0; ms < 1100; ms += 100)
            it.on_announced(announcement(reader, 7), false,
                            start + milliseconds(ms));
        CPPUNIT_ASSERT(
            it.should_read(false, false, first, start + milliseconds(1160)) ||
            it.should_read(false, false, first, start + milliseconds(1170)));
    }

    void the_reader_is_queried_before_it_is_replaced() {
        reader_election it = make();
        const auto reader = other(true);
        it.on_announced(announcement(reader, 1), true, start);
        CPPUNIT_ASSERT(!it.query_due(first, start + milliseconds(500)));
        int queries = 0;
        for (int ms = 500; ms < 1150; ms += 10)
            queries += it.query_due(first, start + milliseconds(ms)) ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(3, queries);
        // An answer counts although it has no higher number.
        it.on_announced(announcement(reader, 1), true,
                        start + milliseconds(1140));
        CPPUNIT_ASSERT(
            !it.should_read(false, false, first, start + milliseconds(2000)));
    }

    void the_reader_of_lower_rank_yields() {
        for (const bool higher : {true, false}) {
            reader_election it = make(true);
            const auto now = start + seconds(2);
            it.on_announced(announcement(other(higher), 1), true, now);
            CPPUNIT_ASSERT_EQUAL(!higher,
                                 it.should_read(true, false, first, now));
        }
    }

    void a_rejected_reader_yields_to_any_other() {
        reader_election it = make(true);
        const auto now = start + seconds(2);
        CPPUNIT_ASSERT(it.should_read(true, true, first, now));
        it.on_announced(announcement(other(false), 1), true, now);
        CPPUNIT_ASSERT(!it.should_read(true, true, first, now));
    }

    void an_old_announcement_does_not_undo_a_withdrawal() {
        reader_election it = make();
        const auto reader = other(true);
        it.on_announced(announcement(reader, 1), true, start);
        it.on_withdrawn(reader, start + milliseconds(100));
        it.on_announced(announcement(reader, 2), false,
                        start + milliseconds(150));
        CPPUNIT_ASSERT(
            it.should_read(false, false, first, start + milliseconds(200)));
        // As long as an entry that missed the withdrawal may pass it on.
        const auto limit = it.failure_timeout(last);
        it.on_announced(announcement(reader, 2), false,
                        start + milliseconds(90) + limit);
        CPPUNIT_ASSERT(!it.reader().has_value());
        it.on_announced(announcement(reader, 3), true,
                        start + milliseconds(95) + limit);
        CPPUNIT_ASSERT(it.reader().has_value());
    }

    // The clock of its machine stepped back before the restart.
    void a_restarted_reader_of_a_lower_run_is_accepted() {
        reader_election it = make();
        const auto reader = other(true);
        it.on_announced({reader, incarnation(9), 50}, true, start);
        it.on_announced({reader, incarnation(8), 1}, true,
                        start + milliseconds(900));
        CPPUNIT_ASSERT(
            !it.should_read(false, false, first, start + milliseconds(1500)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(reader_election_test);

} // namespace arbutusport::relay
