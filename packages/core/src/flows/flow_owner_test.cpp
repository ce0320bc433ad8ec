// Guards a host's decisions one by one: refusals, placement, limits, silent
// peers, competing claims, and connection migration.

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

// The first flow of which `home` is the home.
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

// Host 1 of `hosts`, past its announcements. The others hold nothing.
struct host {
    explicit host(std::uint64_t hosts, flow_options options = {},
                  bool knows_bitmaps = true)
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
        for (std::uint64_t peer = 2; knows_bitmaps && peer <= hosts; ++peer)
            receive(from_peer(peer, message_type::holders, {}, body));
    }

    // Runs the query retries to their end.
    flow_actions time_out() {
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
    CPPUNIT_TEST(refuses_with_a_reason);
    CPPUNIT_TEST(opens_when_every_peer_is_silent);
    CPPUNIT_TEST(waits_for_a_silent_peer_that_may_own_the_flow);
    CPPUNIT_TEST(places_at_the_less_loaded_candidate);
    CPPUNIT_TEST(forwards_to_the_owner_that_answers);
    CPPUNIT_TEST(two_claims_settle_on_one);
    CPPUNIT_TEST(late_placement_is_refused);
    CPPUNIT_TEST(draining_host_opens_no_flow);
    CPPUNIT_TEST(shedding_service_still_opens_flows);
    CPPUNIT_TEST(tables_are_bounded);
    CPPUNIT_TEST(slow_start_ramps_the_weight);
    CPPUNIT_TEST(answers_avoid_a_lost_entry);
    CPPUNIT_TEST(session_moves_to_a_new_flow);
    CPPUNIT_TEST(idle_flows_close);
    CPPUNIT_TEST_SUITE_END();

public:
    void refuses_with_a_reason() {
        host it(3);
        auto packet = forward_of(it.flow);
        packet.service = service_id_of("acervo");
        CPPUNIT_ASSERT(
            has_drop(it.receive(packet), drop_reason::wrong_service));
        // The address moved to another service since the sender's generation.
        packet = forward_of({it.flow.client, other_address});
        CPPUNIT_ASSERT(
            has_drop(it.receive(packet), drop_reason::wrong_service));
        packet = forward_of(it.flow);
        packet.target = process_id(2);
        CPPUNIT_ASSERT(has_drop(it.receive(packet), drop_reason::wrong_target));
        packet = forward_of(it.flow);
        packet.hops = wire::max_hops + 1;
        CPPUNIT_ASSERT(
            has_drop(it.receive(packet), drop_reason::too_many_hops));
        packet = forward_of(it.flow);
        packet.type = message_type::answer;
        CPPUNIT_ASSERT(
            has_drop(it.receive(packet), drop_reason::unexpected_type));
        for (const auto type : {message_type::query, message_type::query_reply,
                                message_type::place, message_type::holders})
            CPPUNIT_ASSERT(has_drop(it.receive(from_peer(2, type, it.flow, {})),
                                    drop_reason::malformed_body));
        flow_owner fresh({.self = process_id(1), .service = service});
        CPPUNIT_ASSERT(has_drop(fresh.on_packet(forward_of(it.flow), start),
                                drop_reason::no_configuration));
    }

    void opens_when_every_peer_is_silent() {
        host it(3);
        CPPUNIT_ASSERT(
            sent(it.receive(forward_of(it.flow)), message_type::query).size() ==
            2);
        const auto actions = it.time_out();
        CPPUNIT_ASSERT(sent(actions, message_type::query).size() == 4);
        CPPUNIT_ASSERT(delivered(actions) == 1 && it.owner->owns(it.flow));
    }

    // Guards against a second owner while the first is paused for longer than
    // all tries of a query, and against a flood of queries meanwhile.
    void waits_for_a_silent_peer_that_may_own_the_flow() {
        bool down = false;
        host it(2, {.is_down = [&](process_id) { return down; }}, false);
        it.receive(forward_of(it.flow));
        std::size_t queries = 0;
        flow_actions last;
        for (int ms = 10; ms <= 2000; ms += 10) {
            last = it.owner->on_tick(start + milliseconds(ms));
            queries += sent(last, message_type::query).size();
        }
        CPPUNIT_ASSERT(!it.owner->owns(it.flow));
        // At 40 ms without growth there would be 50.
        CPPUNIT_ASSERT(queries >= 5 && queries <= 10);
        down = true;
        last = it.owner->on_tick(start + milliseconds(2040));
        CPPUNIT_ASSERT(delivered(last) == 1 && it.owner->owns(it.flow));
        // A claim of the slot since the peer's bitmap may have opened a flow
        // there.
        host other(2);
        flow_key same_slot = other.flow;
        do
            ++same_slot.client.address;
        while (routing::slot_of(same_slot) != routing::slot_of(other.flow));
        other.receive(from_peer(2, message_type::query, same_slot,
                                wire::encode(wire::query_body{9, 0})));
        other.receive(forward_of(other.flow));
        other.time_out();
        CPPUNIT_ASSERT(!other.owner->owns(other.flow));
    }

    void places_at_the_less_loaded_candidate() {
        for (const bool loaded : {false, true}) {
            host it(2);
            const auto queries =
                sent(it.receive(forward_of(it.flow)), message_type::query);
            wire::query_reply_body reply{.claim = claim_of(queries.at(0)),
                                         .permit = 5,
                                         .flows = loaded ? 10U : 0U};
            // Host 1 counts 0 flows too, and is the first rank.
            reply.eligible = true;
            it.owner->set_accepting(loaded);
            const auto actions = it.receive(from_peer(
                2, message_type::query_reply, it.flow, wire::encode(reply)));
            CPPUNIT_ASSERT(sent(actions, message_type::place).size() ==
                           (loaded ? 0 : 1));
            CPPUNIT_ASSERT(it.owner->owns(it.flow) == loaded);
        }
    }

    void forwards_to_the_owner_that_answers() {
        host it(3);
        const auto queries =
            sent(it.receive(forward_of(it.flow)), message_type::query);
        const wire::query_reply_body reply{.claim = claim_of(queries.at(0)),
                                           .status = wire::ownership::owns};
        const auto actions = it.receive(from_peer(
            2, message_type::query_reply, it.flow, wire::encode(reply)));
        CPPUNIT_ASSERT(sent(actions, message_type::relay).at(0).target ==
                       process_id(2));
        CPPUNIT_ASSERT(
            sent(it.receive(forward_of(it.flow)), message_type::relay).size() ==
            1);
        CPPUNIT_ASSERT(!it.owner->owns(it.flow));
    }

    // Guards against two owners when uneven generations name two homes.
    void two_claims_settle_on_one() {
        for (const double score : {0.0, 1e9}) {
            host it(3);
            it.receive(forward_of(it.flow));
            const auto actions =
                it.receive(from_peer(2, message_type::query, it.flow,
                                     wire::encode(wire::query_body{9, score})));
            // The claim of host 2 shows that hosts may have opened flows
            // of the slot, so that the answers of both are needed.
            if (score < 1)
                for (const std::uint64_t peer : {2, 3})
                    it.receive(from_peer(
                        peer, message_type::query_reply, it.flow,
                        wire::encode(wire::query_reply_body{.claim = 1})));
            const bool yields = score > 1;
            CPPUNIT_ASSERT(sent(actions, message_type::relay).size() ==
                           (yields ? 1 : 0));
            it.time_out();
            CPPUNIT_ASSERT(it.owner->owns(it.flow) != yields);
        }
    }

    // Guards against a second owner opened by a late copy of a placement.
    void late_placement_is_refused() {
        host it(3);
        const auto query = from_peer(2, message_type::query, it.flow,
                                     wire::encode(wire::query_body{9, 1e9}));
        const auto reply =
            wire::decode_query_reply(
                sent(it.receive(query), message_type::query_reply).at(0).body)
                .value();
        const auto place =
            from_peer(2, message_type::place, it.flow,
                      wire::encode(wire::place_body{9, reply.permit, false}));
        it.owner->on_packet(place, start + seconds(1));
        CPPUNIT_ASSERT(!it.owner->owns(it.flow));
        // Nor does a late copy of the query revive the refused permit.
        const auto again = it.receive(query);
        it.receive(place);
        CPPUNIT_ASSERT(!it.owner->owns(it.flow));
        const auto permit =
            wire::decode_query_reply(
                sent(again, message_type::query_reply).at(0).body)
                .value()
                .permit;
        it.receive(from_peer(2, message_type::place, it.flow,
                             wire::encode(wire::place_body{9, permit, false})));
        CPPUNIT_ASSERT(it.owner->owns(it.flow));
        it.owner->release(it.flow, start);
        it.receive(query);
        it.receive(place);
        CPPUNIT_ASSERT(!it.owner->owns(it.flow));
    }

    void draining_host_opens_no_flow() {
        host it(3);
        it.owner->set_draining(true);
        it.receive(forward_of(it.flow));
        it.time_out();
        CPPUNIT_ASSERT(!it.owner->owns(it.flow));
        it.owner->set_draining(false);
        it.owner->set_snapshot(make_snapshot(2, 3, 1), start);
        it.receive(forward_of(it.flow));
        it.time_out();
        CPPUNIT_ASSERT(!it.owner->owns(it.flow));
    }

    // The floor: a wrong signal must not empty the service.
    void shedding_service_still_opens_flows() {
        host it(1);
        it.owner->set_accepting(false);
        CPPUNIT_ASSERT(delivered(it.receive(forward_of(it.flow))) == 1);
    }

    void tables_are_bounded() {
        host alone(1, {.max_flows = 2});
        for (std::uint16_t i = 1; i <= 3; ++i) {
            alone.flow.client.port = i;
            const auto actions = alone.receive(forward_of(alone.flow));
            CPPUNIT_ASSERT(has_drop(actions, drop_reason::table_full) ==
                           (i == 3));
        }
        host it(3, {.max_held_packets = 6});
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT(!has_drop(it.receive(forward_of(it.flow)),
                                     drop_reason::held_full));
        CPPUNIT_ASSERT(
            has_drop(it.receive(forward_of(it.flow)), drop_reason::held_full));
        CPPUNIT_ASSERT(delivered(it.time_out()) == 4);
    }

    void slow_start_ramps_the_weight() {
        flow_owner it({.self = process_id(1), .service = service});
        it.set_snapshot(make_snapshot(1, 2), start);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, it.load(start).weight, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.55, it.load(start + seconds(15)).weight,
                                     1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, it.load(start + seconds(60)).weight,
                                     1e-9);
    }

    void answers_avoid_a_lost_entry() {
        bool down = false;
        host it(1, {.entry_is_down = [&](const endpoint& to) {
                    return down && to == entry;
                }});
        it.receive(forward_of(it.flow));
        const auto target = [&](bool avoid) {
            return sent(it.owner->answer(it.flow, {}, avoid, start),
                        message_type::answer)
                .at(0)
                .target;
        };
        CPPUNIT_ASSERT(target(false) == process_id(99));
        CPPUNIT_ASSERT(target(true) == process_id(98));
        down = true;
        CPPUNIT_ASSERT(target(false) == process_id(98));
    }

    void session_moves_to_a_new_flow() {
        host it(2);
        it.receive(forward_of(it.flow));
        it.time_out();
        const flow_key moved{{0xc0000002, 9}, address};
        auto bound = from_peer(2, message_type::relay, moved, {1});
        bound.candidates.clear();
        bound.reply_entry = entry;
        CPPUNIT_ASSERT(delivered(it.receive(bound)) == 1);
        CPPUNIT_ASSERT(!it.owner->owns(moved));
        CPPUNIT_ASSERT(it.owner->migrate(it.flow, moved, start));
        CPPUNIT_ASSERT(it.owner->owns(moved) && !it.owner->owns(it.flow));
        CPPUNIT_ASSERT(!it.owner->migrate(it.flow, moved, start));
        const auto passed =
            it.owner->pass_to(process_id(2), moved, {}, false, start);
        CPPUNIT_ASSERT(
            sent(passed, message_type::relay).at(0).candidates.empty());
        CPPUNIT_ASSERT(!it.owner->owns(moved));
    }

    void idle_flows_close() {
        std::vector<flow_key> closed;
        host it(1, {.idle_timeout = seconds(60),
                    .on_closed = [&](const flow_key& flow) {
                        closed.push_back(flow);
                    }});
        it.receive(forward_of(it.flow));
        it.owner->on_tick(start + seconds(61));
        CPPUNIT_ASSERT(closed.size() == 1 && it.owner->flow_count() == 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(flow_owner_test);

} // namespace arbutusport::flows
