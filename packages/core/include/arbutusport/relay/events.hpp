// What a relay process decided, for its log and its counters.
#pragma once

#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/relay/messages.hpp>

#include <cstdint>
#include <string>

namespace arbutusport::relay {

/// @brief Names are fixed in the code, so their number is bounded.
struct event {
    enum class level : std::uint8_t { detail, info, warning };

    level severity = level::detail;
    const char* name = "";
    const char* reason = "";
    flow_key flow;
    machine_address machine;
    std::uint64_t value = 0;
};

} // namespace arbutusport::relay
