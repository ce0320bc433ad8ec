// Response bodies that contain the name of their request and a checksum.
#pragma once

#include <arbutusport/requests/coap_message.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace arbutusport::emulator {

/// @brief The request name from a Uri-Query option "r=<name>"; empty if there
/// is none.
std::string request_name(const requests::coap_message& request);
void set_request_name(requests::coap_message& request, std::string_view name);

/// @brief Returns at least `size` bytes: the name, padding that depends on
/// the version, and a checksum.
std::string make_answer_body(std::string_view name, std::uint64_t version,
                             std::size_t size);

struct answer_body {
    std::string request;
    bool whole = false;
};

answer_body read_answer_body(std::string_view text);

} // namespace arbutusport::emulator
