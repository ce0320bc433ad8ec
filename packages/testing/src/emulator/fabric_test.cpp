// Guards against wrong PROXY headers, responses sent from a wrong address and
// traffic through an unreachable entry.

#include <arbutusport/emulator/fabric.hpp>
#include <arbutusport/emulator/proxy_header.hpp>
#include <arbutusport/emulator/udp_socket.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace arbutusport::emulator {

namespace {

constexpr std::uint32_t loopback = 0x7f000001;
constexpr duration receive_timeout = std::chrono::milliseconds(200);

endpoint free_endpoint() {
    return udp_socket({loopback, 0}).address();
}

std::vector<datagram> receive_all(udp_socket& from) {
    std::vector<datagram> datagrams;
    from.receive([&](const endpoint& peer, byte_view data) {
        datagrams.push_back({peer, {data.begin(), data.end()}});
    });
    return datagrams;
}

} // namespace

class fabric_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(fabric_test);
    CPPUNIT_TEST(forwards_datagrams_in_both_directions);
    CPPUNIT_TEST(unreachable_entry_receives_no_datagrams);
    CPPUNIT_TEST_SUITE_END();

public:
    void forwards_datagrams_in_both_directions() {
        udp_socket entry({loopback, 0});
        udp_socket client({loopback, 0});
        const endpoint service = free_endpoint();
        fabric it({{service}, free_endpoint(), {entry.address()}, {}, 1});
        client.send(service, bytes{1, 2, 3});
        it.step(receive_timeout);
        const auto forwarded = receive_all(entry);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forwarded.size());
        const auto addresses = read_proxy_header(forwarded[0].data);
        CPPUNIT_ASSERT(addresses.has_value());
        CPPUNIT_ASSERT(addresses->source == client.address());
        CPPUNIT_ASSERT(addresses->destination == service);

        bytes answer(proxy_header_size);
        write_proxy_header({service, client.address()}, answer.data());
        answer.push_back(9);
        entry.send(forwarded[0].peer, answer);
        it.step(receive_timeout);
        const auto responses = receive_all(client);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, responses.size());
        CPPUNIT_ASSERT(responses[0].peer == service);
        CPPUNIT_ASSERT(responses[0].data == bytes{9});
    }

    void unreachable_entry_receives_no_datagrams() {
        udp_socket entry({loopback, 0});
        udp_socket client({loopback, 0});
        const endpoint service = free_endpoint();
        fabric it({{service}, free_endpoint(), {entry.address()}, {}, 1});
        it.on_admin({"POST",
                     "/admin/fabric",
                     {},
                     {},
                     R"({"cut":[")" + to_string(entry.address()) + R"("]})"});
        client.send(service, bytes{1});
        it.step(receive_timeout);
        CPPUNIT_ASSERT(receive_all(entry).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fabric_test);

} // namespace arbutusport::emulator
