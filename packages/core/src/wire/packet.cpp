// Encodes and decodes packets, with Boost.Endian buffers for the header and
// SipHash of libsodium for the tag.

#include <arbutusport/wire/packet.hpp>

#include <boost/endian/buffers.hpp>
#include <sodium.h>

#include <cstring>

namespace arbutusport::wire {

namespace {

namespace endian = boost::endian;

constexpr std::uint16_t packet_magic = 0x4150;
constexpr std::uint8_t packet_version = 1;

struct wire_endpoint {
    endian::big_uint32_buf_t address;
    endian::big_uint16_buf_t port;
};

struct wire_candidate {
    endian::big_uint64_buf_t id;
    wire_endpoint packets;
};

struct wire_header {
    endian::big_uint16_buf_t magic;
    endian::big_uint8_buf_t version;
    endian::big_uint8_buf_t type;
    endian::big_uint8_buf_t key;
    endian::big_uint8_buf_t hops;
    endian::big_uint8_buf_t candidates;
    endian::big_uint8_buf_t reserved;
    endian::big_uint32_buf_t epoch;
    endian::big_uint64_buf_t revision;
    endian::big_uint64_buf_t service;
    endian::big_uint64_buf_t sender;
    endian::big_uint64_buf_t target;
    wire_endpoint client;
    wire_endpoint service_address;
    wire_endpoint reply_entry;
};

using wire_tag = endian::big_uint64_buf_t;

static_assert(sizeof(wire_candidate) == 14);
static_assert(sizeof(wire_header) == 62);

constexpr std::size_t overhead = sizeof(wire_header) + sizeof(wire_tag);

wire_endpoint pack(const endpoint& it) {
    wire_endpoint out;
    out.address = it.address;
    out.port = it.port;
    return out;
}

endpoint unpack(const wire_endpoint& it) {
    return {it.address.value(), it.port.value()};
}

template <class Value>
void append(const Value& it, bytes& out) {
    const auto start = out.size();
    out.resize(start + sizeof it);
    std::memcpy(out.data() + start, &it, sizeof it);
}

template <class Value>
Value read_front(byte_view& data) {
    Value it;
    std::memcpy(&it, data.data(), sizeof it);
    data = data.subspan(sizeof it);
    return it;
}

leaf::error_id reject(const char* reason) {
    return fail("decode_packet", "", reason);
}

bool is_known_type(std::uint8_t type) {
    return type >= static_cast<std::uint8_t>(message_type::forward) &&
           type <= static_cast<std::uint8_t>(message_type::execute_reply);
}

packet unpack_header(const wire_header& header) {
    packet message;
    message.type = static_cast<message_type>(header.type.value());
    message.hops = header.hops.value();
    message.gen = {header.epoch.value(), header.revision.value()};
    message.service = service_id(header.service.value());
    message.sender = process_id(header.sender.value());
    message.target = process_id(header.target.value());
    message.flow = {unpack(header.client), unpack(header.service_address)};
    message.reply_entry = unpack(header.reply_entry);
    return message;
}

} // namespace

void keyring::add(key_id id, const secret& value, bool active) {
    slots_[id.value()] = {true, value};
    if (active) {
        active_ = id;
        can_sign_ = true;
    }
}

bool keyring::has_key(key_id id) const {
    return slots_[id.value()].is_set;
}

std::uint64_t keyring::tag(key_id id, byte_view data) const {
    static_assert(crypto_shorthash_KEYBYTES == key_size);
    wire_tag out;
    static_assert(crypto_shorthash_BYTES == sizeof out);
    crypto_shorthash(reinterpret_cast<unsigned char*>(&out), data.data(),
                     data.size(), slots_[id.value()].value.data());
    return out.value();
}

void encode_packet(const packet& message, const keyring& keys, bytes& out) {
    wire_header header;
    header.magic = packet_magic;
    header.version = packet_version;
    header.type = static_cast<std::uint8_t>(message.type);
    header.key = keys.active().value();
    header.hops = message.hops;
    header.candidates = static_cast<std::uint8_t>(message.candidates.size());
    header.reserved = 0;
    header.epoch = message.gen.epoch;
    header.revision = message.gen.revision;
    header.service = message.service.value();
    header.sender = message.sender.value();
    header.target = message.target.value();
    header.client = pack(message.flow.client);
    header.service_address = pack(message.flow.service);
    header.reply_entry = pack(message.reply_entry);

    const auto start = out.size();
    out.reserve(start + overhead + message.body.size() +
                message.candidates.size() * sizeof(wire_candidate));
    append(header, out);
    for (const candidate& member : message.candidates) {
        wire_candidate packed;
        packed.id = member.id.value();
        packed.packets = pack(member.packets);
        append(packed, out);
    }
    out.insert(out.end(), message.body.begin(), message.body.end());
    wire_tag tag;
    tag = keys.tag(keys.active(), byte_view(out).subspan(start));
    append(tag, out);
}

result<packet> decode_packet(byte_view data, const keyring& keys) {
    if (data.size() < overhead)
        return reject("truncated");
    if (data.size() > max_datagram)
        return reject("oversized");
    const auto authenticated = data.first(data.size() - sizeof(wire_tag));
    byte_view rest = authenticated;
    const auto header = read_front<wire_header>(rest);
    if (header.magic.value() != packet_magic)
        return reject("magic");
    if (header.version.value() != packet_version)
        return reject("version");
    if (!is_known_type(header.type.value()))
        return reject("type");
    const std::size_t candidate_count = header.candidates.value();
    if (candidate_count > max_candidates ||
        rest.size() < candidate_count * sizeof(wire_candidate))
        return reject("candidates");
    const key_id key(header.key.value());
    if (!keys.has_key(key))
        return reject("key");
    byte_view tail = data.last(sizeof(wire_tag));
    if (read_front<wire_tag>(tail).value() != keys.tag(key, authenticated))
        return reject("tag");

    packet message = unpack_header(header);
    for (std::size_t i = 0; i < candidate_count; ++i) {
        const auto member = read_front<wire_candidate>(rest);
        message.candidates.push_back(
            {process_id(member.id.value()), unpack(member.packets)});
    }
    message.body.assign(rest.begin(), rest.end());
    return message;
}

} // namespace arbutusport::wire
