// Bodies of the messages by which hosts agree on the owner of a flow. The
// packet header carries the flow, the service and the sender. The sender's
// address is the packet's first candidate.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/error.hpp>
#include <arbutusport/base/ids.hpp>
#include <arbutusport/wire/packet.hpp>

#include <bitset>
#include <cstdint>

namespace arbutusport::wire {

/// @brief Body of `query`, by which the sender claims a flow.
struct query_body {
    /// Identifies the claim at its sender. Retries repeat it.
    std::uint64_t claim = 0;
    /// Rendezvous score of the sender, finite and not negative. Of two
    /// claims, the one with the greater (score, process id) wins.
    double score = 0;
};

enum class ownership : std::uint8_t {
    none,      // the replying host neither owns the flow nor knows its owner
    owns,      // it owns the flow
    claims,    // it has a claim that takes precedence
    redirects, // `owner` owns or claimed the flow
    refuses,   // it rejected the placement
};

/// @brief Body of `query_reply`, which answers `query` and `place`.
struct query_reply_body {
    std::uint64_t claim = 0;
    ownership status = ownership::none;
    /// Token from the replying host that a `place` of this claim must carry.
    std::uint64_t permit = 0;
    std::uint32_t flows = 0;
    /// Effective weight, finite and greater than 0.
    double weight = 1.0;
    bool eligible = true;
    /// The host is draining. It opens a new flow only if every candidate is
    /// draining.
    bool draining = false;
    /// The host may open flows of the slot at its generation and has room.
    bool can_open = true;
    /// Set if `status` is `redirects`.
    candidate owner;
};

/// @brief Body of `place`, which asks the receiver to open the flow.
struct place_body {
    std::uint64_t claim = 0;
    std::uint64_t permit = 0;
    /// No host is eligible. The receiver opens the flow although it is not
    /// eligible itself.
    bool ignores_eligibility = false;
};

inline constexpr std::size_t slot_bitmap_size = 4096;
using slot_bitmap = std::bitset<slot_bitmap_size>;

/// @brief Body of `holders`: the slots in which the sender owns flows. A host
/// announces it when the service's hosts change, and replies with it to the
/// announcement of another host.
struct holders_body {
    bool is_reply = false;
    generation gen;
    /// Digest of the service's hosts at `gen`. Hosts with equal digests rank
    /// the hosts of every slot equally.
    std::uint64_t hosts_digest = 0;
    /// In a reply, the generation of the bitmap that the reply acknowledges.
    generation acknowledged_gen;
    slot_bitmap slots;
};

bytes encode(const query_body& body);
bytes encode(const query_reply_body& body);
bytes encode(const place_body& body);
bytes encode(const holders_body& body);

/// @brief Errors of the decoders have the step "decode_<message>" and one of
/// the reasons "length", "version" and "range".
result<query_body> decode_query(byte_view data);
result<query_reply_body> decode_query_reply(byte_view data);
result<place_body> decode_place(byte_view data);
result<holders_body> decode_holders(byte_view data);

} // namespace arbutusport::wire
