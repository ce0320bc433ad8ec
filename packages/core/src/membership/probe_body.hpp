// The body of probe packets.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/error.hpp>
#include <arbutusport/membership/membership.hpp>

#include <vector>

namespace arbutusport::membership {

struct probe_body {
    /// Chosen by the prober and returned by the ack; 0 wants no ack.
    std::uint64_t sequence = 0;
    /// The process that is probed (probe, request) or answers (ack).
    process_id subject;
    /// In an ack, the first is the subject's own.
    std::vector<member_event> events;
};

bytes encode_probe(const probe_body& it);

/// @brief Fails with step "decode_probe" on a wrong size, count or state.
result<probe_body> decode_probe(byte_view data);

} // namespace arbutusport::membership
