// Checks what a host's relay process concludes from the hellos of entries that
// have different configurations, which packets it takes for its host, and which
// of its announcements entries take for openings.

#include <arbutusport/relay/host_peers.hpp>
#include <arbutusport/relay/host_relay.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace arbutusport::relay {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start{seconds(100)};
const flow_key unknown_flow{{0x64400007, 40001}, {0xc6120001, 443}};
constexpr machine_address current_entry{0x0a010001};
constexpr machine_address outdated_entry{0x0a010002};

// A process that started while its host was running.
class restarted_process {
public:
    void hear(machine_address entry, duration idle_timeout, time_point now) {
        relay_.on_message(entry, hello{.idle_timeout = idle_timeout}, now);
    }

    // Whether the process claims to know that its host does not own the flow.
    bool denies_unknown_flow(time_point now) {
        denied_ = false;
        relay_.on_message(current_entry, flow_query{{unknown_flow}}, now);
        return denied_;
    }

    void tick(time_point now) { relay_.on_tick(now); }

private:
    bool denied_ = false;
    host_relay relay_{{.started = unix_milliseconds(1'000'000)},
                      {.deliver = [](machine_address, byte_view) {},
                       .to_client = [](const flow_key&, byte_view) {},
                       .reset = [](const flow_key&, std::uint32_t) {},
                       .send =
                           [this](machine_address, const message& it) {
                               if (const auto* denial =
                                       std::get_if<flow_denial>(&it))
                                   denied_ = !denial->not_owned.empty();
                           },
                       .report = [](const event&) {}},
                      start};
};

// Whether a process of the service delivers an opening packet with the mark.
bool delivers(service_id service, const routing_mark& mark) {
    bool is_delivered = false;
    bool is_returned = false;
    host_relay relay(
        {.service = service},
        {.deliver = [&](machine_address, byte_view) { is_delivered = true; },
         .to_client = [](const flow_key&, byte_view) {},
         .reset = [](const flow_key&, std::uint32_t) {},
         .send =
             [&](machine_address, const message& it) {
                 is_returned = std::holds_alternative<packet_returned>(it);
             },
         .report = [](const event&) {}},
        start);
    segment opening;
    opening.flow = unknown_flow;
    opening.syn = true;
    opening.mark = mark;
    relay.on_entry(current_entry, opening, start);
    CPPUNIT_ASSERT(is_delivered != is_returned);
    return is_delivered;
}

constexpr machine_address host_machine{0x0a010009};

// A host's process, and what an entry's table knows of it from its messages.
class announcing_process {
public:
    announcing_process() {
        peers_.add_departed({host_machine, {}}, start);
        peers_.on_report(host_machine, {}, start);
        relay_.on_message(current_entry, hello{}, start);
    }

    // An opening packet and the host's answer.
    void open(std::uint16_t port) {
        segment it = packet(port);
        it.syn = true;
        it.mark = make_placement_mark(service_);
        relay_.on_entry(current_entry, it, start);
        answer_opening(port);
    }

    // Also used for a copy of the answer.
    void answer_opening(std::uint16_t port) {
        segment it = packet(port);
        it.syn = true;
        it.ack = true;
        it.sequence = 90'000;
        it.acknowledged = 1;
        relay_.on_host(it, start);
    }

    void search(std::uint16_t port) {
        segment it = packet(port);
        it.mark = {forwarding_mode::search, make_service_tag(service_)};
        relay_.on_entry(current_entry, it, start);
    }

    void send_data(std::uint16_t port) { relay_.on_host(packet(port), start); }

    void query(std::uint16_t port) {
        relay_.on_message(current_entry, flow_query{{packet(port).flow}},
                          start);
    }

    void ask_for_flows() {
        relay_.on_message(current_entry, hello{.wants_flows = true}, start);
    }

    std::uint32_t opened() const {
        return peers_.find(host_machine)->opened.value();
    }

    // Flows named by messages so far.
    std::size_t named = 0;

private:
    static segment packet(std::uint16_t port) {
        segment it;
        it.flow = unknown_flow;
        it.flow.client.port = port;
        return it;
    }

    service_id service_ = service_id_of("participa");
    host_peers peers_;
    host_relay relay_{{.service = service_},
                      {.deliver = [](machine_address, byte_view) {},
                       .to_client = [](const flow_key&, byte_view) {},
                       .reset = [](const flow_key&, std::uint32_t) {},
                       .send =
                           [this](machine_address, const message& it) {
                               if (const auto* flows =
                                       std::get_if<owned_flows>(&it)) {
                                   named += flows->flows.size();
                                   peers_.on_flows(host_machine, *flows, start);
                               }
                           },
                       .report = [](const event&) {}},
                      start};
};

} // namespace

