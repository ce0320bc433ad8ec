// Tests the slot table, the routing decisions of an entry and explain().

#include <arbutusport/routing/entry_router.hpp>
#include <arbutusport/routing/explain.hpp>
#include <arbutusport/routing/slot_table.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

namespace arbutusport::routing {

namespace {

using std::chrono::milliseconds;

const endpoint address{0x0b000001, 5683};
const flow_key flow{{0xc0000001, 5000}, address};

records::service make_service(std::uint32_t hosts) {
    records::service it;
    it.id = service_id_of("participa");
    it.address = address;
    for (std::uint32_t i = 1; i <= hosts; ++i)
        it.hosts.push_back({.id = process_id(i), .packets = {i, 7000}});
    return it;
}

records::snapshot_ptr make_snapshot(std::uint64_t revision,
                                    records::service service) {
    auto it = std::make_shared<records::snapshot>();
    it->gen = {1, revision};
    it->services.push_back(std::move(service));
    return it;
}

wire::packet answer_of(process_id host) {
    wire::packet it;
    it.type = wire::message_type::answer;
    it.service = service_id_of("participa");
    it.sender = host;
    it.target = process_id(100);
    it.flow = flow;
    return it;
}

process_id target_of(const entry_action& it) {
    return std::get<send_packet>(it).message.target;
}

drop_reason reason_of(const entry_action& it) {
    return std::get<drop_packet>(it).reason;
}

} // namespace

class routing_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(routing_test);
    CPPUNIT_TEST(ranks_are_distinct_and_follow_weights);
    CPPUNIT_TEST(added_host_moves_homes_only_to_itself);
    CPPUNIT_TEST(slots_rank_two_active_hosts_if_available);
    CPPUNIT_TEST(hint_is_used_until_answers_stop);
    CPPUNIT_TEST(hint_to_removed_or_down_host_is_dropped);
    CPPUNIT_TEST(number_of_hints_is_limited);
    CPPUNIT_TEST(drops_invalid_packets_with_a_reason);
    CPPUNIT_TEST(explanation_matches_the_entry);
    CPPUNIT_TEST_SUITE_END();

public:
    void ranks_are_distinct_and_follow_weights() {
        auto service = make_service(5);
        service.hosts[0].weight = 2;
        const slot_table table(service);
        std::size_t slots_of_heavy_host = 0;
        for (std::uint16_t i = 0; i < slot_count; ++i) {
            const auto ranks = table.ranks(slot_index(i));
            CPPUNIT_ASSERT(std::set(ranks.begin(), ranks.end()).size() == 4);
            slots_of_heavy_host += ranks[0] == 0 ? 1 : 0;
        }
        // Expected are 2 of 6 shares: 1,365 slots, standard deviation 30.
        CPPUNIT_ASSERT(slots_of_heavy_host > 1215 &&
                       slots_of_heavy_host < 1515);
    }

    // Guards against a hash that moves homes between the other hosts. Modulo
    // hashing would move 7 of 8 homes.
    void added_host_moves_homes_only_to_itself() {
        const slot_table before(make_service(7));
        const slot_table after(make_service(8));
        for (std::uint16_t i = 0; i < slot_count; ++i) {
            const auto home = after.ranks(slot_index(i))[0];
            CPPUNIT_ASSERT(home == 7 || home == before.ranks(slot_index(i))[0]);
        }
    }

    // Guards against a slot whose ranked hosts are all draining, so that new
    // flows would have to open at draining hosts.
    void slots_rank_two_active_hosts_if_available() {
        auto service = make_service(7);
        for (std::size_t i = 0; i < 5; ++i)
            service.hosts[i].state = records::host_state::draining;
        const slot_table table(service);
        for (std::uint16_t i = 0; i < slot_count; ++i)
            CPPUNIT_ASSERT(std::ranges::count_if(
                               table.ranks(slot_index(i)),
                               [](auto host) { return host >= 5; }) == 2);
    }

