// Payload format of the emulated clients and upstreams: a first line of
// key=value pairs, then a body.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace arbutusport::emulator {

using payload_fields = std::map<std::string, std::string>;

struct payload {
    payload_fields fields;
    std::string body;
};

std::string to_text(const payload& it);
payload parse_payload(std::string_view text);

/// @brief xxh64 as 16 hexadecimal digits.
std::string checksum_of(std::string_view body);

/// @brief Value of the field, or an empty string if it is missing.
std::string field(const payload_fields& fields, const std::string& name);

/// @brief Printable text of `size` bytes, determined by `seed`.
std::string make_body(std::uint64_t seed, std::size_t size);

} // namespace arbutusport::emulator
