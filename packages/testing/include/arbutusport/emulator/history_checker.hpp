// Checks a history against the request invariants (design, section 1.2).
#pragma once

#include <arbutusport/emulator/history.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace arbutusport::emulator {

enum class violation_kind : std::uint8_t {
    double_run,       // a non-idempotent request was executed repeatedly
    false_not_run,    // outcome not_run, but executed at any time
    crossed_answer,   // the response belongs to another request
    cut_answer,       // the response body is incomplete or corrupt
    lost_request,     // sent, but no outcome was recorded
    misrouted,        // executed by a host of another service
    work_after_drain, // a draining host executed for a new client
};

const char* to_string(violation_kind it);

struct violation {
    violation_kind kind = violation_kind::double_run;
    std::string request;
    std::string reason;
};

/// A draining host may receive requests of new clients for this long, since
/// the state change takes a few seconds to propagate.
inline constexpr duration drain_grace_period = std::chrono::seconds(5);

/// @brief Returns all violations, ordered by request. The events may be in
/// any order. A client is new to a host until its first request has been
/// executed there. A `told` event with outcome `none` is not an outcome.
std::vector<violation> check(const history& events);

/// @brief The number of violations of a kind.
std::size_t count(const std::vector<violation>& found, violation_kind kind);

} // namespace arbutusport::emulator
