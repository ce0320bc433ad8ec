// Payloads of the stand-ins: a first line of key=value pairs, then a body.
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

/// @brief The field's value, or empty.
std::string field(const payload_fields& fields, const std::string& name);

/// @brief Printable text that depends on `seed` alone.
std::string make_body(std::uint64_t seed, std::size_t size);

} // namespace arbutusport::emulator
