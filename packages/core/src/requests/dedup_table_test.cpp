// Guards against entries that are removed too early, and against two different
// requests that get the same key.

#include <arbutusport/requests/dedup_table.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace arbutusport::requests {

namespace {

coap_message make_request(std::uint16_t id, const char* body) {
    coap_message it;
    it.code = codes::post;
    it.id = id;
    it.token = {1};
    it.payload = to_bytes(body);
    return it;
}

time_point at_second(int n) {
    return time_point(std::chrono::seconds(n));
}

} // namespace

class dedup_table_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(dedup_table_test);
    CPPUNIT_TEST(distinguishes_different_operations);
    CPPUNIT_TEST(keeps_entries_until_they_expire);
    CPPUNIT_TEST(rejects_new_entries_when_full);
    CPPUNIT_TEST_SUITE_END();

public:
    void distinguishes_different_operations() {
        const session_id own_session(1);
        auto first = make_request(1, "a");
        const auto key = make_operation_key(own_session, first);
        CPPUNIT_ASSERT(key !=
                       make_operation_key(own_session, make_request(2, "a")));
        CPPUNIT_ASSERT(key !=
                       make_operation_key(own_session, make_request(1, "b")));
        CPPUNIT_ASSERT(key != make_operation_key(session_id(2), first));
        first.add(options::echo, bytes{1});
        first.add_uint(options::deadline, 100);
        CPPUNIT_ASSERT(key == make_operation_key(own_session, first));
        // A Request-Tag identifies the operation regardless of message id and
        // token.
        first.add(options::request_tag, bytes{7});
        auto again = first;
        again.id = 99;
        again.token = {5};
        CPPUNIT_ASSERT(make_operation_key(own_session, again) ==
                       make_operation_key(own_session, first));
    }

    void keeps_entries_until_they_expire() {
        dedup_table table(4);
        const operation_key key{session_id(1), 1, 1};
        table.add(key, 1, at_second(10));
        table.expire(at_second(20));
        CPPUNIT_ASSERT(table.find(key));
        table.finish(key, operation_state::answered, {});
        table.extend(key, at_second(30));
        table.expire(at_second(20));
        CPPUNIT_ASSERT(table.find(key));
        table.expire(at_second(30));
        CPPUNIT_ASSERT(!table.find(key));
    }

    void rejects_new_entries_when_full() {
        dedup_table table(1);
        CPPUNIT_ASSERT(table.add({session_id(1), 1, 1}, 1, at_second(1)));
        CPPUNIT_ASSERT(!table.add({session_id(1), 2, 1}, 2, at_second(1)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dedup_table_test);

} // namespace arbutusport::requests
