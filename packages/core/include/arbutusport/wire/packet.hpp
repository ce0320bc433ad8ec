// Packets between entries and hosts: a fixed header, a body and an
// authentication tag over both.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/base/error.hpp>
#include <arbutusport/base/ids.hpp>

#include <boost/container/static_vector.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace arbutusport::wire {

enum class message_type : std::uint8_t {
    forward = 1,   // entry to host: a client's datagram
    relay,         // host to host: a client's datagram, forwarded again
    place,         // claimant to host: open the flow at the receiver
    answer,        // host to entry: a datagram for the client
    query,         // claimant to host: asks for the owner of a flow
    query_reply,   // host to claimant: answers a query or a place
    holders,       // host to host: slots in which the sender owns flows
    probe,         // failure detection
    probe_ack,     // answers a probe
    probe_request, // asks the receiver to probe a third process
    execute,       // host to host: run an idempotent request for the sender
    execute_reply, // answers an execute
};

/// @brief A host that may own the flow. Lists of candidates are in order of
/// preference.
struct candidate {
    process_id id;
    endpoint packets;

    friend bool operator==(const candidate&, const candidate&) = default;
};

inline constexpr std::size_t max_candidates = 4;
inline constexpr std::uint8_t max_hops = 4;
/// Largest UDP payload that IPv4 carries.
inline constexpr std::size_t max_datagram = 65507;

using candidate_list =
    boost::container::static_vector<candidate, max_candidates>;

struct packet {
    message_type type = message_type::forward;
    std::uint8_t hops = 0;
    generation gen;
    service_id service;
    process_id sender;
    /// Id of the destination process, which the receiver checks.
    process_id target;
    flow_key flow;
    /// Address of the entry that received the client's datagram.
    endpoint reply_entry;
    candidate_list candidates;
    bytes body;
};

/// @brief Signs and verifies packets with the published keys (SipHash-2-4).
class keyring {
public:
    static constexpr std::size_t key_size = 16;
    using secret = std::array<std::uint8_t, key_size>;

    void add(key_id id, const secret& value, bool active);
    /// @brief True if a key is active.
    bool can_sign() const { return can_sign_; }
    key_id active() const { return active_; }
    std::uint64_t tag(key_id id, byte_view data) const;
    bool has_key(key_id id) const;

private:
    struct key_slot {
        bool is_set = false;
        secret value{};
    };

    // Indexed by key_id, which has 256 values.
    std::array<key_slot, 256> slots_{};
    key_id active_;
    bool can_sign_ = false;
};

/// @brief Appends the encoded packet to `out`. Requires keys.can_sign().
void encode_packet(const packet& message, const keyring& keys, bytes& out);

/// @brief Checks length, version, type, counts and tag. Errors have the step
/// "decode_packet" and one of the reasons "truncated", "oversized", "magic",
/// "version", "type", "candidates", "key", "tag".
result<packet> decode_packet(byte_view data, const keyring& keys);

} // namespace arbutusport::wire