    // Guards against a flow that keeps using a hint whose host does not answer
    // it any more.
    void hint_is_used_until_answers_stop() {
        entry_router router({.self = process_id(100)});
        router.set_snapshot(make_snapshot(1, make_service(6)));
        time_point now{milliseconds(5000)};
        const auto home = target_of(router.on_client(flow, {}, now));
        const process_id owner(home == process_id(1) ? 2 : 1);
        router.on_host(answer_of(owner), now);
        CPPUNIT_ASSERT(target_of(router.on_client(flow, {}, now)) == owner);
        now += milliseconds(1600);
        CPPUNIT_ASSERT(target_of(router.on_client(flow, {}, now)) == owner);
        CPPUNIT_ASSERT(target_of(router.on_client(flow, {}, now)) == home);
        CPPUNIT_ASSERT(router.hints() == 0);
    }

    void hint_to_removed_or_down_host_is_dropped() {
        bool down = false;
        entry_router router(
            {.self = process_id(100), .is_down = [&](process_id it) {
                 return down && it == process_id(1);
             }});
        auto service = make_service(6);
        router.set_snapshot(make_snapshot(1, service));
        router.on_host(answer_of(process_id(1)), {});
        down = true;
        CPPUNIT_ASSERT(target_of(router.on_client(flow, {}, {})) !=
                       process_id(1));
        down = false;
        router.on_host(answer_of(process_id(1)), {});
        // A hint to a host that left the service is dropped.
        service.hosts.erase(service.hosts.begin());
        router.set_snapshot(make_snapshot(2, service));
        CPPUNIT_ASSERT(router.hints() == 0);
        router.set_snapshot(make_snapshot(1, make_service(6)));
        CPPUNIT_ASSERT(target_of(router.on_client(flow, {}, {})) !=
                       process_id(1));
    }

    void number_of_hints_is_limited() {
        entry_router router({.self = process_id(100), .max_hints = 1000});
        router.set_snapshot(make_snapshot(1, make_service(6)));
        for (std::uint16_t i = 1; i <= 5000; ++i) {
            auto answer = answer_of(process_id(1));
            answer.flow.client.port = i;
            router.on_host(answer, {});
            CPPUNIT_ASSERT(router.hints() <= 1000);
        }
        CPPUNIT_ASSERT(router.hints() > 500);
    }

    void drops_invalid_packets_with_a_reason() {
        entry_router router({.self = process_id(100)});
        CPPUNIT_ASSERT(reason_of(router.on_client(flow, {}, {})) ==
                       drop_reason::no_configuration);
        router.set_snapshot(make_snapshot(1, make_service(0)));
        CPPUNIT_ASSERT(reason_of(router.on_client(flow, {}, {})) ==
                       drop_reason::no_host);
        CPPUNIT_ASSERT(
            reason_of(router.on_client({flow.client, {1, 1}}, {}, {})) ==
            drop_reason::unknown_service);
        const bytes large(wire::max_datagram);
        CPPUNIT_ASSERT(reason_of(router.on_client(flow, large, {})) ==
                       drop_reason::oversized);
        auto answer = answer_of(process_id(1));
        answer.target = process_id(101);
        CPPUNIT_ASSERT(reason_of(router.on_host(answer, {})) ==
                       drop_reason::wrong_target);
        answer = answer_of(process_id(1));
        answer.service = service_id_of("acervo");
        CPPUNIT_ASSERT(reason_of(router.on_host(answer, {})) ==
                       drop_reason::unknown_service);
        answer.type = wire::message_type::probe;
        CPPUNIT_ASSERT(reason_of(router.on_host(answer, {})) ==
                       drop_reason::unexpected_type);
    }

    void explanation_matches_the_entry() {
        const auto snapshot = make_snapshot(1, make_service(6));
        entry_router router({.self = process_id(100)});
        router.set_snapshot(snapshot);
        const auto it = explain(*snapshot, flow).value();
        CPPUNIT_ASSERT(it.slot == slot_of(flow) && it.hosts.size() == 4);
        CPPUNIT_ASSERT(it.hosts[0].is_home);
        CPPUNIT_ASSERT(it.hosts[1].is_eligible && !it.hosts[2].is_eligible);
        CPPUNIT_ASSERT(it.hosts[0].score >= it.hosts[1].score);
        CPPUNIT_ASSERT(target_of(router.on_client(flow, {}, {})) ==
                       it.hosts[0].id);
        CPPUNIT_ASSERT(!explain(*snapshot, {flow.client, {1, 1}}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(routing_test);

} // namespace arbutusport::routing
