// Checks which record's contents an entry states to the process beside a host.
// The process draws conclusions about its host from them.

#include <arbutusport/relay/entry_relay.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace arbutusport::relay {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start{seconds(100)};
const service_id first = service_id_of("participa");
const service_id second = service_id_of("acervo");
const service_id unrouted = service_id_of("smoke-test");
const machine_address machine(0x0a010001);
constexpr std::uint64_t own_start = 1000;
constexpr std::uint64_t foreign_start = 2000;

// An entry that knows one host, of the first service, and routes to both.
struct fixture {
    std::vector<hello> hellos;
    entry_relay entry;

    fixture()
        : entry({.self = machine_address(0x0a010009)},
                {.forward = [](machine_address, routing_mark, byte_view) {},
                 .reset = [](const flow_key&, std::uint32_t) {},
                 .send =
                     [this](machine_address to, const message& it) {
                         const auto* one = std::get_if<hello>(&it);
                         if (one != nullptr && to == machine)
                             hellos.push_back(*one);
                     },
                 .decode = [](byte_view) { return std::nullopt; },
                 .restart_reading = [](const char*) {},
                 .set_reading_enabled = [](bool, revision) {},
                 .read_store = [](std::uint64_t, revision) {},
                 .report = [](const event&) {}}) {
        routing_document routing{.version = 1};
        routing.routes.push_back(
            {{0xc6120001, 443}, {{first, 1}, {second, 1}}});
        entry.on_listing(revision(3),
                         {{revision(2), routing},
                          {revision(3), record(1, first, own_start)}},
                         start);
    }

    static host_record record(std::uint64_t key, service_id service,
                              std::uint64_t started) {
        return {.key = host_key(key),
                .service = service,
                .address = {machine.value(), 8080},
                .slots = 2,
                .started = unix_milliseconds(started)};
    }

    void write(std::uint64_t at, const host_record& it, time_point now) {
        entry.on_changes(revision(at), {{revision(at), it}}, now);
    }

    void process_reports(service_id it, std::uint64_t run, time_point now) {
        entry.on_message(machine,
                         load_report{.run = incarnation(run),
                                     .service = make_service_tag(it)},
                         now);
    }

    // The hellos of the next tick.
    const std::vector<hello>& hellos_at(time_point now) {
        hellos.clear();
        entry.on_tick(now);
        CPPUNIT_ASSERT(!hellos.empty());
        return hellos;
    }
};

void check_states(const std::vector<hello>& hellos, registration registered,
                  std::uint64_t started) {
    for (const hello& it : hellos) {
        CPPUNIT_ASSERT_EQUAL(std::string(to_string(registered)),
                             std::string(to_string(it.registered)));
        CPPUNIT_ASSERT_EQUAL(started, it.host_started.value());
    }
}

} // namespace

class entry_hellos_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(entry_hellos_test);
    CPPUNIT_TEST(a_record_without_route_states_nothing);
    CPPUNIT_TEST(a_record_with_the_tag_of_a_routed_service_states_nothing);
    CPPUNIT_TEST(a_process_without_route_learns_of_its_host);
    CPPUNIT_TEST(a_process_learns_nothing_of_a_host_of_another_service);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against the start of another writer's record in review/8. The
    // record is newer than the host's, and the process may have reported.
    void a_record_without_route_states_nothing() {
        for (const bool has_reported : {false, true}) {
            fixture it;
            if (has_reported)
                it.process_reports(first, 1, start);
            it.write(4, fixture::record(2, unrouted, foreign_start), start);
            check_states(it.hellos_at(start + seconds(1)), registration::ready,
                         own_start);
            it.entry.on_changes(
                revision(5), {{revision(5), host_removed{host_key(1)}}}, start);
            check_states(it.hellos_at(start + seconds(2)), registration::absent,
                         0);
        }
    }

    // Names that share a tag can be searched for.
    void a_record_with_the_tag_of_a_routed_service_states_nothing() {
        fixture it;
        it.process_reports(first, 1, start);
        it.write(
            4, fixture::record(2, service_id(first.value() ^ 1), foreign_start),
            start);
        check_states(it.hellos_at(start + seconds(1)), registration::ready,
                     own_start);
    }

    // The service has lost its routes; its host still has flows.
    void a_process_without_route_learns_of_its_host() {
        fixture it;
        it.entry.on_changes(
            revision(5),
            {{revision(4), host_removed{host_key(1)}},
             {revision(5), fixture::record(2, unrouted, foreign_start)}},
            start);
        it.process_reports(unrouted, 2, start + milliseconds(10));
        check_states(it.hellos_at(start + milliseconds(20)),
                     registration::ready, foreign_start);
    }

    // A host of another service takes over the address; the hello may reach the
    // process of the former one. The new process is told with the next tick.
    void a_process_learns_nothing_of_a_host_of_another_service() {
        fixture it;
        it.process_reports(first, 1, start);
        it.write(4, fixture::record(2, second, foreign_start), start);
        check_states(it.hellos_at(start + seconds(1)), registration::unknown,
                     0);
        it.process_reports(second, 2, start + milliseconds(1010));
        check_states(it.hellos_at(start + milliseconds(1020)),
                     registration::ready, foreign_start);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_hellos_test);

} // namespace arbutusport::relay
