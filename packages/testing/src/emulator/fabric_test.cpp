// Guards the fabric against wrong PROXY headers, answers from a wrong
// address, and traffic over an entry that is cut off.

#include <arbutusport/emulator/fabric.hpp>
#include <arbutusport/emulator/proxy_header.hpp>
#include <arbutusport/emulator/udp_socket.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace arbutusport::emulator {

namespace {

constexpr std::uint32_t loopback = 0x7f000001;
constexpr duration patience = std::chrono::milliseconds(200);

endpoint free_endpoint() {
    return udp_socket({loopback, 0}).address();
}

std::vector<datagram> take(udp_socket& from) {
    std::vector<datagram> all;
    from.receive([&](const endpoint& peer, byte_view data) {
        all.push_back({peer, {data.begin(), data.end()}});
    });
    return all;
}

} // namespace

class fabric_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(fabric_test);
    CPPUNIT_TEST(carries_both_directions);
    CPPUNIT_TEST(a_cut_entry_gets_nothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void carries_both_directions() {
        udp_socket entry({loopback, 0});
        udp_socket client({loopback, 0});
        const endpoint service = free_endpoint();
        fabric it({{service}, free_endpoint(), {entry.address()}, {}, 1});
        client.send(service, bytes{1, 2, 3});
        it.step(patience);
        const auto got = take(entry);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, got.size());
        const auto addresses = read_proxy_header(got[0].data);
        CPPUNIT_ASSERT(addresses.has_value());
        CPPUNIT_ASSERT(addresses->source == client.address());
        CPPUNIT_ASSERT(addresses->destination == service);

        bytes answer(proxy_header_size);
        write_proxy_header({service, client.address()}, answer.data());
        answer.push_back(9);
        entry.send(got[0].peer, answer);
        it.step(patience);
        const auto answered = take(client);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answered.size());
        CPPUNIT_ASSERT(answered[0].peer == service);
        CPPUNIT_ASSERT(answered[0].data == bytes{9});
    }

    void a_cut_entry_gets_nothing() {
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
        it.step(patience);
        CPPUNIT_ASSERT(take(entry).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fabric_test);

} // namespace arbutusport::emulator
