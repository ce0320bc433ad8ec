// Events of a relay process, for its log and its counters.
#pragma once

#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/relay/messages.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace arbutusport::relay {

/// @brief A value that a decision was based on, or its age or version. The key
/// includes the unit.
struct event_input {
    const char* key = "";
    std::int64_t value = 0;
};

constexpr std::size_t max_event_inputs = 6;

/// @brief The set of names is fixed in the code, so their number is bounded.
struct event {
    /// counted: not logged, since it would occur with every packet.
    enum class level : std::uint8_t { counted, detail, info, warning };

    level severity = level::detail;
    const char* name = "";
    const char* reason = "";
    flow_key flow;
    machine_address machine;
    std::uint64_t value = 0;
    std::array<event_input, max_event_inputs> inputs{};
};

} // namespace arbutusport::relay
