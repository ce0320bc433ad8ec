// Seeded fault schedules in virtual time, with clients, a lossy network, and
// hosts that run a broker and an upstream.
#pragma once

#include <arbutusport/emulator/history.hpp>
#include <arbutusport/requests/request_broker.hpp>

#include <cstddef>
#include <cstdint>

namespace arbutusport::emulator {

struct schedule_options {
    std::uint64_t seed = 1;
    std::size_t clients = 4;
    std::size_t requests_per_client = 10;
    requests::safety_checks checks;
};

/// @brief Runs one schedule. For a minute, requests run under datagram loss,
/// duplication and delay (up to 10 minutes), restarts, replacements, pauses,
/// drains, two owners of one flow, and an upstream that sheds, is late or does
/// not answer. Then the run continues until every late datagram has arrived.
history run_schedule(const schedule_options& options);

} // namespace arbutusport::emulator
