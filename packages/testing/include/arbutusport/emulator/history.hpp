// What clients and upstreams saw, as the history checker judges it.
#pragma once

#include <arbutusport/base/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace arbutusport::emulator {

enum class event_kind : std::uint8_t {
    sent,    // a client sent a request (first copy)
    ran,     // an upstream ran it
    told,    // the client got an outcome
    drained, // an upstream was told to take no new work
};

enum class outcome : std::uint8_t { none, answered, not_run, unknown, timeout };

/// @brief One event. `request` is the client's own name of the request, which
/// travels in the payload and is unique in a history.
struct event {
    time_point at;
    event_kind kind = event_kind::sent;
    std::string request;
    std::string client;
    std::string service;
    /// The host that ran it; empty for client events.
    std::string host;
    bool idempotent = false;
    outcome result = outcome::none;
    /// The request's name as echoed in the answer, and whether the body's
    /// checksum held; for `told` with `answered`.
    std::string answered_request;
    bool body_whole = true;
};

using history = std::vector<event>;

} // namespace arbutusport::emulator
