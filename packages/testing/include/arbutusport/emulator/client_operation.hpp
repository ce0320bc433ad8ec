// State of one load client request, its messages and the checks of responses.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/time.hpp>
#include <arbutusport/emulator/history.hpp>
#include <arbutusport/emulator/load_client.hpp>
#include <arbutusport/requests/coap_message.hpp>

#include <cstdint>
#include <string>

namespace arbutusport::emulator {

enum class request_kind : std::uint8_t { contribution, text, observation };

struct operation {
    request_kind kind = request_kind::contribution;
    std::string request;
    std::string text;
    std::string body;
    bytes request_tag;
    // The session binding with which the request was sent. Repeating it with
    // another binding could execute it twice; only a 4.01 may change it.
    bytes echo;
    time_point first_sent;
    requests::coap_message message;
    std::uint32_t copies = 0;
    duration timeout{};
    time_point next;
    bool acknowledged = false;
    // For a text: the content received so far, and its ETag.
    std::string assembled;
    bytes etag;
    std::uint32_t block = 0;
    // For an observation: the first response has arrived.
    bool established = false;
};

/// @brief Builds the next request message, without id and token.
requests::coap_message make_request(const operation& it,
                                    const client_options& options);

/// @brief Return a `told` event with outcome `answered`. The caller adds the
/// time and the names.
event check_contribution(const operation& it,
                         const requests::coap_message& answer);
event check_text(const operation& it);
event check_notification(const requests::coap_message& answer);

} // namespace arbutusport::emulator
