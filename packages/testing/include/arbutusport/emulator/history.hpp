// Events recorded by clients and upstreams, the input of the history checker.
#pragma once

#include <arbutusport/base/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace arbutusport::emulator {

enum class event_kind : std::uint8_t {
    sent,    // a client sent the first copy of a request
    ran,     // an upstream executed the request
    told,    // the client recorded an outcome
    drained, // an upstream was set to draining
};

enum class outcome : std::uint8_t { none, answered, not_run, unknown, timeout };

/// @brief One event. `request` is a name given by the client; it is sent in
/// the payload and is unique within a history.
struct event {
    time_point at;
    event_kind kind = event_kind::sent;
    std::string request;
    std::string client;
    std::string service;
    /// The host of an upstream event; empty for client events.
    std::string host;
    bool idempotent = false;
    outcome result = outcome::none;
    /// The request name in the response, and whether the checksum of its body
    /// was correct. Set for `told` events with outcome `answered`.
    std::string answered_request;
    bool body_whole = true;
};

using history = std::vector<event>;

} // namespace arbutusport::emulator
