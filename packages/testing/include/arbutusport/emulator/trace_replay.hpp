// Feeds the inputs of a trace to a fresh node object.
#pragma once

#include <arbutusport/emulator/trace.hpp>

#include <map>
#include <optional>
#include <string>

namespace arbutusport::emulator {

struct trace_difference {
    /// Counts from 1.
    std::size_t event = 0;
    time_point at;
    std::string input;
    nlohmann::json recorded;
    nlohmann::json found;
};

struct replay_result {
    std::size_t events = 0;
    /// Ends the replay: later outputs follow from it.
    std::optional<trace_difference> difference;
    /// Outputs by kind, drops also by "dropped:reason".
    std::map<std::string, std::uint64_t> counts;
};

replay_result replay(const trace& it);

std::string to_string(const trace_difference& it);

/// @brief Whether an outcome such as "dropped:wrong_service==0" holds; the
/// comparisons are ==, <= and >=. Fails with step "check_outcome" for another
/// form.
result<bool> check_outcome(const std::string& outcome, const replay_result& it);

} // namespace arbutusport::emulator
