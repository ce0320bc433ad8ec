// Body of probe packets and its binary encoding.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/error.hpp>
#include <arbutusport/membership/membership.hpp>

#include <vector>

namespace arbutusport::membership {

struct probe_body {
    /// Chosen by the prober and returned in the ack; 0 requests no ack.
    std::uint64_t sequence = 0;
    /// The probed process (probe, request) or the one that answers (ack).
    process_id subject;
    /// In an ack, the first event is the subject's own.
    std::vector<member_event> events;
};

bytes encode_probe(const probe_body& body);

/// @brief Fails with step "decode_probe" if the size, the event count or a
/// state is invalid.
result<probe_body> decode_probe(byte_view data);

} // namespace arbutusport::membership
