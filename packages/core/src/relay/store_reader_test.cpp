// Checks the number of calls to the store: one listing, then watches; another
// listing only when the history is lost; fewer calls while the store fails.

#include <arbutusport/relay/store_reader.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace arbutusport::relay {

namespace {

const time_point start{std::chrono::seconds(100)};

} // namespace

class store_reader_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_reader_test);
    CPPUNIT_TEST(lists_once_and_watches_from_there);
    CPPUNIT_TEST(lists_again_when_history_is_lost);
    CPPUNIT_TEST(a_listing_of_a_restored_store_sets_the_revision_back);
    CPPUNIT_TEST(an_error_keeps_the_revision);
    CPPUNIT_TEST(backs_off_while_the_store_fails);
    CPPUNIT_TEST(changes_in_quick_succession_share_calls);
    CPPUNIT_TEST(the_first_watch_waits_until_a_reader_is_elected);
    CPPUNIT_TEST_SUITE_END();

    using kind = store_call::kind;

public:
    void lists_once_and_watches_from_there() {
        store_reader it({}, 1);
        CPPUNIT_ASSERT(it.next(start).what == kind::listing);
        it.on_listing(revision(40));
        CPPUNIT_ASSERT(it.next(start).what == kind::watch);
        CPPUNIT_ASSERT(it.next(start).after == revision(40));
        it.on_changes(revision(45));
        CPPUNIT_ASSERT(it.next(start).after == revision(45));
    }

    void lists_again_when_history_is_lost() {
        store_reader it({}, 1);
        it.on_listing(revision(40));
        it.on_history_lost();
        CPPUNIT_ASSERT(it.next(start).what == kind::listing);
    }

    void a_listing_of_a_restored_store_sets_the_revision_back() {
        store_reader it({}, 1);
        it.on_listing(revision(40));
        it.on_history_lost();
        it.on_listing(revision(30, store_era(2)));
        CPPUNIT_ASSERT(it.next(start).after == revision(30, store_era(2)));
        // A peer that has not noticed the restore does not move it.
        it.resume(revision(45));
        CPPUNIT_ASSERT(it.next(start).after == revision(30, store_era(2)));
    }

    void an_error_keeps_the_revision() {
        store_reader it({}, 1);
        it.on_listing(revision(40));
        it.on_error();
        CPPUNIT_ASSERT(it.next(start).what == kind::watch);
        CPPUNIT_ASSERT(it.next(start).after == revision(40));
    }

    // Rejected calls also count against the store's rate limit.
    void backs_off_while_the_store_fails() {
        store_reader it({}, 7);
        it.on_listing(revision(40));
        duration waited{};
        int calls = 0;
        while (waited < std::chrono::seconds(9)) {
            it.on_error();
            waited += it.next(start + waited).pause;
            ++calls;
        }
        CPPUNIT_ASSERT(calls <= 20);
        it.on_changes(revision(41));
        CPPUNIT_ASSERT(it.next(start + std::chrono::seconds(20)).pause ==
                       duration{});
    }

    // While hosts were replaced one after the other, each reader made five
    // calls a second (consulta-sul-large, quiet-1).
    void changes_in_quick_succession_share_calls() {
        store_reader it({}, 7);
        it.on_listing(revision(40));
        time_point now = start;
        int calls = 0;
        for (; now < start + std::chrono::seconds(30); ++calls) {
            now += it.next(now).pause + std::chrono::milliseconds(100);
            it.on_changes(revision(41));
        }
        // The burst, and one call in 0.7 s.
        CPPUNIT_ASSERT(calls <= 5 + 30 * 10 / 7 + 1);
        // After a calm time a change is read at once.
        CPPUNIT_ASSERT(it.next(now + std::chrono::seconds(4)).pause ==
                       duration{});
    }

    void the_first_watch_waits_until_a_reader_is_elected() {
        store_reader it({}, 7);
        it.on_listing(revision(40));
        CPPUNIT_ASSERT(it.next(start).pause >= std::chrono::milliseconds(150));
        it.on_changes(revision(41));
        CPPUNIT_ASSERT(it.next(start).pause == duration{});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_reader_test);

} // namespace arbutusport::relay
