// Encodes probe bodies as packed big-endian structures.

#include "probe_body.hpp"

#include <boost/endian/buffers.hpp>

#include <cstring>

namespace arbutusport::membership {

namespace {

namespace endian = boost::endian;

constexpr std::size_t max_events = 64;

struct wire_head {
    endian::big_uint64_buf_t sequence;
    endian::big_uint64_buf_t subject;
    endian::big_uint8_buf_t count;
};

struct wire_event {
    endian::big_uint64_buf_t id;
    endian::big_uint64_buf_t run;
    endian::big_uint32_buf_t refutations;
    endian::big_uint8_buf_t state;
};

static_assert(sizeof(wire_head) == 17);
static_assert(sizeof(wire_event) == 21);

template <class Value>
void append(const Value& it, bytes& out) {
    const auto* data = reinterpret_cast<const std::uint8_t*>(&it);
    out.insert(out.end(), data, data + sizeof it);
}

template <class Value>
Value take(byte_view& data) {
    Value it;
    std::memcpy(&it, data.data(), sizeof it);
    data = data.subspan(sizeof it);
    return it;
}

} // namespace

bytes encode_probe(const probe_body& body) {
    const std::size_t count = std::min(body.events.size(), max_events);
    wire_head head;
    head.sequence = body.sequence;
    head.subject = body.subject.value();
    head.count = static_cast<std::uint8_t>(count);
    bytes out;
    out.reserve(sizeof head + count * sizeof(wire_event));
    append(head, out);
    for (std::size_t i = 0; i < count; ++i) {
        wire_event packed;
        packed.id = body.events[i].id.value();
        packed.run = body.events[i].run.value();
        packed.refutations = body.events[i].refutations;
        packed.state = static_cast<std::uint8_t>(body.events[i].state);
        append(packed, out);
    }
    return out;
}

result<probe_body> decode_probe(byte_view data) {
    if (data.size() < sizeof(wire_head))
        return fail("decode_probe", "", "truncated");
    const auto head = take<wire_head>(data);
    const std::size_t count = head.count.value();
    if (count > max_events || data.size() != count * sizeof(wire_event))
        return fail("decode_probe", "", "count");
    probe_body body;
    body.sequence = head.sequence.value();
    body.subject = process_id(head.subject.value());
    for (std::size_t i = 0; i < count; ++i) {
        const auto packed = take<wire_event>(data);
        if (packed.state.value() >
            static_cast<std::uint8_t>(member_state::down))
            return fail("decode_probe", "", "state");
        body.events.push_back(
            {process_id(packed.id.value()), incarnation(packed.run.value()),
             packed.refutations.value(),
             static_cast<member_state>(packed.state.value())});
    }
    return body;
}

} // namespace arbutusport::membership
