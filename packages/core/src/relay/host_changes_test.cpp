// Checks the log events from which an operator sees which hosts could receive
// new flows: each change of a host's registration is reported once.

#include <arbutusport/relay/host_changes.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace arbutusport::relay {

namespace {

using std::chrono::seconds;

const time_point start{seconds(100)};
const service_id one = service_id_of("participa");
const service_id two = service_id_of("acervo");

directory_change host(std::uint64_t at, std::uint64_t key, service_id service,
                      bool draining = false) {
    return {revision(at), host_record{.key = host_key(key),
                                      .service = service,
                                      .address = {0x0a010001, 8080},
                                      .draining = draining}};
}

struct fixture {
    directory known;
    host_changes changes;

    fixture() {
        routing_document routing;
        routing.routes = {{.targets = {{one, 1}, {two, 1}}}};
        known.adopt_listing(revision(1), {{revision(1), routing}}, start);
        reported_changes();
    }

    std::string apply(const directory_change& it) {
        known.apply(it, start);
        return reported_changes();
    }

    std::string reported_changes() {
        std::string out;
        changes.update(known, [&](const event& it) {
            out += std::string(it.name) + " " + it.reason + ";";
        });
        return out;
    }
};

} // namespace

class host_changes_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(host_changes_test);
    CPPUNIT_TEST(each_change_is_reported_once);
    CPPUNIT_TEST(a_lapse_is_reported_differently_from_a_removal);
    CPPUNIT_TEST(a_record_that_may_be_of_another_writer_is_reported);
    CPPUNIT_TEST_SUITE_END();

public:
    void each_change_is_reported_once() {
        fixture it;
        CPPUNIT_ASSERT_EQUAL(std::string("host_learned registered;"),
                             it.apply(host(2, 1, one)));
        CPPUNIT_ASSERT_EQUAL(std::string(), it.reported_changes());
        CPPUNIT_ASSERT_EQUAL(std::string("host_drains registered_so;"),
                             it.apply(host(3, 1, one, true)));
        CPPUNIT_ASSERT_EQUAL(std::string("host_learned address_reused;"),
                             it.apply(host(4, 2, two)));
        CPPUNIT_ASSERT_EQUAL(
            std::string("host_gone removed;"),
            it.apply({revision(5), host_removed{host_key(1)}}));
    }

    void a_lapse_is_reported_differently_from_a_removal() {
        fixture it;
        it.apply(host(2, 1, one));
        it.known.on_store_lost(start);
        CPPUNIT_ASSERT_EQUAL(
            std::string("host_lapsed store_unwell;"),
            it.apply({revision(3), host_removed{host_key(1)}}));
        CPPUNIT_ASSERT_EQUAL(std::string("host_back registered_again;"),
                             it.apply(host(4, 1, one)));
    }

    void a_record_that_may_be_of_another_writer_is_reported() {
        fixture it;
        CPPUNIT_ASSERT_EQUAL(std::string("host_learned service_without_route;"),
                             it.apply(host(2, 1, service_id_of("smoke-test"))));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(host_changes_test);

} // namespace arbutusport::relay
