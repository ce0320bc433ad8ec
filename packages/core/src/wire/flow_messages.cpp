// Encoding of the ownership messages with Boost.Endian buffers.

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
    endian::big_uint8_buf_t is_floor;
    endian::big_uint64_buf_t claim;
    endian::big_uint64_buf_t permit;
};

struct wire_holders {
    endian::big_uint8_buf_t version;
    endian::big_uint8_buf_t is_reply;
    endian::big_uint32_buf_t epoch;
    endian::big_uint64_buf_t revision;
    endian::big_uint64_buf_t hosts_digest;
    endian::big_uint32_buf_t taken_epoch;
    endian::big_uint64_buf_t taken_revision;
    std::array<std::uint8_t, holder_slots / 8> slots;
};

static_assert(sizeof(wire_query) == 17);
static_assert(sizeof(wire_query_reply) == 45);
static_assert(sizeof(wire_place) == 18);
static_assert(sizeof(wire_holders) == 34 + holder_slots / 8);

enum reply_flag : std::uint8_t {
    flag_eligible = 1,
    flag_draining = 2,
    flag_may_open = 4,
    flag_all = 7,
};

template <class Value>
bytes to_bytes(const Value& it) {
    const auto* data = reinterpret_cast<const std::uint8_t*>(&it);
    return {data, data + sizeof it};
}

// Checks the length and the version, which is the first byte.
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

bytes encode(const query_body& it) {
    wire_query out;
    out.version = body_version;
    out.claim = it.claim;
    out.score = std::bit_cast<std::uint64_t>(it.score);
    return to_bytes(out);
}

result<query_body> decode_query(byte_view data) {
    const char* step = "decode_query";
    BOOST_LEAF_AUTO(in, read<wire_query>(data, step));
    query_body it{in.claim.value(), std::bit_cast<double>(in.score.value())};
    if (!std::isfinite(it.score) || it.score < 0)
        return fail(step, "", "range");
    return it;
}

bytes encode(const query_reply_body& it) {
    wire_query_reply out;
    out.version = body_version;
    out.status = static_cast<std::uint8_t>(it.status);
    out.flags = static_cast<std::uint8_t>((it.eligible ? flag_eligible : 0) |
                                          (it.draining ? flag_draining : 0) |
                                          (it.may_open ? flag_may_open : 0));
    out.claim = it.claim;
    out.permit = it.permit;
    out.flows = it.flows;
    out.weight = std::bit_cast<std::uint64_t>(it.weight);
    out.owner = it.owner.id.value();
    out.owner_address = it.owner.packets.address;
    out.owner_port = it.owner.packets.port;
    return to_bytes(out);
}

result<query_reply_body> decode_query_reply(byte_view data) {
    const char* step = "decode_query_reply";
    BOOST_LEAF_AUTO(in, read<wire_query_reply>(data, step));
    query_reply_body it;
    it.claim = in.claim.value();
    it.status = static_cast<ownership>(in.status.value());
    it.permit = in.permit.value();
    it.flows = in.flows.value();
    it.weight = std::bit_cast<double>(in.weight.value());
    it.eligible = (in.flags.value() & flag_eligible) != 0;
    it.draining = (in.flags.value() & flag_draining) != 0;
    it.may_open = (in.flags.value() & flag_may_open) != 0;
    it.owner = {process_id(in.owner.value()),
                {in.owner_address.value(), in.owner_port.value()}};
    const bool owner_valid =
        it.status != ownership::redirects || it.owner.packets.port != 0;
    if (it.status > ownership::refuses || in.flags.value() > flag_all ||
        !std::isfinite(it.weight) || it.weight <= 0 || !owner_valid)
        return fail(step, "", "range");
    return it;
}

bytes encode(const place_body& it) {
    wire_place out;
    out.version = body_version;
    out.is_floor = it.is_floor ? 1 : 0;
    out.claim = it.claim;
    out.permit = it.permit;
    return to_bytes(out);
}

result<place_body> decode_place(byte_view data) {
    const char* step = "decode_place";
    BOOST_LEAF_AUTO(in, read<wire_place>(data, step));
    if (in.is_floor.value() > 1)
        return fail(step, "", "range");
    return place_body{in.claim.value(), in.permit.value(),
                      in.is_floor.value() == 1};
}

bytes encode(const holders_body& it) {
    wire_holders out;
    out.version = body_version;
    out.is_reply = it.is_reply ? 1 : 0;
    out.epoch = it.gen.epoch;
    out.revision = it.gen.revision;
    out.hosts_digest = it.hosts_digest;
    out.taken_epoch = it.taken.epoch;
    out.taken_revision = it.taken.revision;
    out.slots.fill(0);
    for (std::size_t i = 0; i < holder_slots; ++i)
        if (it.slots[i])
            out.slots[i / 8] |= static_cast<std::uint8_t>(1U << (i % 8));
    return to_bytes(out);
}

result<holders_body> decode_holders(byte_view data) {
    const char* step = "decode_holders";
    BOOST_LEAF_AUTO(in, read<wire_holders>(data, step));
    if (in.is_reply.value() > 1)
        return fail(step, "", "range");
    holders_body it;
    it.is_reply = in.is_reply.value() == 1;
    it.gen = {in.epoch.value(), in.revision.value()};
    it.hosts_digest = in.hosts_digest.value();
    it.taken = {in.taken_epoch.value(), in.taken_revision.value()};
    for (std::size_t i = 0; i < holder_slots; ++i)
        it.slots[i] = (in.slots[i / 8] >> (i % 8) & 1) != 0;
    return it;
}

} // namespace arbutusport::wire
