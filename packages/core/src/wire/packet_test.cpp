// Guards the packet decoder against truncated, altered and forged packets.

#include <arbutusport/wire/packet.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace arbutusport::wire {

namespace {

keyring make_keys(std::uint8_t first_byte) {
    keyring keys;
    keys.add(key_id(1), {first_byte, 2, 3}, true);
    return keys;
}

packet make_packet() {
    packet it;
    it.type = message_type::relay;
    it.hops = 2;
    it.gen = {1, 42};
    it.service = service_id_of("participa");
    it.sender = process_id_of("entry-1");
    it.target = process_id_of("participa-1");
    it.flow = {{0x7f000001, 5000}, {0x7f000002, 5683}};
    it.reply_entry = {0x7f000003, 6000};
    it.candidates.push_back({process_id_of("participa-1"), {1, 2}});
    it.candidates.push_back({process_id_of("participa-2"), {3, 4}});
    it.body = {1, 2, 3};
    return it;
}

bool accepts(byte_view data, const keyring& keys) {
    return handle_failure(
        [&]() -> result<bool> {
            BOOST_LEAF_CHECK(decode_packet(data, keys));
            return true;
        },
        [](const failure&) { return false; });
}

} // namespace

class packet_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(packet_test);
    CPPUNIT_TEST(round_trip_keeps_every_field);
    CPPUNIT_TEST(rejects_every_truncation);
    CPPUNIT_TEST(rejects_a_change_of_any_byte);
    CPPUNIT_TEST(rejects_packet_signed_with_another_key);
    CPPUNIT_TEST_SUITE_END();

public:
    void round_trip_keeps_every_field() {
        const packet sent = make_packet();
        bytes buf;
        encode_packet(sent, make_keys(1), buf);
        const packet it = decode_packet(buf, make_keys(1)).value();
        CPPUNIT_ASSERT(it.type == sent.type);
        CPPUNIT_ASSERT(it.hops == sent.hops);
        CPPUNIT_ASSERT(it.gen == sent.gen);
        CPPUNIT_ASSERT(it.service == sent.service);
        CPPUNIT_ASSERT(it.sender == sent.sender);
        CPPUNIT_ASSERT(it.target == sent.target);
        CPPUNIT_ASSERT(it.flow == sent.flow);
        CPPUNIT_ASSERT(it.reply_entry == sent.reply_entry);
        CPPUNIT_ASSERT(it.candidates == sent.candidates);
        CPPUNIT_ASSERT(it.body == sent.body);
    }

    void rejects_every_truncation() {
        const keyring keys = make_keys(1);
        bytes buf;
        encode_packet(make_packet(), keys, buf);
        for (std::size_t n = 0; n < buf.size(); ++n)
            CPPUNIT_ASSERT(!accepts(byte_view(buf).first(n), keys));
    }

    void rejects_a_change_of_any_byte() {
        const keyring keys = make_keys(1);
        bytes buf;
        encode_packet(make_packet(), keys, buf);
        for (auto& byte : buf) {
            byte ^= 0x20;
            CPPUNIT_ASSERT(!accepts(buf, keys));
            byte ^= 0x20;
        }
    }

    void rejects_packet_signed_with_another_key() {
        bytes buf;
        encode_packet(make_packet(), make_keys(1), buf);
        CPPUNIT_ASSERT(!accepts(buf, make_keys(2)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(packet_test);

} // namespace arbutusport::wire
