// PROXY protocol v2, family IPv4, transport DGRAM.

#include <arbutusport/emulator/proxy_header.hpp>

#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <array>

namespace arbutusport::emulator {

namespace endian = boost::endian;

namespace {

// Signature, version 2 with command PROXY, IPv4 DGRAM, 12 address bytes.
constexpr std::array<std::uint8_t, 16> prefix{
    0x0d, 0x0a, 0x0d, 0x0a, 0x00, 0x0d, 0x0a, 0x51,
    0x55, 0x49, 0x54, 0x0a, 0x21, 0x12, 0x00, 0x0c};
constexpr std::size_t source_offset = prefix.size();
constexpr std::size_t destination_offset = source_offset + 4;
constexpr std::size_t source_port_offset = destination_offset + 4;
constexpr std::size_t destination_port_offset = source_port_offset + 2;

} // namespace

void write_proxy_header(const proxy_addresses& addresses, std::uint8_t* buf) {
    std::ranges::copy(prefix, buf);
    endian::store_big_u32(buf + source_offset, addresses.source.address);
    endian::store_big_u32(buf + destination_offset,
                          addresses.destination.address);
    endian::store_big_u16(buf + source_port_offset, addresses.source.port);
    endian::store_big_u16(buf + destination_port_offset,
                          addresses.destination.port);
}

std::optional<proxy_addresses> read_proxy_header(byte_view data) {
    if (data.size() < proxy_header_size ||
        !std::ranges::equal(data.first(prefix.size()), prefix))
        return std::nullopt;
    const std::uint8_t* buf = data.data();
    return proxy_addresses{
        {endian::load_big_u32(buf + source_offset),
         endian::load_big_u16(buf + source_port_offset)},
        {endian::load_big_u32(buf + destination_offset),
         endian::load_big_u16(buf + destination_port_offset)}};
}

} // namespace arbutusport::emulator
