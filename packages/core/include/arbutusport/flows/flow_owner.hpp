// Decides at a host process which flows it owns, opens, or passes on.
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

/// @brief Each guard can be switched off, so that tests can show that it is
/// needed. All are on in production.
struct flow_guards {
    /// Asks peers that may own a flow although they are not ranked.
    bool use_bitmaps = true;
    /// Asks any peer before a flow opens.
    bool query_owners = true;
};

struct flow_options {
    process_id self;
    service_id service;
    /// At the limit, new flows open elsewhere, or are refused (table_full).
    std::size_t max_flows = 8192;
    /// At either limit, the new packet is refused (held_full).
    std::size_t max_held_packets = 1024;
    std::size_t max_held_per_flow = 4;
    /// At the limit, the redirects unused for longest are dropped first, in
    /// bulk; the next packet of such a flow causes a query.
    std::size_t max_redirects = 32'768;
    /// A peer that answers none of these queries counts as not owning the
    /// flow, unless it may own it: then the queries go on at growing
    /// intervals until it answers or is believed down.
    duration query_timeout = std::chrono::milliseconds(40);
    std::uint32_t query_retries = 2;
    /// A flow without any packet for this time is closed.
    duration idle_timeout = std::chrono::hours(6);
    /// Answers whether a host is believed down. Unset: none is.
    std::function<bool(process_id)> is_down;
    /// Answers whether a process is believed alive as an entry.
    std::function<bool(const endpoint&)> entry_is_down;
    /// Called when a flow ends here, for whatever reason.
    std::function<void(const flow_key&)> on_closed;
    /// Seeds the choice of an alternative entry.
    std::uint64_t seed = 0;
    flow_guards enabled;
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

const char* to_string(drop_reason it);

/// @brief Send `message` to another process.
struct send_packet {
    endpoint to;
    wire::packet message;
};

/// @brief Hand a client's datagram to the requests layer of this host.
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

/// @brief Thread-safe: one lock around the tables of this host. Hooks are
/// called under it and must not call back, except on_closed.
class flow_owner {
public:
    explicit flow_owner(flow_options options);
    ~flow_owner();

    /// @brief Adopts a newer configuration and announces held slots to the
    /// peers of the service.
    flow_actions set_snapshot(records::snapshot_ptr snapshot, time_point now);

    /// @brief A forward, relay, place, query, query_reply or holders packet.
    flow_actions on_packet(wire::packet message, time_point now);

    /// @brief Query time-outs, slow start, idle flows. Call every 10 ms.
    flow_actions on_tick(time_point now);

    /// @brief Wraps a datagram for the client of an owned flow and sends it
    /// through the entry that last served the flow, or through another one
    /// if that is down or `avoid_last` is set (a retransmission).
    flow_actions answer(const flow_key& flow, byte_view datagram,
                        bool avoid_last, time_point now);

    /// @brief Closes an owned flow, so that it may open elsewhere.
    void release(const flow_key& flow, time_point now);

    /// @brief Moves an owned flow to a new key (connection migration).
    /// False if `from` is not owned here.
    bool migrate(const flow_key& from, const flow_key& to, time_point now);

    /// @brief Sends a datagram that belongs to another host's session to
    /// that host, as bound by the request. The flow then belongs there,
    /// unless `keep_flow` is set.
    flow_actions pass_to(process_id host, const flow_key& flow,
                         byte_view datagram, bool keep_flow, time_point now);

    /// @brief Own intent or the platform's list says that this host leaves.
    void set_draining(bool draining);
    /// @brief The upstream sheds load or failed its outlier check.
    void set_accepting(bool accepting);
    /// @brief After a pause: pending claims are void, peers are asked anew.
    flow_actions on_resumed(time_point now);

    bool owns(const flow_key& flow) const;
    std::size_t flow_count() const;
    /// @brief Bytes of the flow and redirect tables, unused buckets included.
    std::size_t memory() const;
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
