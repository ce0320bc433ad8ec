// Tags and verifies sync messages.

#include "sync_envelope.hpp"

#include <boost/endian/conversion.hpp>

namespace arbutusport::config {

namespace {

// A CBOR map starts with 0xa0 to 0xbf.
constexpr std::uint8_t tagged_marker = 0x01;
constexpr std::size_t tag_size = sizeof(std::uint64_t);
constexpr std::size_t header_size = 2 + tag_size;

std::uint64_t make_tag(byte_view body, sync_direction direction, key_id key,
                       const wire::keyring& keys) {
    bytes data{static_cast<std::uint8_t>(direction), key.value()};
    data.insert(data.end(), body.begin(), body.end());
    return keys.tag(key, data);
}

} // namespace

bytes seal_sync(const sync_message& message, sync_direction direction,
                const wire::keyring& keys) {
    bytes body = encode_sync(message);
    if (!keys.can_sign())
        return body;
    bytes out(header_size);
    out[0] = tagged_marker;
    out[1] = keys.active().value();
    boost::endian::store_big_u64(
        out.data() + 2, make_tag(body, direction, keys.active(), keys));
    out.insert(out.end(), body.begin(), body.end());
    return out;
}

result<opened_sync> open_sync(byte_view data, sync_direction direction,
                              const wire::keyring& keys) {
    opened_sync opened;
    if (!data.empty() && data[0] == tagged_marker) {
        if (data.size() < header_size)
            return fail("open_sync", "", "truncated");
        const key_id key(data[1]);
        if (!keys.has_key(key))
            return fail("open_sync", "", "key");
        const auto tag = boost::endian::load_big_u64(data.data() + 2);
        data = data.subspan(header_size);
        if (tag != make_tag(data, direction, key, keys))
            return fail("open_sync", "", "tag");
        opened.is_authentic = true;
    }
    BOOST_LEAF_AUTO(message, decode_sync(data));
    opened.message = std::move(message);
    return opened;
}

} // namespace arbutusport::config
