// Guards against a load client that hides faults: it may repeat a request only
// with its original binding and Request-Tag, and must record each outcome
// correctly. The simulated upstream responds to it directly.

#include <arbutusport/emulator/history_checker.hpp>
#include <arbutusport/emulator/load_client.hpp>
#include <arbutusport/emulator/upstream_server.hpp>
#include <arbutusport/requests/coap_message.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace arbutusport::emulator {

namespace {

using requests::coap_message;

constexpr duration tick = std::chrono::milliseconds(5);
const endpoint peer{0x7f000001, 5000};

coap_message parse(const bytes& data) {
    return requests::parse_message(data).value();
}

coap_message answer_to(const coap_message& request, std::uint8_t code,
                       const bytes& echo) {
    coap_message it = requests::make_response(code, "");
    it.type = requests::coap_type::acknowledgement;
    it.id = request.id;
    it.token = request.token;
    if (!echo.empty())
        it.add(requests::options::echo, echo);
    return it;
}

// A client and an upstream, connected directly in virtual time.
struct connected_pair {
    load_client client{{.name = "c1", .service = "participa"}};
    upstream_server upstream{
        {.service = "participa", .host = "participa-1", .large_text = 5000},
        time_point{}};
    time_point now;
    std::uint32_t responses_to_lose = 0;

    void deliver_to_upstream(const std::vector<bytes>& all) {
        for (const bytes& data : all)
            deliver_to_client(upstream.on_datagram(peer, data, now));
    }

    void deliver_to_client(const std::vector<datagram>& all) {
        for (const datagram& it : all) {
            if (responses_to_lose > 0) {
                --responses_to_lose;
                continue;
            }
            deliver_to_upstream(client.on_datagram(it.data, now));
        }
    }

    void run(duration length) {
        for (const time_point end = now + length; now < end; now += tick) {
            deliver_to_client(upstream.on_tick(now));
            deliver_to_upstream(client.on_tick(now));
        }
    }

    std::size_t violation_count() const {
        history all = client.events();
        all.insert(all.end(), upstream.events().begin(),
                   upstream.events().end());
        return check(all).size();
    }
};

} // namespace

class load_client_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(load_client_test);
    CPPUNIT_TEST(receives_complete_responses_of_every_kind);
    CPPUNIT_TEST(retransmits_after_lost_responses);
    CPPUNIT_TEST(restarts_the_transfer_when_a_text_changes);
    CPPUNIT_TEST(ends_an_observation_that_is_registered_after_stop);
    CPPUNIT_TEST(repeats_request_with_the_received_binding);
    CPPUNIT_TEST(keeps_the_binding_of_a_request_already_sent);
    CPPUNIT_TEST_SUITE_END();

public:
    void receives_complete_responses_of_every_kind() {
        connected_pair it;
        it.deliver_to_upstream(it.client.contribute(it.now));
        it.deliver_to_upstream(it.client.read_text("large", it.now));
        it.deliver_to_upstream(it.client.observe(it.now));
        it.run(std::chrono::seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, it.client.counters().answered);
        CPPUNIT_ASSERT(it.client.counters().notifications >= 3);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.violation_count());
    }

    void retransmits_after_lost_responses() {
        connected_pair it;
        it.responses_to_lose = 2;
        it.deliver_to_upstream(it.client.contribute(it.now));
        it.run(std::chrono::seconds(20));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, it.client.counters().answered);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.violation_count());
    }

    void restarts_the_transfer_when_a_text_changes() {
        connected_pair it;
        auto request = parse(it.client.read_text("large", it.now).at(0));
        it.upstream.on_datagram(peer, requests::serialise(request), it.now);
        it.now += std::chrono::milliseconds(100);
        const auto first = it.upstream.on_tick(it.now);
        const auto second = it.client.on_datagram(first.at(0).data, it.now);
        it.upstream.on_admin(
            {.method = "POST", .body = R"({"change_text":"large"})"}, it.now);
        it.deliver_to_upstream(second);
        it.run(std::chrono::seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             it.client.counters().restarted_transfers);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.violation_count());
    }

    // Notifications after stop() would keep the load tool running forever.
    void ends_an_observation_that_is_registered_after_stop() {
        connected_pair it;
        const auto first = it.client.observe(it.now);
        it.client.stop();
        it.deliver_to_upstream(first);
        it.run(std::chrono::seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.client.open());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.violation_count());
    }

    void repeats_request_with_the_received_binding() {
        load_client client({.name = "c1", .service = "participa"});
        const auto first = parse(client.contribute(time_point{}).at(0));
        const bytes echo{1, 2, 3};
        const auto out =
            client.on_datagram(requests::serialise(answer_to(
                                   first, requests::codes::unauthorized, echo)),
                               time_point{});
        const auto second = parse(out.at(0));
        CPPUNIT_ASSERT(second.find(requests::options::echo)->value == echo);
        CPPUNIT_ASSERT(*second.find(requests::options::request_tag) ==
                       *first.find(requests::options::request_tag));
        CPPUNIT_ASSERT(second.payload == first.payload);
    }

    // A new binding on a request that was already sent would permit a second
    // execution.
    void keeps_the_binding_of_a_request_already_sent() {
        load_client client({.name = "c1", .service = "participa"});
        const auto first = parse(client.contribute(time_point{}).at(0));
        const auto text = parse(client.read_text("small", time_point{}).at(0));
        client.on_datagram(requests::serialise(answer_to(
                               text, requests::codes::unavailable, {9, 9})),
                           time_point{});
        for (auto now = time_point{};
             now < time_point{} + std::chrono::seconds(29); now += tick)
            for (const bytes& data : client.on_tick(now)) {
                const auto it = parse(data);
                if (it.code == requests::codes::post)
                    CPPUNIT_ASSERT(!it.find(requests::options::echo));
            }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_client_test);

} // namespace arbutusport::emulator
