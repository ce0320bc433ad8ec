// Checks the number of calls to the store: one listing, then watches; another
// listing only when the history is lost; fewer calls while the store fails.

#include <arbutusport/relay/store_reader.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace arbutusport::relay {

class store_reader_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_reader_test);
    CPPUNIT_TEST(lists_once_and_watches_from_there);
    CPPUNIT_TEST(lists_again_when_history_is_lost);
    CPPUNIT_TEST(an_error_keeps_the_revision);
    CPPUNIT_TEST(backs_off_while_the_store_fails);
    CPPUNIT_TEST_SUITE_END();

    using kind = store_call::kind;

public:
    void lists_once_and_watches_from_there() {
        store_reader it({}, 1);
        CPPUNIT_ASSERT(it.next().what == kind::listing);
        it.on_listing(revision(40));
        CPPUNIT_ASSERT(it.next().what == kind::watch);
        CPPUNIT_ASSERT(it.next().after == revision(40));
        it.on_changes(revision(45));
        CPPUNIT_ASSERT(it.next().after == revision(45));
    }

    void lists_again_when_history_is_lost() {
        store_reader it({}, 1);
        it.on_listing(revision(40));
        it.on_history_lost();
        CPPUNIT_ASSERT(it.next().what == kind::listing);
    }

    void an_error_keeps_the_revision() {
        store_reader it({}, 1);
        it.on_listing(revision(40));
        it.on_error();
        CPPUNIT_ASSERT(it.next().what == kind::watch);
        CPPUNIT_ASSERT(it.next().after == revision(40));
    }

    // Rejected calls also count against the store's rate limit.
    void backs_off_while_the_store_fails() {
        store_reader it({}, 7);
        it.on_listing(revision(40));
        duration waited{};
        int calls = 0;
        while (waited < std::chrono::seconds(9)) {
            it.on_error();
            waited += it.next().pause;
            ++calls;
        }
        CPPUNIT_ASSERT(calls <= 20);
        it.on_changes(revision(41));
        CPPUNIT_ASSERT(it.next().pause == duration{});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_reader_test);

} // namespace arbutusport::relay
