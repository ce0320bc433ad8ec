// CoAP messages (RFC 7252) as typed values; options and limits follow libcoap.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/error.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusport::requests {

enum class coap_type : std::uint8_t {
    confirmable,
    non_confirmable,
    acknowledgement,
    reset,
};

/// @brief Encodes "c.dd" as one byte: class in the upper 3 bits, detail in the
/// lower 5.
constexpr std::uint8_t coap_code(unsigned major, unsigned detail) {
    return static_cast<std::uint8_t>(major << 5 | detail);
}

namespace codes {
inline constexpr std::uint8_t empty = 0;
inline constexpr std::uint8_t get = 1;
inline constexpr std::uint8_t post = 2;
inline constexpr std::uint8_t put = 3;
inline constexpr std::uint8_t remove = 4;
inline constexpr std::uint8_t fetch = 5;
inline constexpr std::uint8_t patch = 6;
inline constexpr std::uint8_t ipatch = 7;
inline constexpr std::uint8_t created = coap_code(2, 1);
inline constexpr std::uint8_t changed = coap_code(2, 4);
inline constexpr std::uint8_t content = coap_code(2, 5);
inline constexpr std::uint8_t continued = coap_code(2, 31);
inline constexpr std::uint8_t bad_request = coap_code(4, 0);
inline constexpr std::uint8_t unauthorized = coap_code(4, 1);
inline constexpr std::uint8_t not_found = coap_code(4, 4);
inline constexpr std::uint8_t not_allowed = coap_code(4, 5);
inline constexpr std::uint8_t incomplete = coap_code(4, 8);
inline constexpr std::uint8_t unavailable = coap_code(5, 3);
inline constexpr std::uint8_t gateway_timeout = coap_code(5, 4);
} // namespace codes

namespace options {
inline constexpr std::uint16_t etag = 4;
inline constexpr std::uint16_t observe = 6;
inline constexpr std::uint16_t uri_path = 11;
inline constexpr std::uint16_t max_age = 14;
inline constexpr std::uint16_t uri_query = 15;
inline constexpr std::uint16_t block2 = 23;
inline constexpr std::uint16_t block1 = 27;
inline constexpr std::uint16_t echo = 252;
inline constexpr std::uint16_t request_tag = 292;
/// Remaining time for the response in ms. The option is elective, so that
/// servers that do not know it ignore it.
inline constexpr std::uint16_t deadline = 65002;
} // namespace options

inline constexpr std::size_t max_token_size = 8;

/// Diagnostic payload of a 5.03: the request did not run and never will.
inline constexpr std::string_view not_run_payload = "not-run";
/// Diagnostic payload of a 5.04: the request may have run.
inline constexpr std::string_view unknown_payload = "outcome-unknown";

struct coap_option {
    std::uint16_t number = 0;
    bytes value;

    friend bool operator==(const coap_option&, const coap_option&) = default;
};

struct coap_message {
    coap_type type = coap_type::confirmable;
    std::uint8_t code = codes::empty;
    std::uint16_t id = 0;
    /// At most max_token_size bytes.
    bytes token;
    /// Sorted by number; options of equal number keep their order.
    std::vector<coap_option> options;
    bytes payload;

    /// @brief The first option of that number, or null.
    const coap_option* find(std::uint16_t number) const;
    /// @brief The option's value as an unsigned integer; empty if the option is
    /// absent or longer than 4 bytes.
    std::optional<std::uint32_t> find_uint(std::uint16_t number) const;
    /// @brief Inserts an option after those of equal number.
    void add(std::uint16_t number, byte_view value);
    void add_uint(std::uint16_t number, std::uint32_t value);
    /// @brief Removes every option of that number.
    void erase(std::uint16_t number);

    friend bool operator==(const coap_message&, const coap_message&) = default;
};

/// @brief Fails with step "parse_message" if the datagram is not a valid CoAP
/// message over UDP.
result<coap_message> parse_message(byte_view datagram);

/// @brief Requires a token of at most max_token_size bytes and sorted options.
bytes serialise(const coap_message& message);

bool is_request(std::uint8_t code);
bool is_response(std::uint8_t code);
/// @brief False for POST and PATCH, the methods that must run at most once.
bool is_idempotent(std::uint8_t code);

/// @brief An acknowledgement or reset without content.
coap_message make_empty(coap_type type, std::uint16_t id);

/// @brief A response with a text payload; id and token are left empty.
coap_message make_response(std::uint8_t code, std::string_view payload);

std::string payload_text(const coap_message& message);
bytes to_bytes(std::string_view text);

/// @brief Converts between a number and an 8-byte token, big endian;
/// read_token is empty if the token has another length.
bytes make_token(std::uint64_t value);
std::optional<std::uint64_t> read_token(byte_view token);

/// @brief Value of a Block1 or Block2 option (RFC 7959).
struct block_value {
    std::uint32_t number = 0;
    bool more = false;
    /// 0 to 6; the block size is 2 to the power of size_exponent + 4.
    std::uint8_t size_exponent = 6;

    std::size_t size() const { return std::size_t{16} << size_exponent; }

    friend bool operator==(const block_value&, const block_value&) = default;
};

std::optional<block_value> find_block(const coap_message& message,
                                      std::uint16_t number);
void set_block(coap_message& message, std::uint16_t number,
               const block_value& value);

} // namespace arbutusport::requests
