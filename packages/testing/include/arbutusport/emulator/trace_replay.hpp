// Replays the inputs of a trace on a new node object and compares its outputs.
#pragma once

#include <arbutusport/emulator/trace.hpp>

#include <map>
#include <optional>
#include <string>

namespace arbutusport::emulator {

struct trace_difference {
    /// Number of the event in the trace, from 1.
    std::size_t event = 0;
    time_point at;
    std::string input;
    nlohmann::json recorded;
    nlohmann::json found;
};

struct replay_result {
    std::size_t events = 0;
    /// The first difference. It ends the replay, since later outputs depend on
    /// it.
    std::optional<trace_difference> difference;
    /// Outputs by kind; drops are also counted as "dropped:reason".
    std::map<std::string, std::uint64_t> counts;
};

replay_result replay(const trace& it);

std::string to_string(const trace_difference& it);

/// @brief Whether an outcome such as "dropped:wrong_service==0" holds; the
/// comparisons are ==, <= and >=. Fails with step "check_outcome" for another
/// form.
result<bool> check_outcome(const std::string& outcome, const replay_result& it);

} // namespace arbutusport::emulator
