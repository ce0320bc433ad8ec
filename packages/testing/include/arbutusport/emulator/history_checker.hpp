// Judges a history against the invariants on requests (design, section 1.2).
#pragma once

#include <arbutusport/emulator/history.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace arbutusport::emulator {

enum class violation_kind : std::uint8_t {
    double_run,       // a non-idempotent request ran more than once
    false_not_run,    // told "not run", but it ran, before or after
    crossed_answer,   // the answer belongs to another request
    cut_answer,       // the answer's body is not whole
    lost_request,     // sent, but no outcome was told
    misrouted,        // ran at a host of another service
    work_after_drain, // a draining host got work of a new client
};

const char* to_string(violation_kind it);

struct violation {
    violation_kind kind = violation_kind::double_run;
    std::string request;
    std::string reason;
};

/// A host may get new work for this long after it was told to drain, since
/// the news takes a few seconds to spread.
inline constexpr duration drain_grace = std::chrono::seconds(5);

/// @brief Every violation, ordered by request. The history may be in any
/// order of time. Work counts as new if it is the first run of a client at
/// that host; `told` with outcome `none` counts as no outcome.
std::vector<violation> check(const history& events);

/// @brief The number of violations of one kind.
std::size_t count(const std::vector<violation>& found, violation_kind kind);

} // namespace arbutusport::emulator