class host_relay_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(host_relay_test);
    CPPUNIT_TEST(an_outdated_entry_does_not_shorten_the_idle_timeout);
    CPPUNIT_TEST(a_shorter_idle_timeout_counts_once_all_entries_have_it);
    CPPUNIT_TEST(only_opening_packets_of_the_own_service_are_delivered);
    CPPUNIT_TEST(only_openings_count_as_opened);
    CPPUNIT_TEST(a_packet_from_a_dead_host_shows_that_it_lives);
    CPPUNIT_TEST(a_late_answer_resets_no_flow_from_a_reused_port);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against the reset of a live flow that was idle for longer than
    // the idle timeout of an older configuration, which one entry still has.
    void an_outdated_entry_does_not_shorten_the_idle_timeout() {
        restarted_process it;
        for (int i = 0; i <= 14; ++i) {
            it.hear(current_entry, seconds(15), start + seconds(i));
            it.hear(outdated_entry, seconds(4), start + seconds(i));
            it.tick(start + seconds(i));
            CPPUNIT_ASSERT(!it.denies_unknown_flow(start + seconds(i)));
        }
        CPPUNIT_ASSERT(it.denies_unknown_flow(start + seconds(15)));
    }

    void a_shorter_idle_timeout_counts_once_all_entries_have_it() {
        restarted_process it;
        it.hear(current_entry, seconds(15), start);
        it.hear(current_entry, seconds(6), start + seconds(1));
        it.hear(outdated_entry, seconds(15), start + seconds(1));
        it.tick(start + seconds(6));
        CPPUNIT_ASSERT(!it.denies_unknown_flow(start + seconds(6)));
        // The outdated entry has ended.
        it.hear(current_entry, seconds(6), start + seconds(7));
        it.tick(start + seconds(7));
        CPPUNIT_ASSERT(it.denies_unknown_flow(start + seconds(7)));
    }

    // Guards against requests that a host of another service runs, because its
    // name has the same 16-bit tag (review/4).
    void only_opening_packets_of_the_own_service_are_delivered() {
        const service_id own = service_id_of("participa");
        const service_id same_tag(own.value() ^ 0x10000U);
        CPPUNIT_ASSERT(make_service_tag(own) == make_service_tag(same_tag));
        CPPUNIT_ASSERT(delivers(own, make_placement_mark(own)));
        CPPUNIT_ASSERT(!delivers(own, make_placement_mark(same_tag)));
        // An entry of an earlier build states the tag alone.
        CPPUNIT_ASSERT(
            delivers(own, {forwarding_mode::place, make_service_tag(own)}));
        CPPUNIT_ASSERT(
            !delivers(own, {forwarding_mode::place, service_tag(0)}));
    }

    // Guards against entries that take each search hit after their restart for
    // a new flow, and avoid the hosts that have the most flows.
    void only_openings_count_as_opened() {
        announcing_process it;
        it.open(1);
        CPPUNIT_ASSERT_EQUAL(1U, it.opened());
        const auto expect_known = [&] {
            CPPUNIT_ASSERT(it.named >= 1);
            CPPUNIT_ASSERT_EQUAL(1U, it.opened());
            it.named = 0;
        };
        it.named = 0;
        it.search(1);
        expect_known();
        it.answer_opening(1);
        expect_known();
        it.query(1);
        expect_known();
        it.ask_for_flows();
        expect_known();
        // A flow that was open before the process started.
        it.send_data(2);
        expect_known();
        it.open(3);
        CPPUNIT_ASSERT_EQUAL(2U, it.opened());
    }

    // Guards against a host that hangs for a moment while it drains: its later
    // packets were passed on, and those of its clients were refused.
    void a_packet_from_a_dead_host_shows_that_it_lives() {
        std::size_t delivered = 0;
        host_relay relay(
            {},
            {.deliver = [&](machine_address, byte_view) { ++delivered; },
             .to_client = [](const flow_key&, byte_view) {},
             .reset = [](const flow_key&, std::uint32_t) {},
             .send = [](machine_address, const message&) {},
             .report = [](const event&) {}},
            start);
        segment data;
        data.flow = unknown_flow;
        data.ack = true;
        data.payload_bytes = 100;
        data.mark = {forwarding_mode::forward, make_service_tag(service_id())};
        relay.on_host_refused(start);
        relay.on_entry(current_entry, data, start);
        for (int i = 0; i <= 10; ++i)
            relay.on_tick(start + i * milliseconds(50));
        CPPUNIT_ASSERT(relay.state() == host_state::dead);
        delivered = 0;
        relay.on_entry(current_entry, data, start + seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, delivered);
        relay.on_host(data, start + seconds(2));
        CPPUNIT_ASSERT(relay.state() == host_state::listener_closed);
        relay.on_entry(current_entry, data, start + seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, delivered);
    }

    // Guards against the reset of a live flow in soak seed 8108. A late copy of
    // an answer made the process learn a flow that had ended. The client's new
    // connection from the port, to another host, has an acknowledgement near
    // the old one by chance, but not its own sequence number.
    void a_late_answer_resets_no_flow_from_a_reused_port() {
        std::size_t resets = 0;
        bool is_delivered = false;
        host_relay relay(
            {},
            {.deliver = [&](machine_address,
                            byte_view) { is_delivered = true; },
             .to_client = [](const flow_key&, byte_view) {},
             .reset = [&](const flow_key&, std::uint32_t) { ++resets; },
             .send = [](machine_address, const message&) {},
             .report = [](const event&) {}},
            start);
        segment late;
        late.flow = unknown_flow;
        late.ack = true;
        late.sequence = 500'000;
        late.acknowledged = 1000;
        late.payload_bytes = 100;
        relay.on_host(late, start);
        segment data;
        data.flow = unknown_flow;
        data.ack = true;
        data.sequence = 2'000'000'000;
        data.acknowledged = late.sequence + 1'000'000;
        data.payload_bytes = 100;
        data.mark = {forwarding_mode::forward, make_service_tag(service_id())};
        relay.on_entry(current_entry, data, start + seconds(7));
        // The host returns a packet of a flow that it does not have.
        data.returned = true;
        if (is_delivered)
            relay.on_host(data, start + seconds(7));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, resets);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(host_relay_test);

} // namespace arbutusport::relay
