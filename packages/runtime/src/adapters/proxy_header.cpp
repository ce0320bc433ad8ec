// Strict codec of the PROXY protocol v2 header.

#include <arbutusport/adapters/proxy_header.hpp>

#include <boost/endian/buffers.hpp>

#include <algorithm>
#include <array>
#include <cstring>

namespace arbutusport::adapters {

namespace {

namespace endian = boost::endian;

constexpr std::array<std::uint8_t, 12> signature{
    0x0d, 0x0a, 0x0d, 0x0a, 0x00, 0x0d, 0x0a, 0x51, 0x55, 0x49, 0x54, 0x0a};
constexpr std::uint8_t version_2_proxy = 0x21;
constexpr std::uint8_t ipv4_dgram = 0x12;
constexpr std::uint16_t address_bytes = 12;

struct wire_proxy_header {
    std::array<std::uint8_t, 12> signature;
    endian::big_uint8_buf_t version_command;
    endian::big_uint8_buf_t family;
    endian::big_uint16_buf_t length;
    endian::big_uint32_buf_t source;
    endian::big_uint32_buf_t destination;
    endian::big_uint16_buf_t source_port;
    endian::big_uint16_buf_t destination_port;
};

static_assert(sizeof(wire_proxy_header) == proxy_header_size);

} // namespace

std::optional<proxied_datagram> decode_proxied_datagram(byte_view data) {
    if (data.size() < proxy_header_size)
        return std::nullopt;
    wire_proxy_header header;
    std::memcpy(&header, data.data(), sizeof header);
    if (header.signature != signature ||
        header.version_command.value() != version_2_proxy ||
        header.family.value() != ipv4_dgram ||
        header.length.value() != address_bytes)
        return std::nullopt;
    const flow_key flow{
        {header.source.value(), header.source_port.value()},
        {header.destination.value(), header.destination_port.value()}};
    if (flow.client.port == 0 || flow.service.port == 0)
        return std::nullopt;
    return proxied_datagram{flow, data.subspan(proxy_header_size)};
}

void append_proxy_header(const endpoint& source, const endpoint& destination,
                         bytes& out) {
    wire_proxy_header header;
    header.signature = signature;
    header.version_command = version_2_proxy;
    header.family = ipv4_dgram;
    header.length = address_bytes;
    header.source = source.address;
    header.destination = destination.address;
    header.source_port = source.port;
    header.destination_port = destination.port;
    const auto start = out.size();
    out.resize(start + sizeof header);
    std::memcpy(out.data() + start, &header, sizeof header);
}

} // namespace arbutusport::adapters
