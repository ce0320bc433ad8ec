// Sockets on loopback: lost or reordered datagrams of a batch, requests without
// a time-out, and malformed responses of the platform that are accepted.

#include <arbutusport/adapters/clock.hpp>
#include <arbutusport/adapters/control_channel.hpp>
#include <arbutusport/adapters/http_server.hpp>
#include <arbutusport/adapters/log.hpp>
#include <arbutusport/adapters/platform_client.hpp>
#include <arbutusport/adapters/udp_socket.hpp>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <future>

namespace arbutusport::adapters {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t loopback = 0x7f000001;

// An endpoint whose port was free at the time of the call.
endpoint free_endpoint() {
    return udp_socket::bind({loopback, 0}).value().local();
}

std::string error_of(const std::function<result<bytes>()>& body) {
    return handle_failure(
        [&]() -> result<std::string> {
            BOOST_LEAF_CHECK(body());
            return std::string();
        },
        [](const failure& it) { return it.step + " " + it.peer; });
}

bool accepts_head(const std::string& text) {
    return handle_failure(
        [&]() -> result<bool> {
            BOOST_LEAF_CHECK(parse_head(text, "peer"));
            return true;
        },
        [](const failure&) { return false; });
}

// Watches the head at a fake platform that answers with `document`.
std::string watch_once(const http_document& document) {
    const endpoint local = free_endpoint();
    const auto server = http_server::listen(local, [&](const std::string&) {
                            return std::optional(document);
                        }).value();
    std::promise<std::string> seen;
    platform_callbacks hooks;
    hooks.on_head = [&](const config::head& it) {
        seen.set_value(to_string(it.gen));
    };
    hooks.on_error = [&](const failure& it) { seen.set_value(it.reason); };
    hooks.on_instances = [](const auto&) {};
    hooks.on_instances_error = [](const auto&) {};
    platform_client client({.address = local}, hooks);
    client.watch_head({1, 2}, 1s);
    return seen.get_future().get();
}

} // namespace

class adapters_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(adapters_test);
    CPPUNIT_TEST(batches_arrive_whole_and_in_order);
    CPPUNIT_TEST(rejected_datagram_does_not_block_the_batch);
    CPPUNIT_TEST(control_message_is_answered);
    CPPUNIT_TEST(request_without_listener_times_out);
    CPPUNIT_TEST(malformed_heads_are_rejected);
    CPPUNIT_TEST(oversized_response_is_an_error);
    CPPUNIT_TEST(log_values_cannot_forge_fields);
    CPPUNIT_TEST_SUITE_END();

public:
    void batches_arrive_whole_and_in_order() {
        const auto from = udp_socket::bind({loopback, 0}).value();
        const auto to = udp_socket::bind({loopback, 0}).value();
        send_batch out;
        for (std::uint8_t i = 0; !out.full(); ++i)
            out.add(to.local()).assign(100 + i, i);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, from.send(out));
        CPPUNIT_ASSERT(out.empty());
        receive_batch in;
        CPPUNIT_ASSERT_EQUAL(batch_size, to.receive(in, 1s));
        for (std::size_t i = 0; i < in.size(); ++i) {
            CPPUNIT_ASSERT_EQUAL(100 + i, in.data(i).size());
            CPPUNIT_ASSERT_EQUAL(i, std::size_t{in.data(i)[99]});
            CPPUNIT_ASSERT(in.from(i) == from.local());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, to.receive(in, 1ms));
    }

    // The kernel rejects an oversized datagram; the others of its batch must
    // still be sent.
    void rejected_datagram_does_not_block_the_batch() {
        const auto from = udp_socket::bind({loopback, 0}).value();
        const auto to = udp_socket::bind({loopback, 0}).value();
        send_batch out;
        out.add(to.local()).assign(1, 1);
        out.add(to.local()).assign(70'000, 2);
        out.add(to.local()).assign(1, 3);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, from.send(out));
        receive_batch in;
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, to.receive(in, 1s));
        CPPUNIT_ASSERT_EQUAL(3, int{in.data(1)[0]});
    }

    void control_message_is_answered() {
        const endpoint local = free_endpoint();
        const auto server = control_server::listen(local, [](byte_view it) {
                                return bytes(it.rbegin(), it.rend());
                            }).value();
        control_client client;
        // The second request reuses the pooled connection of the first.
        for (int i = 0; i < 2; ++i) {
            std::promise<bytes> reply;
            client.request(local, {1, 2, 3}, [&](const auto& it) {
                reply.set_value(std::get<bytes>(it));
            });
            CPPUNIT_ASSERT((reply.get_future().get() == bytes{3, 2, 1}));
        }
    }

    // A request to a port without a listener must fail after its time-out and
    // not block any longer.
    void request_without_listener_times_out() {
        const endpoint unused_endpoint = free_endpoint();
        const auto start = now();
        const std::string error = error_of(
            [&] { return request_control(unused_endpoint, bytes{2}, 100ms); });
        const auto taken = now() - start;
        CPPUNIT_ASSERT_EQUAL("request_control " + to_string(unused_endpoint),
                             error);
        CPPUNIT_ASSERT(taken >= 100ms && taken < 2s);
        // The pooled client reports the same on its own thread.
        control_client client({.timeout = 100ms});
        std::promise<std::string> step;
        client.request(unused_endpoint, {2}, [&](const auto& it) {
            step.set_value(std::get<failure>(it).step);
        });
        CPPUNIT_ASSERT_EQUAL(std::string("request_control"),
                             step.get_future().get());
    }

    void malformed_heads_are_rejected() {
        const std::string good =
            R"({"epoch":1,"revision":2,"records":[{"key":"a/b","revision":1}]})";
        CPPUNIT_ASSERT(accepts_head(good));
        for (const char* text :
             {"", "[]", "{", R"({"epoch":1})",
              R"({"epoch":-1,"revision":2,"records":[]})",
              R"({"epoch":4294967296,"revision":2,"records":[]})",
              R"({"epoch":1,"revision":"2","records":[]})",
              R"({"epoch":1,"revision":2,"records":{}})",
              R"({"epoch":1,"revision":2,"records":["a/b"]})",
              R"({"epoch":1,"revision":2,"records":[{"key":1}]})"})
            CPPUNIT_ASSERT_MESSAGE(text, !accepts_head(text));
    }

    void oversized_response_is_an_error() {
        CPPUNIT_ASSERT_EQUAL(
            std::string("3.4"),
            watch_once({"", R"({"epoch":3,"revision":4,"records":[]})"}));
        CPPUNIT_ASSERT_EQUAL(
            std::string("response above 1 MB"),
            watch_once({"", std::string(max_response_bytes + 1, ' ')}));
    }

    void log_values_cannot_forge_fields() {
        CPPUNIT_ASSERT_EQUAL(std::string("plain"), quote_value("plain"));
        CPPUNIT_ASSERT_EQUAL(std::string(R"("a b=\" ")"),
                             quote_value("a b=\"\n"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(adapters_test);

} // namespace arbutusport::adapters
