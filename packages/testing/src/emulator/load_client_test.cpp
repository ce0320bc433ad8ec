// Guards the load client against hiding faults: it must repeat a request
// only under its own binding and Request-Tag, and report what it was told.
// The upstream stand-in answers it directly.

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

// Client and upstream joined back to back in virtual time.
struct direct_pair {
    load_client client{{.name = "c1", .service = "participa"}};
    upstream_server upstream{
        {.service = "participa", .host = "participa-1", .large_text = 5000},
        time_point{}};
    time_point now;
    std::uint32_t lost_answers = 0;

    void to_upstream(const std::vector<bytes>& all) {
        for (const bytes& data : all)
            to_client(upstream.on_datagram(peer, data, now));
    }

    void to_client(const std::vector<datagram>& all) {
        for (const datagram& it : all) {
            if (lost_answers > 0) {
                --lost_answers;
                continue;
            }
            to_upstream(client.on_datagram(it.data, now));
        }
    }

    void run(duration length) {
        for (const time_point end = now + length; now < end; now += tick) {
            to_client(upstream.on_tick(now));
            to_upstream(client.on_tick(now));
        }
    }

    std::size_t violations() const {
        history all = client.events();
        all.insert(all.end(), upstream.events().begin(),
                   upstream.events().end());
        return check(all).size();
    }
};

} // namespace

class load_client_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(load_client_test);
    CPPUNIT_TEST(gets_whole_answers_of_every_kind);
    CPPUNIT_TEST(survives_lost_answers);
    CPPUNIT_TEST(restarts_when_a_text_changes);
    CPPUNIT_TEST(ends_an_observation_that_begins_after_stop);
    CPPUNIT_TEST(repeats_under_the_given_binding);
    CPPUNIT_TEST(keeps_the_binding_of_a_sent_request);
    CPPUNIT_TEST_SUITE_END();

public:
    void gets_whole_answers_of_every_kind() {
        direct_pair it;
        it.to_upstream(it.client.contribute(it.now));
        it.to_upstream(it.client.read_text("large", it.now));
        it.to_upstream(it.client.observe(it.now));
        it.run(std::chrono::seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, it.client.counters().answered);
        CPPUNIT_ASSERT(it.client.counters().notifications >= 3);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.violations());
    }

    void survives_lost_answers() {
        direct_pair it;
        it.lost_answers = 2;
        it.to_upstream(it.client.contribute(it.now));
        it.run(std::chrono::seconds(20));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, it.client.counters().answered);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.violations());
    }

    void restarts_when_a_text_changes() {
        direct_pair it;
        auto request = parse(it.client.read_text("large", it.now).at(0));
        it.upstream.on_datagram(peer, requests::serialise(request), it.now);
        it.now += std::chrono::milliseconds(100);
        const auto first = it.upstream.on_tick(it.now);
        const auto second = it.client.on_datagram(first.at(0).data, it.now);
        it.upstream.on_admin(
            {.method = "POST", .body = R"({"change_text":"large"})"}, it.now);
        it.to_upstream(second);
        it.run(std::chrono::seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             it.client.counters().restarted_transfers);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.violations());
    }

    // Its notifications would keep the load tool running without end.
    void ends_an_observation_that_begins_after_stop() {
        direct_pair it;
        const auto first = it.client.observe(it.now);
        it.client.stop();
        it.to_upstream(first);
        it.run(std::chrono::seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.client.open());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it.violations());
    }

    void repeats_under_the_given_binding() {
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

    // A fresh binding on an old request would admit a second run.
    void keeps_the_binding_of_a_sent_request() {
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
