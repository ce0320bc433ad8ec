// One request of a load client: its messages, and how an answer is judged.
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
    // The binding under which it was sent. A repetition under another one
    // could run it a second time, so only a 4.01 may change it.
    bytes echo;
    time_point first_sent;
    requests::coap_message message;
    std::uint32_t copies = 0;
    duration timeout{};
    time_point next;
    bool acknowledged = false;
    // Of a text: what has arrived, and its ETag.
    std::string assembled;
    bytes etag;
    std::uint32_t block = 0;
    // Of an observation: a first answer arrived.
    bool established = false;
};

/// @brief The request in its present state, without id and token.
requests::coap_message make_request(const operation& it,
                                    const client_options& options);

/// @brief `told` events with `answered`; the caller adds time and names.
event judge_contribution(const operation& it,
                         const requests::coap_message& answer);
event judge_text(const operation& it);
event judge_notification(const requests::coap_message& answer);

} // namespace arbutusport::emulator
