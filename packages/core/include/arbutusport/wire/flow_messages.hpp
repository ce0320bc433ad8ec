// Bodies of the messages by which hosts agree on the owner of a flow. All
// travel in a packet, whose header carries the flow, the service and the
// sender; the sender's address is the packet's first candidate.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/error.hpp>
#include <arbutusport/base/ids.hpp>
#include <arbutusport/wire/packet.hpp>

#include <bitset>
#include <cstdint>

namespace arbutusport::wire {

/// @brief Body of `query`: the sender claims the flow.
struct query_body {
    /// Names the claim within its sender; the same in each retry.
    std::uint64_t claim = 0;
    /// Rendezvous score of the sender, finite and not negative. Of two
    /// claims the greater score wins, then the greater process id.
    double score = 0;
};

enum class ownership : std::uint8_t {
    none,      // neither owns the flow nor knows an owner
    owns,      // owns the flow
    claims,    // has a claim that takes precedence
    redirects, // `owner` owns or claimed the flow
    refuses,   // does not open the flow that was placed
};

/// @brief Body of `query_reply`, which answers `query` and `place`.
struct query_reply_body {
    std::uint64_t claim = 0;
    ownership status = ownership::none;
    /// Admits a `place` of this claim; drawn by the replying host.
    std::uint64_t permit = 0;
    std::uint32_t flows = 0;
    /// Effective weight, finite and greater than 0.
    double weight = 1.0;
    bool eligible = true;
    /// The host drains; it takes a new flow only if every candidate drains.
    bool draining = false;
    /// The host may own flows of the slot at its generation.
    bool may_open = true;
    /// Set if `status` is `redirects`.
    candidate owner;
};

/// @brief Body of `place`: open the flow.
struct place_body {
    std::uint64_t claim = 0;
    std::uint64_t permit = 0;
    /// No host is eligible; the flow opens all the same.
    bool is_floor = false;
};

inline constexpr std::size_t holder_slots = 4096;
using slot_bitmap = std::bitset<holder_slots>;

/// @brief Body of `holders`: the slots in which the sender owns flows. A host
/// sends it unasked when the service's hosts change, and in reply to another
/// host's.
struct holders_body {
    bool is_reply = false;
    generation gen;
    /// Digest of the service's hosts at `gen`. Equal digests rank alike.
    std::uint64_t hosts_digest = 0;
    /// In a reply: the generation of the bitmap that was taken.
    generation taken;
    slot_bitmap slots;
};

bytes encode(const query_body& it);
bytes encode(const query_reply_body& it);
bytes encode(const place_body& it);
bytes encode(const holders_body& it);

/// @brief The decoders fail with step "decode_<message>" and one of the
/// reasons "length", "version" and "range".
result<query_body> decode_query(byte_view data);
result<query_reply_body> decode_query_reply(byte_view data);
result<place_body> decode_place(byte_view data);
result<holders_body> decode_holders(byte_view data);

} // namespace arbutusport::wire
