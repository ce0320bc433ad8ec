// What a relay process decided, for its log and its counters.
#pragma once

#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/relay/messages.hpp>

#include <array>
#include <cstdint>
#include <string>

namespace arbutusport::relay {

/// @brief A figure that a decision rested on, with its age or version. The key
/// names its unit.
struct event_input {
    const char* key = "";
    std::int64_t value = 0;
};

/// @brief Names are fixed in the code, so their number is bounded.
struct event {
    /// counted: not logged, since it would come with every packet.
    enum class level : std::uint8_t { counted, detail, info, warning };

    level severity = level::detail;
    const char* name = "";
    const char* reason = "";
    flow_key flow;
    machine_address machine;
    std::uint64_t value = 0;
    std::array<event_input, 4> inputs{};
};

} // namespace arbutusport::relay
