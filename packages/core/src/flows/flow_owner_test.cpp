// Tests the decisions of one host: dropped packets, placement, limits,
// unresponsive peers, competing claims and connection migration.

#include <arbutusport/flows/flow_owner.hpp>
#include <arbutusport/routing/slot_table.hpp>
#include <arbutusport/wire/flow_messages.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace arbutusport::flows {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using wire::message_type;

const endpoint address{0x0b000001, 5683};
const endpoint other_address{0x0b000002, 5683};
const endpoint entry{0x0a000063, 7000};
const service_id service = service_id_of("participa");

// Past the slow start and the first announcements.
const time_point start{seconds(100)};

records::snapshot_ptr make_snapshot(std::uint64_t revision, std::uint64_t hosts,
                                    std::uint64_t draining = 0) {
    auto it = std::make_shared<records::snapshot>();
    it->gen = {1, revision};
    records::service record;
    record.id = service;
    record.address = address;
    for (std::uint32_t i = 1; i <= hosts; ++i)
        record.hosts.push_back({.id = process_id(i),
                                .packets = {i, 7000},
                                .state = i == draining
                                             ? records::host_state::draining
                                             : records::host_state::active});
    it->services.push_back(record);
    it->services.push_back(
        {.id = service_id_of("acervo"), .address = other_address});
    it->entries.push_back({.id = process_id(99), .packets = entry});
    it->entries.push_back({.id = process_id(98), .packets = {7, 7}});
    return it;
}

// The first flow whose highest ranked host is `home`.
flow_key flow_with_home(const records::snapshot& snapshot, process_id home) {
    const routing::slot_table table(snapshot.services[0]);
    flow_key it{{0xc0000001, 1}, address};
    while (
        snapshot.services[0].hosts[table.ranks(routing::slot_of(it))[0]].id !=
        home)
        ++it.client.port;
    return it;
}

wire::packet forward_of(const flow_key& flow) {
    wire::packet it;
    it.type = message_type::forward;
    it.service = service;
    it.sender = process_id(99);
    it.target = process_id(1);
    it.flow = flow;
    it.reply_entry = entry;
    it.body = {42};
    return it;
}

wire::packet from_peer(std::uint64_t peer, message_type type,
                       const flow_key& flow, bytes body) {
    wire::packet it;
    it.type = type;
    it.service = service;
    it.sender = process_id(peer);
    it.target = process_id(1);
    it.flow = flow;
    it.candidates.push_back(
        {process_id(peer), {static_cast<std::uint32_t>(peer), 7000}});
    it.body = std::move(body);
    return it;
}

std::vector<wire::packet> sent(const flow_actions& actions, message_type type) {
    std::vector<wire::packet> out;
    for (const auto& it : actions)
        if (const auto* send = std::get_if<send_packet>(&it))
            if (send->message.type == type)
                out.push_back(send->message);
    return out;
}

std::size_t delivered(const flow_actions& actions) {
    return static_cast<std::size_t>(
        std::ranges::count_if(actions, [](const auto& it) {
            return std::holds_alternative<deliver>(it);
        }));
}

bool has_drop(const flow_actions& actions, drop_reason reason) {
    return std::ranges::any_of(actions, [&](const auto& it) {
        const auto* drop = std::get_if<drop_packet>(&it);
        return drop != nullptr && drop->reason == reason;
    });
}

std::uint64_t claim_of(const wire::packet& query) {
    return wire::decode_query(query.body).value().claim;
}

// Host 1 of `hosts` hosts, after its announcements. The others own no flows.
struct host_fixture {
    explicit host_fixture(std::uint64_t hosts, flow_options options = {},
                          bool has_peer_bitmaps = true)
        : snapshot(make_snapshot(1, hosts)) {
        options.self = process_id(1);
        options.service = service;
        owner = std::make_unique<flow_owner>(options);
        owner->set_snapshot(snapshot, start - seconds(60));
        for (int ms = 0; ms <= 1000; ms += 40)
            owner->on_tick(start - seconds(60) + milliseconds(ms));
        flow = flow_with_home(*snapshot, process_id(1));
        const auto digest = routing::hosts_digest(snapshot->services[0]);
        const auto body = wire::encode(
            wire::holders_body{.gen = {1, 1}, .hosts_digest = digest});
        for (std::uint64_t peer = 2; has_peer_bitmaps && peer <= hosts; ++peer)
            receive(from_peer(peer, message_type::holders, {}, body));
    }

