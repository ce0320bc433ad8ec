// Checks what a host's relay process concludes from the hellos of entries that
// have different configurations, and which packets it takes for its host.

#include <arbutusport/relay/host_relay.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace arbutusport::relay {

namespace {

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

} // namespace

class host_relay_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(host_relay_test);
    CPPUNIT_TEST(an_outdated_entry_does_not_shorten_the_idle_timeout);
    CPPUNIT_TEST(a_shorter_idle_timeout_counts_once_all_entries_have_it);
    CPPUNIT_TEST(only_opening_packets_of_the_own_service_are_delivered);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(host_relay_test);

} // namespace arbutusport::relay
