// Data packets between own processes: a fixed header, a body and a keyed tag
// over both.
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
    relay,         // host to host: the same, passed on
    place,         // home to host: open the flow here
    answer,        // host to entry: a datagram for the client
    query,         // home to host: do you own this flow?
    query_reply,   // host to home
    holders,       // host to host: slots in which the sender owns flows
    probe,         // failure detection
    probe_ack,     //
    probe_request, // asks a third process to probe
    execute,       // host to host: run an idempotent request for the sender
    execute_reply, //
};

/// @brief A host that may own the flow, in order of preference.
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
    /// The process that this packet is meant for; the receiver checks it.
    process_id target;
    flow_key flow;
    /// The entry through which the client's datagram came.
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
    /// @brief False if no key is active.
    bool can_sign() const { return can_sign_; }
    key_id active() const { return active_; }
    std::uint64_t tag(key_id id, byte_view data) const;
    bool knows(key_id id) const;

private:
    struct slot {
        bool known = false;
        secret value{};
    };

    // Indexed by key_id; at most 256 keys.
    std::array<slot, 256> slots_{};
    key_id active_;
    bool can_sign_ = false;
};

/// @brief Appends the encoded packet to `out`. Requires keys.can_sign().
void encode_packet(const packet& it, const keyring& keys, bytes& out);

/// @brief Checks length, version, type, counts and tag. Fails with step
/// "decode_packet"; the reason is one of "truncated", "oversized", "magic",
/// "version", "type", "candidates", "key", "tag".
result<packet> decode_packet(byte_view data, const keyring& keys);

} // namespace arbutusport::wire
