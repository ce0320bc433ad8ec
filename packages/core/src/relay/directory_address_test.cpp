// Checks which of several records at one address describes the host there.

#include <arbutusport/relay/directory.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace arbutusport::relay {

namespace {

using std::chrono::seconds;

const time_point start{seconds(100)};
const service_id service(1);

directory_change started(std::uint64_t at, std::uint64_t key,
                         std::uint64_t milliseconds_since_epoch) {
    return {revision(at), host_record{.key = host_key(key),
                                      .service = service,
                                      .started = unix_milliseconds(
                                          milliseconds_since_epoch)}};
}

directory make_directory() {
    directory it;
    it.adopt_listing(
        revision(10),
        {{revision(3), routing_document{.version = 1,
                                        .routes = {{.targets = {{service}}}}}}},
        start);
    return it;
}

} // namespace

class directory_address_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(directory_address_test);
    CPPUNIT_TEST(a_second_record_does_not_revoke_a_drain);
    CPPUNIT_TEST(the_newest_record_of_a_service_supersedes_the_others);
    CPPUNIT_TEST(many_records_at_one_address_cost_little);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against new flows for a draining host whose address stands in a
    // second record, such as a copy of its own from before the drain.
    void a_second_record_does_not_revoke_a_drain() {
        directory it = make_directory();
        directory_change drain = started(11, 1, 500);
        std::get<host_record>(drain.what).draining = true;
        it.apply(drain, start);
        it.apply(started(12, 2, 500), start);
        CPPUNIT_ASSERT(it.host_at(0, {})->record.key == host_key(1));
        CPPUNIT_ASSERT(is_superseded(it, 2));
        // A record without a start is of an earlier build.
        it.apply(started(13, 2, 0), start);
        CPPUNIT_ASSERT(is_superseded(it, 2));
        // The host has started anew, and its record was copied since.
        it.apply(started(14, 3, 600), start);
        it.apply(started(15, 2, 500), start);
        CPPUNIT_ASSERT(it.host_at(0, {})->record.key == host_key(3));
        CPPUNIT_ASSERT(is_superseded(it, 1));
        CPPUNIT_ASSERT(is_superseded(it, 2));
        CPPUNIT_ASSERT(!is_superseded(it, 3));
    }

    // Guards against two shares of new flows for a host whose former record is
    // still in the store.
    void the_newest_record_of_a_service_supersedes_the_others() {
        directory it = make_directory();
        it.apply(started(11, 1, 500), start);
        it.apply(started(12, 2, 600), start);
        CPPUNIT_ASSERT(is_superseded(it, 1));
        CPPUNIT_ASSERT(!is_superseded(it, 2));
        it.apply({revision(13), host_removed{host_key(2)}}, start);
        CPPUNIT_ASSERT(!is_superseded(it, 1));
    }

    // Guards against entries that fall behind because another writer has put
    // many records of one address into the store. Without a quadratic cost this
    // takes a few milliseconds.
    void many_records_at_one_address_cost_little() {
        constexpr std::uint64_t count = 20'000;
        directory it = make_directory();
        std::vector<directory_change> items{
            {revision(3),
             routing_document{.version = 1,
                              .routes = {{.targets = {{service}}}}}}};
        for (std::uint64_t key = 1; key <= count; ++key) {
            directory_change one = started(key + 3, key, 500 + key);
            std::get<host_record>(one.what).draining = key % 2 == 0;
            items.push_back(one);
        }
        const auto before = std::chrono::steady_clock::now();
        it.adopt_listing(revision(count + 10), items, start);
        for (std::uint64_t n = 0; n < count; ++n)
            CPPUNIT_ASSERT(it.host_at(0, {})->record.key == host_key(count));
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - before < seconds(2));
    }

private:
    static bool is_superseded(const directory& it, std::uint64_t key) {
        return it.is_superseded(it.hosts().at(host_key(key)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(directory_address_test);

} // namespace arbutusport::relay
