// Encodes and decodes the ownership messages with Boost.Endian buffers.

#include <arbutusport/wire/flow_messages.hpp>

#include <boost/endian/buffers.hpp>

#include <array>
#include <bit>
#include <cmath>
#include <cstring>

namespace arbutusport::wire {

namespace {

namespace endian = boost::endian;

constexpr std::uint8_t body_version = 1;

struct wire_query {
    endian::big_uint8_buf_t version;
    endian::big_uint64_buf_t claim;
    endian::big_uint64_buf_t score;
};

struct wire_query_reply {
    endian::big_uint8_buf_t version;
    endian::big_uint8_buf_t status;
    endian::big_uint8_buf_t flags;
    endian::big_uint64_buf_t claim;
    endian::big_uint64_buf_t permit;
    endian::big_uint32_buf_t flows;
    endian::big_uint64_buf_t weight;
    endian::big_uint64_buf_t owner;
    endian::big_uint32_buf_t owner_address;
    endian::big_uint16_buf_t owner_port;
};

struct wire_place {
    endian::big_uint8_buf_t version;
    endian::big_uint8_buf_t ignores_eligibility;
    endian::big_uint64_buf_t claim;
    endian::big_uint64_buf_t permit;
};

struct wire_holders {
    endian::big_uint8_buf_t version;
    endian::big_uint8_buf_t is_reply;
    endian::big_uint32_buf_t epoch;
    endian::big_uint64_buf_t revision;
    endian::big_uint64_buf_t hosts_digest;
    endian::big_uint32_buf_t acknowledged_epoch;
    endian::big_uint64_buf_t acknowledged_revision;
    std::array<std::uint8_t, slot_bitmap_size / 8> slots;
};

static_assert(sizeof(wire_query) == 17);
static_assert(sizeof(wire_query_reply) == 45);
static_assert(sizeof(wire_place) == 18);
static_assert(sizeof(wire_holders) == 34 + slot_bitmap_size / 8);

enum reply_flag : std::uint8_t {
    flag_eligible = 1,
    flag_draining = 2,
    flag_can_open = 4,
    flag_all = 7,
};

template <class Value>
bytes to_bytes(const Value& it) {
    const auto* data = reinterpret_cast<const std::uint8_t*>(&it);
    return {data, data + sizeof it};
}

// Reads a message body after checking its length and its version, which is the
// first byte.
template <class Value>
result<Value> read(byte_view data, const char* step) {
    if (data.size() != sizeof(Value))
        return fail(step, "", "length");
    if (data.front() != body_version)
        return fail(step, "", "version");
    Value it;
    std::memcpy(&it, data.data(), sizeof it);
    return it;
}

} // namespace

bytes encode(const query_body& body) {
    wire_query out;
    out.version = body_version;
    out.claim = body.claim;
    out.score = std::bit_cast<std::uint64_t>(body.score);
    return to_bytes(out);
}

result<query_body> decode_query(byte_view data) {
    const char* step = "decode_query";
    BOOST_LEAF_AUTO(in, read<wire_query>(data, step));
    query_body body{in.claim.value(), std::bit_cast<double>(in.score.value())};
    if (!std::isfinite(body.score) || body.score < 0)
        return fail(step, "", "range");
    return body;
}

bytes encode(const query_reply_body& body) {
    wire_query_reply out;
    out.version = body_version;
    out.status = static_cast<std::uint8_t>(body.status);
    out.flags = static_cast<std::uint8_t>((body.eligible ? flag_eligible : 0) |
                                          (body.draining ? flag_draining : 0) |
                                          (body.can_open ? flag_can_open : 0));
    out.claim = body.claim;
    out.permit = body.permit;
    out.flows = body.flows;
    out.weight = std::bit_cast<std::uint64_t>(body.weight);
    out.owner = body.owner.id.value();
    out.owner_address = body.owner.packets.address;
    out.owner_port = body.owner.packets.port;
    return to_bytes(out);
}

result<query_reply_body> decode_query_reply(byte_view data) {
    const char* step = "decode_query_reply";
    BOOST_LEAF_AUTO(in, read<wire_query_reply>(data, step));
    query_reply_body body;
    body.claim = in.claim.value();
    body.status = static_cast<ownership>(in.status.value());
    body.permit = in.permit.value();
    body.flows = in.flows.value();
    body.weight = std::bit_cast<double>(in.weight.value());
    body.eligible = (in.flags.value() & flag_eligible) != 0;
    body.draining = (in.flags.value() & flag_draining) != 0;
    body.can_open = (in.flags.value() & flag_can_open) != 0;
    body.owner = {process_id(in.owner.value()),
                  {in.owner_address.value(), in.owner_port.value()}};
    const bool owner_valid =
        body.status != ownership::redirects || body.owner.packets.port != 0;
    if (body.status > ownership::refuses || in.flags.value() > flag_all ||
        !std::isfinite(body.weight) || body.weight <= 0 || !owner_valid)
        return fail(step, "", "range");
    return body;
}

bytes encode(const place_body& body) {
    wire_place out;
    out.version = body_version;
    out.ignores_eligibility = body.ignores_eligibility ? 1 : 0;
    out.claim = body.claim;
    out.permit = body.permit;
    return to_bytes(out);
}

result<place_body> decode_place(byte_view data) {
    const char* step = "decode_place";
    BOOST_LEAF_AUTO(in, read<wire_place>(data, step));
    if (in.ignores_eligibility.value() > 1)
        return fail(step, "", "range");
    return place_body{in.claim.value(), in.permit.value(),
                      in.ignores_eligibility.value() == 1};
}

bytes encode(const holders_body& body) {
    wire_holders out;
    out.version = body_version;
    out.is_reply = body.is_reply ? 1 : 0;
    out.epoch = body.gen.epoch;
    out.revision = body.gen.revision;
    out.hosts_digest = body.hosts_digest;
    out.acknowledged_epoch = body.acknowledged_gen.epoch;
    out.acknowledged_revision = body.acknowledged_gen.revision;
    out.slots.fill(0);
    for (std::size_t i = 0; i < slot_bitmap_size; ++i)
        if (body.slots[i])
            out.slots[i / 8] |= static_cast<std::uint8_t>(1U << (i % 8));
    return to_bytes(out);
}

result<holders_body> decode_holders(byte_view data) {
    const char* step = "decode_holders";
    BOOST_LEAF_AUTO(in, read<wire_holders>(data, step));
    if (in.is_reply.value() > 1)
        return fail(step, "", "range");
    holders_body body;
    body.is_reply = in.is_reply.value() == 1;
    body.gen = {in.epoch.value(), in.revision.value()};
    body.hosts_digest = in.hosts_digest.value();
    body.acknowledged_gen = {in.acknowledged_epoch.value(),
                             in.acknowledged_revision.value()};
    for (std::size_t i = 0; i < slot_bitmap_size; ++i)
        body.slots[i] = (in.slots[i / 8] >> (i % 8) & 1) != 0;
    return body;
}

} // namespace arbutusport::wire
