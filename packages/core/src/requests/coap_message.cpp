// Parses with coap_pdu_parse. Serialises the header here and the options with
// coap_opt_encode, since libcoap's public headers give no access to the encoded
// header of a PDU.

#include <arbutusport/requests/coap_message.hpp>

#include <boost/endian/conversion.hpp>
#include <coap3/coap.h>

#include <algorithm>
#include <memory>

namespace arbutusport::requests {

namespace {

constexpr std::size_t header_size = 4;
constexpr std::uint8_t protocol_version = 1;
constexpr std::uint8_t payload_marker = 0xff;
// An option's header takes at most 5 bytes.
constexpr std::size_t max_option_header = 5;

struct pdu_deleter {
    void operator()(coap_pdu_t* it) const { coap_delete_pdu(it); }
};
using pdu_handle = std::unique_ptr<coap_pdu_t, pdu_deleter>;

// libcoap prints a line to standard error for each malformed option, so that
// any sender of datagrams could flood the log.
void silence_libcoap() {
    static const bool done = [] {
        coap_set_log_level(LOG_EMERG);
        return true;
    }();
    static_cast<void>(done);
}

pdu_handle parse_pdu(byte_view datagram) {
    silence_libcoap();
    pdu_handle pdu(
        coap_pdu_init(COAP_MESSAGE_CON, COAP_EMPTY_CODE, 0, datagram.size()));
    if (pdu && coap_pdu_parse(COAP_PROTO_UDP, datagram.data(), datagram.size(),
                              pdu.get()) == 0)
        pdu.reset();
    return pdu;
}

void read_options(const coap_pdu_t* pdu, std::vector<coap_option>& out) {
    coap_opt_iterator_t it;
    if (!coap_option_iterator_init(pdu, &it, COAP_OPT_ALL))
        return;
    while (const coap_opt_t* opt = coap_option_next(&it)) {
        const std::uint8_t* value = coap_opt_value(opt);
        const std::size_t n = coap_opt_length(opt);
        out.push_back({it.number, n ? bytes(value, value + n) : bytes()});
    }
}

void append_option(std::uint16_t delta, const bytes& value, bytes& out) {
    const auto start = out.size();
    out.resize(start + max_option_header + value.size());
    const auto n = coap_opt_encode(out.data() + start, out.size() - start,
                                   delta, value.data(), value.size());
    out.resize(start + n);
}

} // namespace

const coap_option* coap_message::find(std::uint16_t number) const {
    const auto it =
        std::ranges::lower_bound(options, number, {}, &coap_option::number);
    return it != options.end() && it->number == number ? &*it : nullptr;
}

std::optional<std::uint32_t>
coap_message::find_uint(std::uint16_t number) const {
    const coap_option* it = find(number);
    if (!it || it->value.size() > sizeof(std::uint32_t))
        return std::nullopt;
    std::uint32_t n = 0;
    for (const std::uint8_t byte : it->value)
        n = n << 8 | byte;
    return n;
}

void coap_message::add(std::uint16_t number, byte_view value) {
    const auto at =
        std::ranges::upper_bound(options, number, {}, &coap_option::number);
    options.insert(at, {number, bytes(value.begin(), value.end())});
}

void coap_message::add_uint(std::uint16_t number, std::uint32_t value) {
    bytes buf;
    for (int shift = 24; shift >= 0; shift -= 8)
        if (value >> shift != 0)
            buf.push_back(static_cast<std::uint8_t>(value >> shift));
    add(number, buf);
}

void coap_message::erase(std::uint16_t number) {
    std::erase_if(options, [&](const auto& it) { return it.number == number; });
}

result<coap_message> parse_message(byte_view datagram) {
    if (datagram.size() < header_size)
        return fail("parse_message", "", "truncated");
    if (datagram[0] >> 6 != protocol_version)
        return fail("parse_message", "", "version");
    const pdu_handle pdu = parse_pdu(datagram);
    if (!pdu)
        return fail("parse_message", "", "malformed");

    coap_message message;
    message.type = static_cast<coap_type>(coap_pdu_get_type(pdu.get()));
    message.code = static_cast<std::uint8_t>(coap_pdu_get_code(pdu.get()));
    message.id = static_cast<std::uint16_t>(coap_pdu_get_mid(pdu.get()));
    const auto token = coap_pdu_get_token(pdu.get());
    if (token.length > max_token_size)
        return fail("parse_message", "", "token");
    message.token.assign(token.s, token.s + token.length);
    read_options(pdu.get(), message.options);
    const std::uint8_t* data = nullptr;
    std::size_t n = 0;
    if (coap_get_data(pdu.get(), &n, &data) != 0)
        message.payload.assign(data, data + n);
    return message;
}

bytes serialise(const coap_message& message) {
    bytes out{
        static_cast<std::uint8_t>(protocol_version << 6 |
                                  static_cast<unsigned>(message.type) << 4 |
                                  message.token.size()),
        message.code, static_cast<std::uint8_t>(message.id >> 8),
        static_cast<std::uint8_t>(message.id)};
    out.insert(out.end(), message.token.begin(), message.token.end());
    std::uint16_t last = 0;
    for (const coap_option& opt : message.options) {
        append_option(static_cast<std::uint16_t>(opt.number - last), opt.value,
                      out);
        last = opt.number;
    }
    if (!message.payload.empty()) {
        out.push_back(payload_marker);
        out.insert(out.end(), message.payload.begin(), message.payload.end());
    }
    return out;
}

bool is_request(std::uint8_t code) {
    return code != 0 && code >> 5 == 0;
}

bool is_response(std::uint8_t code) {
    const unsigned major = code >> 5;
    return major == 2 || major == 4 || major == 5;
}

bool is_idempotent(std::uint8_t code) {
    return code != codes::post && code != codes::patch;
}

coap_message make_empty(coap_type type, std::uint16_t id) {
    coap_message message;
    message.type = type;
    message.id = id;
    return message;
}

coap_message make_response(std::uint8_t code, std::string_view payload) {
    coap_message message;
    message.type = coap_type::acknowledgement;
    message.code = code;
    message.payload = to_bytes(payload);
    return message;
}

std::string payload_text(const coap_message& message) {
    return {message.payload.begin(), message.payload.end()};
}

bytes to_bytes(std::string_view text) {
    return {text.begin(), text.end()};
}

bytes make_token(std::uint64_t value) {
    bytes out(sizeof value);
    boost::endian::store_big_u64(out.data(), value);
    return out;
}

std::optional<std::uint64_t> read_token(byte_view token) {
    if (token.size() != sizeof(std::uint64_t))
        return std::nullopt;
    return boost::endian::load_big_u64(token.data());
}

std::optional<block_value> find_block(const coap_message& message,
                                      std::uint16_t number) {
    const auto n = message.find_uint(number);
    // The exponent 7 is reserved over UDP.
    if (!n || *n >= 1U << 24 || (*n & 7) == 7)
        return std::nullopt;
    return block_value{*n >> 4, (*n & 8) != 0,
                       static_cast<std::uint8_t>(*n & 7)};
}

void set_block(coap_message& message, std::uint16_t number,
               const block_value& value) {
    message.erase(number);
    message.add_uint(number, value.number << 4 | (value.more ? 8U : 0U) |
                                 value.size_exponent);
}

} // namespace arbutusport::requests
