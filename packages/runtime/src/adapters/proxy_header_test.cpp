// The fabric's datagrams are untrusted input. Guards against accepting any
// bytes as a client's datagram other than a complete header of the supported
// form.

#include <arbutusport/adapters/proxy_header.hpp>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace arbutusport::adapters {

namespace {

const flow_key sample{{0x0a000001, 40000}, {0xc0a80001, 5683}};

bytes sample_datagram() {
    bytes out;
    append_proxy_header(sample.client, sample.service, out);
    out.push_back(0x42);
    return out;
}

} // namespace

class proxy_header_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(proxy_header_test);
    CPPUNIT_TEST(keeps_flow_and_payload);
    CPPUNIT_TEST(rejects_every_truncation);
    CPPUNIT_TEST(rejects_other_forms);
    CPPUNIT_TEST(decodes_arbitrary_bytes_safely);
    CPPUNIT_TEST_SUITE_END();

public:
    void keeps_flow_and_payload() {
        const bytes data = sample_datagram();
        const auto it = decode_proxied_datagram(data);
        CPPUNIT_ASSERT(it && it->flow == sample);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it->payload.size());
    }

    void rejects_every_truncation() {
        const bytes data = sample_datagram();
        for (std::size_t n = 0; n < proxy_header_size; ++n)
            CPPUNIT_ASSERT(!decode_proxied_datagram(byte_view(data).first(n)));
    }

    // Signature, version, command, family and length are all fixed; LOCAL,
    // STREAM, IPv6 and trailing fields are not supported.
    void rejects_other_forms() {
        for (std::size_t i = 0; i < 16; ++i)
            for (int bit = 0; bit < 8; ++bit) {
                bytes data = sample_datagram();
                data[i] ^= static_cast<std::uint8_t>(1 << bit);
                CPPUNIT_ASSERT(!decode_proxied_datagram(data));
            }
        bytes data;
        append_proxy_header({1, 0}, {2, 5683}, data);
        CPPUNIT_ASSERT(!decode_proxied_datagram(data));
    }

    void decodes_arbitrary_bytes_safely() {
        CPPUNIT_ASSERT(rc::check([](const bytes& tail) {
            bytes data = sample_datagram();
            data.resize(12);
            data.insert(data.end(), tail.begin(), tail.end());
            const auto it = decode_proxied_datagram(data);
            if (it)
                RC_ASSERT(it->payload.size() + proxy_header_size ==
                          data.size());
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(proxy_header_test);

} // namespace arbutusport::adapters
