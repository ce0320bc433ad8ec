// Encodes the fields with Boost.Endian buffers and computes the tag with
// libsodium's SipHash.

#include <arbutusport/requests/binding.hpp>

#include <boost/endian/buffers.hpp>
#include <sodium.h>

#include <array>
#include <cstring>

namespace arbutusport::requests {

namespace {

namespace endian = boost::endian;

struct wire_binding {
    endian::big_uint64_buf_t host;
    endian::big_uint64_buf_t host_incarnation;
    endian::big_uint64_buf_t session;
    endian::big_uint32_buf_t epoch;
    endian::big_uint32_buf_t issued_s;
};

using tag = std::array<std::uint8_t, crypto_shorthash_BYTES>;

static_assert(sizeof(wire_binding) + sizeof(tag) == binding_size);
static_assert(crypto_shorthash_KEYBYTES == sizeof(binding_key));

tag make_tag(byte_view fields, const binding_key& key) {
    tag out;
    crypto_shorthash(out.data(), fields.data(), fields.size(), key.data());
    return out;
}

} // namespace

bytes encode_binding(const binding& fields, const binding_key& key) {
    wire_binding wire;
    wire.host = fields.host.value();
    wire.host_incarnation = fields.host_incarnation.value();
    wire.session = fields.session.value();
    wire.epoch = fields.epoch;
    wire.issued_s = fields.issued_s;
    const auto* data = reinterpret_cast<const std::uint8_t*>(&wire);
    bytes encoded(data, data + sizeof wire);
    const tag authentication_tag = make_tag(encoded, key);
    encoded.insert(encoded.end(), authentication_tag.begin(),
                   authentication_tag.end());
    return encoded;
}

std::optional<binding> read_binding(byte_view echo) {
    if (echo.size() != binding_size)
        return std::nullopt;
    wire_binding wire;
    std::memcpy(&wire, echo.data(), sizeof wire);
    return binding{process_id(wire.host.value()),
                   incarnation(wire.host_incarnation.value()),
                   session_id(wire.session.value()), wire.epoch.value(),
                   wire.issued_s.value()};
}

bool verify_binding(byte_view echo, const binding_key& key) {
    if (echo.size() != binding_size)
        return false;
    const tag expected = make_tag(echo.first(sizeof(wire_binding)), key);
    return sodium_memcmp(expected.data(), echo.data() + sizeof(wire_binding),
                         expected.size()) == 0;
}

} // namespace arbutusport::requests