    // Calls on_tick() until all attempts of a query have timed out.
    flow_actions run_query_timeouts() {
        flow_actions out;
        for (int ms = 10; ms <= 400; ms += 10) {
            auto more = owner->on_tick(start + milliseconds(ms));
            std::ranges::move(more, std::back_inserter(out));
        }
        return out;
    }

    flow_actions receive(wire::packet it) {
        return owner->on_packet(std::move(it), start);
    }

    records::snapshot_ptr snapshot;
    std::unique_ptr<flow_owner> owner;
    flow_key flow;
};

} // namespace

class flow_owner_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(flow_owner_test);
    CPPUNIT_TEST(drops_invalid_packets_with_a_reason);
    CPPUNIT_TEST(opens_flow_if_no_peer_answers);
    CPPUNIT_TEST(waits_for_unresponsive_peer_that_may_own_the_flow);
    CPPUNIT_TEST(places_flow_at_the_less_loaded_candidate);
    CPPUNIT_TEST(forwards_packets_to_the_owner_that_answers);
    CPPUNIT_TEST(claim_with_the_greater_score_wins);
    CPPUNIT_TEST(delayed_placement_is_rejected);
    CPPUNIT_TEST(draining_host_opens_no_flow);
    CPPUNIT_TEST(flow_opens_if_no_host_is_eligible);
    CPPUNIT_TEST(limits_of_flows_and_held_packets_are_enforced);
    CPPUNIT_TEST(weight_grows_during_slow_start);
    CPPUNIT_TEST(answers_use_another_entry_if_the_last_is_down);
    CPPUNIT_TEST(migration_moves_ownership_to_the_new_flow);
    CPPUNIT_TEST(idle_flow_is_closed_and_reported);
    CPPUNIT_TEST_SUITE_END();

