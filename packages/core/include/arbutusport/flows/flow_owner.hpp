// Decides at a host which flows it owns, opens or forwards.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/base/ids.hpp>
#include <arbutusport/base/time.hpp>
#include <arbutusport/flows/load.hpp>
#include <arbutusport/records/records.hpp>
#include <arbutusport/wire/packet.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <variant>
#include <vector>

namespace arbutusport::flows {

/// @brief Safety mechanisms of the ownership protocol. Tests disable them one
/// by one to show that each is needed. Production enables all.
struct ownership_checks {
    /// Queries unranked peers that may own the flow by their bitmaps.
    bool use_bitmaps = true;
    /// Queries peers before a flow opens.
    bool query_owners = true;
};

struct flow_options {
    process_id self;
    service_id service;
    /// At the limit, new flows open at other hosts, or are dropped with
    /// `table_full`.
    std::size_t max_flows = 8192;
    /// Packets held while the owner of their flow is unknown. At either limit,
    /// a new packet is dropped with `held_full`.
    std::size_t max_held_packets = 1024;
    std::size_t max_held_per_flow = 4;
    /// At the limit, the least recently used redirects are evicted in bulk.
    /// The next packet of such a flow causes a query.
    std::size_t max_redirects = 32'768;
    /// A query is repeated after each `query_timeout`. A peer that answers
    /// none of the tries is taken as not owning the flow. If it may own the
    /// flow, queries continue at growing intervals until it answers or is
    /// believed down.
    duration query_timeout = std::chrono::milliseconds(40);
    std::uint32_t query_retries = 2;
    /// A flow that receives no packet for this time is closed.
    duration idle_timeout = std::chrono::hours(6);
    /// Returns whether a host is believed down. If unset, no host is.
    std::function<bool(process_id)> is_down;
    /// Returns whether the entry at an address is believed down.
    std::function<bool(const endpoint&)> is_entry_down;
    /// Called after this host released a flow or closed it as idle.
    std::function<void(const flow_key&)> on_closed;
    /// Seed for the random choice of an alternative entry.
    std::uint64_t seed = 0;
    ownership_checks checks;
};

enum class drop_reason : std::uint8_t {
    no_configuration,
    wrong_service,
    wrong_target,
    too_many_hops,
    table_full,
    held_full,
    unexpected_type,
    malformed_body,
    stale_generation,
};

const char* to_string(drop_reason reason);

/// @brief Sends `message` to another process.
struct send_packet {
    endpoint to;
    wire::packet message;
};

/// @brief Passes a client's datagram to the request layer of this host.
struct deliver {
    flow_key flow;
    bytes datagram;
};

struct drop_packet {
    drop_reason reason;
    process_id peer;
};

using flow_action = std::variant<send_packet, deliver, drop_packet>;
using flow_actions = std::vector<flow_action>;

/// @brief Owns the flow tables of this host. Thread-safe by one lock. The
/// callbacks of flow_options run under the lock and must not call this object,
/// except on_closed, which runs after unlocking.
class flow_owner {
public:
    explicit flow_owner(flow_options options);
    ~flow_owner();

    /// @brief Adopts a newer configuration and announces the slots in which
    /// this host owns flows to the peers of the service.
    flow_actions set_snapshot(records::snapshot_ptr snapshot, time_point now);

    /// @brief Handles a forward, relay, place, query, query_reply or holders
    /// packet.
    flow_actions on_packet(wire::packet message, time_point now);

    /// @brief Handles query timeouts, announcements and idle flows. To be
    /// called every 10 ms.
    flow_actions on_tick(time_point now);

    /// @brief Sends a datagram to the client of a flow through the entry that
    /// last forwarded a packet of the flow. Uses another entry if that one is
    /// down or if `avoid_last` is set (a retransmission).
    flow_actions answer(const flow_key& flow, byte_view datagram,
                        bool avoid_last, time_point now);

    /// @brief Closes an owned flow, so that it may open at another host.
    void release(const flow_key& flow, time_point now);

    /// @brief Moves an owned flow to a new key (connection migration).
    /// False if this host does not own `from`.
    bool migrate(const flow_key& from, const flow_key& to, time_point now);

    /// @brief Forwards a datagram to the host that has its session. This host
    /// then releases the flow and redirects it to that host, unless
    /// `keep_flow` is set.
    flow_actions forward_to_host(process_id host, const flow_key& flow,
                                 byte_view datagram, bool keep_flow,
                                 time_point now);

    /// @brief Set while this host is draining, by its own decision or
    /// according to the platform's list.
    void set_draining(bool draining);
    /// @brief Cleared while the upstream sheds load or fails its outlier
    /// check.
    void set_accepting(bool accepting);
    /// @brief To be called when the process resumes after a suspension. Drops
    /// pending claims, redirects and the bitmaps of peers, which may be
    /// outdated, and announces this host's slots again.
    flow_actions on_resumed(time_point now);

    bool owns(const flow_key& flow) const;
    std::size_t flow_count() const;
    /// @brief Bytes of the flow and redirect tables, with unused buckets.
    std::size_t memory_bytes() const;
    host_load load(time_point now) const;
    std::vector<flow_key> owned() const;

private:
    class impl;

    template <class Call>
    auto locked(Call&& call);

    std::unique_ptr<impl> impl_;
    std::function<void(const flow_key&)> on_closed_;
};

} // namespace arbutusport::flows
