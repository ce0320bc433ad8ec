// Guards against fields that the codec loses and against malformed datagrams
// that it accepts or that crash it.

#include <arbutusport/requests/coap_message.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace arbutusport::requests {

namespace {

bool can_parse(byte_view data) {
    return handle_failure(
        [&]() -> result<bool> {
            BOOST_LEAF_CHECK(parse_message(data));
            return true;
        },
        [](const failure&) { return false; });
}

coap_message make_message() {
    coap_message message;
    message.code = codes::post;
    message.id = 0xabcd;
    message.token = {1, 2, 3, 4, 5, 6, 7, 8};
    message.add_uint(options::deadline, 1500);
    message.add(options::uri_path, to_bytes("contributions"));
    message.add(options::uri_path, to_bytes("42"));
    message.add(options::echo, bytes(40, 7));
    message.add(options::request_tag, bytes{9});
    message.payload = to_bytes("text");
    return message;
}

} // namespace

class coap_message_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(coap_message_test);
    CPPUNIT_TEST(serialises_and_parses_every_field);
    CPPUNIT_TEST(serialises_and_parses_arbitrary_messages);
    CPPUNIT_TEST(rejects_malformed_datagrams);
    CPPUNIT_TEST(parses_arbitrary_datagrams_without_crash);
    CPPUNIT_TEST(encodes_and_decodes_block_values);
    CPPUNIT_TEST_SUITE_END();

public:
    void serialises_and_parses_every_field() {
        const auto sent = make_message();
        const auto it = parse_message(serialise(sent)).value();
        CPPUNIT_ASSERT(it == sent);
        CPPUNIT_ASSERT_EQUAL(1500U, *it.find_uint(options::deadline));
        CPPUNIT_ASSERT(it.find(options::uri_path)->value ==
                       to_bytes("contributions"));
        CPPUNIT_ASSERT(!it.find(options::etag));
    }

    void serialises_and_parses_arbitrary_messages() {
        const bool ok =
            rc::check("serialising and parsing restore any message", [] {
                coap_message sent;
                sent.type = static_cast<coap_type>(*rc::gen::inRange(0, 4));
                sent.code = codes::put;
                sent.id = *rc::gen::arbitrary<std::uint16_t>();
                sent.token = *rc::gen::resize(max_token_size,
                                              rc::gen::arbitrary<bytes>());
                for (const auto n : *rc::gen::container<std::vector<int>>(
                         rc::gen::inRange(3000, 65000)))
                    sent.add(static_cast<std::uint16_t>(n),
                             *rc::gen::arbitrary<bytes>());
                sent.payload = *rc::gen::arbitrary<bytes>();
                RC_PRE(sent.token.size() <= max_token_size);
                RC_ASSERT(parse_message(serialise(sent)).value() == sent);
            });
        CPPUNIT_ASSERT(ok);
    }

    void rejects_malformed_datagrams() {
        CPPUNIT_ASSERT(!can_parse({}));
        CPPUNIT_ASSERT(!can_parse(bytes{0x40, 1, 0}));
        // Version 2, a token of 9 bytes, a payload marker without a payload.
        CPPUNIT_ASSERT(!can_parse(bytes{0x80, 1, 0, 1}));
        CPPUNIT_ASSERT(
            !can_parse(bytes{0x49, 1, 0, 1, 1, 2, 3, 4, 5, 6, 7, 8, 9}));
        CPPUNIT_ASSERT(!can_parse(bytes{0x40, 1, 0, 1, 0xff}));
        // An option that is longer than the datagram.
        CPPUNIT_ASSERT(!can_parse(bytes{0x40, 1, 0, 1, 0xb5, 'a'}));
    }

    void parses_arbitrary_datagrams_without_crash() {
        const bool ok = rc::check("no datagram crashes the parser", [] {
            auto data = *rc::gen::arbitrary<bytes>();
            data.insert(data.begin(), 0x44);
            can_parse(data);
        });
        CPPUNIT_ASSERT(ok);
    }

    void encodes_and_decodes_block_values() {
        coap_message it;
        const block_value sent{1000, true, 5};
        set_block(it, options::block2, sent);
        CPPUNIT_ASSERT(*find_block(it, options::block2) == sent);
        CPPUNIT_ASSERT_EQUAL(std::size_t{512}, sent.size());
        set_block(it, options::block2, {0, false, 0});
        CPPUNIT_ASSERT(it.find(options::block2)->value.empty());
        it.erase(options::block2);
        CPPUNIT_ASSERT(!find_block(it, options::block2));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(coap_message_test);

} // namespace arbutusport::requests