public:
    void drops_invalid_packets_with_a_reason() {
        host_fixture host(3);
        auto packet = forward_of(host.flow);
        packet.service = service_id_of("acervo");
        CPPUNIT_ASSERT(
            has_drop(host.receive(packet), drop_reason::wrong_service));
        // The address moved to another service since the sender's generation.
        packet = forward_of({host.flow.client, other_address});
        CPPUNIT_ASSERT(
            has_drop(host.receive(packet), drop_reason::wrong_service));
        packet = forward_of(host.flow);
        packet.target = process_id(2);
        CPPUNIT_ASSERT(
            has_drop(host.receive(packet), drop_reason::wrong_target));
        packet = forward_of(host.flow);
        packet.hops = wire::max_hops + 1;
        CPPUNIT_ASSERT(
            has_drop(host.receive(packet), drop_reason::too_many_hops));
        packet = forward_of(host.flow);
        packet.type = message_type::answer;
        CPPUNIT_ASSERT(
            has_drop(host.receive(packet), drop_reason::unexpected_type));
        for (const auto type : {message_type::query, message_type::query_reply,
                                message_type::place, message_type::holders})
            CPPUNIT_ASSERT(
                has_drop(host.receive(from_peer(2, type, host.flow, {})),
                         drop_reason::malformed_body));
        flow_owner fresh({.self = process_id(1), .service = service});
        CPPUNIT_ASSERT(has_drop(fresh.on_packet(forward_of(host.flow), start),
                                drop_reason::no_configuration));
    }

    void opens_flow_if_no_peer_answers() {
        host_fixture host(3);
        CPPUNIT_ASSERT(
            sent(host.receive(forward_of(host.flow)), message_type::query)
                .size() == 2);
        const auto actions = host.run_query_timeouts();
        CPPUNIT_ASSERT(sent(actions, message_type::query).size() == 4);
        CPPUNIT_ASSERT(delivered(actions) == 1 && host.owner->owns(host.flow));
    }

    // Guards against a second owner while the first is suspended for longer
    // than all attempts of a query, and against a flood of queries meanwhile.
    void waits_for_unresponsive_peer_that_may_own_the_flow() {
        bool is_down = false;
        host_fixture host(2, {.is_down = [&](process_id) { return is_down; }},
                          false);
        host.receive(forward_of(host.flow));
        std::size_t queries = 0;
        flow_actions last;
        for (int ms = 10; ms <= 2000; ms += 10) {
            last = host.owner->on_tick(start + milliseconds(ms));
            queries += sent(last, message_type::query).size();
        }
        CPPUNIT_ASSERT(!host.owner->owns(host.flow));
        // Without growing intervals there would be 50, one every 40 ms.
        CPPUNIT_ASSERT(queries >= 5 && queries <= 10);
        is_down = true;
        last = host.owner->on_tick(start + milliseconds(2040));
        CPPUNIT_ASSERT(delivered(last) == 1 && host.owner->owns(host.flow));
        // A claim in the slot after the peer's bitmap may have opened a flow at
        // the peer.
        host_fixture other(2);
        flow_key same_slot = other.flow;
        do
            ++same_slot.client.address;
        while (routing::slot_of(same_slot) != routing::slot_of(other.flow));
        other.receive(from_peer(2, message_type::query, same_slot,
                                wire::encode(wire::query_body{9, 0})));
        other.receive(forward_of(other.flow));
        other.run_query_timeouts();
        CPPUNIT_ASSERT(!other.owner->owns(other.flow));
    }

    void places_flow_at_the_less_loaded_candidate() {
        for (const bool peer_is_loaded : {false, true}) {
            host_fixture host(2);
            const auto queries =
                sent(host.receive(forward_of(host.flow)), message_type::query);
            wire::query_reply_body reply{.claim = claim_of(queries.at(0)),
                                         .permit = 5,
                                         .flows = peer_is_loaded ? 10U : 0U};
            // Host 1 owns 0 flows too and is the first rank.
            reply.eligible = true;
            host.owner->set_accepting(peer_is_loaded);
            const auto actions = host.receive(from_peer(
                2, message_type::query_reply, host.flow, wire::encode(reply)));
            CPPUNIT_ASSERT(sent(actions, message_type::place).size() ==
                           (peer_is_loaded ? 0 : 1));
            CPPUNIT_ASSERT(host.owner->owns(host.flow) == peer_is_loaded);
        }
    }

    void forwards_packets_to_the_owner_that_answers() {
        host_fixture host(3);
        const auto queries =
            sent(host.receive(forward_of(host.flow)), message_type::query);
        const wire::query_reply_body reply{.claim = claim_of(queries.at(0)),
                                           .status = wire::ownership::owns};
        const auto actions = host.receive(from_peer(
            2, message_type::query_reply, host.flow, wire::encode(reply)));
        CPPUNIT_ASSERT(sent(actions, message_type::relay).at(0).target ==
                       process_id(2));
        CPPUNIT_ASSERT(
            sent(host.receive(forward_of(host.flow)), message_type::relay)
                .size() == 1);
        CPPUNIT_ASSERT(!host.owner->owns(host.flow));
    }

    // Guards against two owners when hosts with different generations rank
    // different hosts first.
    void claim_with_the_greater_score_wins() {
        for (const double score : {0.0, 1e9}) {
            host_fixture host(3);
            host.receive(forward_of(host.flow));
            const auto actions = host.receive(
                from_peer(2, message_type::query, host.flow,
                          wire::encode(wire::query_body{9, score})));
            // After the claim of host 2, any ranked host may own flows of the
            // slot, so that the answers of both peers are needed.
            if (score < 1)
                for (const std::uint64_t peer : {2, 3})
                    host.receive(from_peer(
                        peer, message_type::query_reply, host.flow,
                        wire::encode(wire::query_reply_body{.claim = 1})));
            const bool host_yields = score > 1;
            CPPUNIT_ASSERT(sent(actions, message_type::relay).size() ==
                           (host_yields ? 1 : 0));
            host.run_query_timeouts();
            CPPUNIT_ASSERT(host.owner->owns(host.flow) != host_yields);
        }
    }

    // Guards against a second owner that a delayed copy of a placement opens.
    void delayed_placement_is_rejected() {
        host_fixture host(3);
        const auto query = from_peer(2, message_type::query, host.flow,
                                     wire::encode(wire::query_body{9, 1e9}));
        const auto reply =
            wire::decode_query_reply(
                sent(host.receive(query), message_type::query_reply).at(0).body)
                .value();
        const auto place =
            from_peer(2, message_type::place, host.flow,
                      wire::encode(wire::place_body{9, reply.permit, false}));
        host.owner->on_packet(place, start + seconds(1));
        CPPUNIT_ASSERT(!host.owner->owns(host.flow));
        // A delayed copy of the query must not make the revoked permit valid.
        const auto again = host.receive(query);
        host.receive(place);
        CPPUNIT_ASSERT(!host.owner->owns(host.flow));
        const auto permit =
            wire::decode_query_reply(
                sent(again, message_type::query_reply).at(0).body)
                .value()
                .permit;
        host.receive(
            from_peer(2, message_type::place, host.flow,
                      wire::encode(wire::place_body{9, permit, false})));
        CPPUNIT_ASSERT(host.owner->owns(host.flow));
        host.owner->release(host.flow, start);
        host.receive(query);
        host.receive(place);
        CPPUNIT_ASSERT(!host.owner->owns(host.flow));
    }

    void draining_host_opens_no_flow() {
        host_fixture host(3);
        host.owner->set_draining(true);
        host.receive(forward_of(host.flow));
        host.run_query_timeouts();
        CPPUNIT_ASSERT(!host.owner->owns(host.flow));
        host.owner->set_draining(false);
        host.owner->set_snapshot(make_snapshot(2, 3, 1), start);
        host.receive(forward_of(host.flow));
        host.run_query_timeouts();
        CPPUNIT_ASSERT(!host.owner->owns(host.flow));
    }

    // Guards against an outage of the service when wrong load signals make all
    // hosts ineligible.
    void flow_opens_if_no_host_is_eligible() {
        host_fixture host(1);
        host.owner->set_accepting(false);
        CPPUNIT_ASSERT(delivered(host.receive(forward_of(host.flow))) == 1);
    }

    void limits_of_flows_and_held_packets_are_enforced() {
        host_fixture single_host(1, {.max_flows = 2});
        for (std::uint16_t i = 1; i <= 3; ++i) {
            single_host.flow.client.port = i;
            const auto actions =
                single_host.receive(forward_of(single_host.flow));
            CPPUNIT_ASSERT(has_drop(actions, drop_reason::table_full) ==
                           (i == 3));
        }
        host_fixture host(3, {.max_held_packets = 6});
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT(!has_drop(host.receive(forward_of(host.flow)),
                                     drop_reason::held_full));
        CPPUNIT_ASSERT(has_drop(host.receive(forward_of(host.flow)),
                                drop_reason::held_full));
        CPPUNIT_ASSERT(delivered(host.run_query_timeouts()) == 4);
    }

    void weight_grows_during_slow_start() {
        flow_owner owner({.self = process_id(1), .service = service});
        owner.set_snapshot(make_snapshot(1, 2), start);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, owner.load(start).weight, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            0.55, owner.load(start + seconds(15)).weight, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            1.0, owner.load(start + seconds(60)).weight, 1e-9);
    }

    void answers_use_another_entry_if_the_last_is_down() {
        bool is_down = false;
        host_fixture host(1, {.is_entry_down = [&](const endpoint& to) {
                              return is_down && to == entry;
                          }});
        host.receive(forward_of(host.flow));
        const auto target = [&](bool avoid) {
            return sent(host.owner->answer(host.flow, {}, avoid, start),
                        message_type::answer)
                .at(0)
                .target;
        };
        CPPUNIT_ASSERT(target(false) == process_id(99));
        CPPUNIT_ASSERT(target(true) == process_id(98));
        is_down = true;
        CPPUNIT_ASSERT(target(false) == process_id(98));
    }

    void migration_moves_ownership_to_the_new_flow() {
        host_fixture host(2);
        host.receive(forward_of(host.flow));
        host.run_query_timeouts();
        const flow_key moved{{0xc0000002, 9}, address};
        auto bound_packet = from_peer(2, message_type::relay, moved, {1});
        bound_packet.candidates.clear();
        bound_packet.reply_entry = entry;
        CPPUNIT_ASSERT(delivered(host.receive(bound_packet)) == 1);
        CPPUNIT_ASSERT(!host.owner->owns(moved));
        CPPUNIT_ASSERT(host.owner->migrate(host.flow, moved, start));
        CPPUNIT_ASSERT(host.owner->owns(moved) && !host.owner->owns(host.flow));
        CPPUNIT_ASSERT(!host.owner->migrate(host.flow, moved, start));
        const auto passed =
            host.owner->forward_to_host(process_id(2), moved, {}, false, start);
        CPPUNIT_ASSERT(
            sent(passed, message_type::relay).at(0).candidates.empty());
        CPPUNIT_ASSERT(!host.owner->owns(moved));
    }

    void idle_flow_is_closed_and_reported() {
        std::vector<flow_key> closed;
        host_fixture host(1, {.idle_timeout = seconds(60),
                              .on_closed = [&](const flow_key& flow) {
                                  closed.push_back(flow);
                              }});
        host.receive(forward_of(host.flow));
        host.owner->on_tick(start + seconds(61));
        CPPUNIT_ASSERT(closed.size() == 1 && host.owner->flow_count() == 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(flow_owner_test);

} // namespace arbutusport::flows
