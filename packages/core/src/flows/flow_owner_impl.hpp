// State of a flow_owner: its flows, redirects and claims.
//
// A claim queries every host that may own the flow. A host that replies
// "none" redirects the flow to the claimant from then on, so that it does not
// open the flow for another claimant that did not query it. Of two competing
// claims, the one with the greater (score, id) continues, and the other
// forwards its held packets to the claimant of the first. A claim that is
// placing the flow at another host does not yield any more.
#pragma once

#include "peer_slot_tracker.hpp"

#include <arbutusport/base/lru_map.hpp>
#include <arbutusport/flows/flow_owner.hpp>
#include <arbutusport/wire/flow_messages.hpp>

#include <boost/unordered/unordered_flat_map.hpp>

#include <mutex>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace arbutusport::flows {

class flow_owner::impl {
public:
    explicit impl(flow_options options);

    flow_actions set_snapshot(records::snapshot_ptr snapshot, time_point now);
    flow_actions on_packet(wire::packet message, time_point now);
    flow_actions on_tick(time_point now);
    flow_actions answer(const flow_key& flow, byte_view datagram,
                        bool avoid_last, time_point now);
    void release(const flow_key& flow);
    bool migrate(const flow_key& from, const flow_key& to, time_point now);
    flow_actions forward_to_host(process_id host, const flow_key& flow,
                                 byte_view datagram, bool keep_flow,
                                 time_point now);
    void set_draining(bool draining) { is_draining_ = draining; }
    void set_accepting(bool accepting) { is_accepting_ = accepting; }
    flow_actions on_resumed(time_point now);
    bool owns(const flow_key& flow) const { return flows_.contains(flow); }
    std::size_t flow_count() const { return flows_.size(); }
    std::size_t memory_bytes() const;
    host_load load(time_point now) const;
    std::vector<flow_key> owned() const;
    std::vector<flow_key> take_closed_flows() {
        return std::exchange(closed_flows_, {});
    }

    mutable std::mutex mutex;

private:
    struct flow_state {
        // The entry that last forwarded a packet of the flow.
        endpoint reply_entry;
        time_point last_packet;
    };

    // Target for the packets of a flow that this host does not own.
    struct redirect {
        wire::candidate target;
        // Set by a query of `target`. A place of that claim with this permit is
        // accepted until permit_expires. 0 means none.
        std::uint64_t claim = 0;
        std::uint64_t permit = 0;
        time_point permit_expires;
        // The target before the query. The reply to each retry names it.
        wire::candidate previous_target;
    };

    struct queried_peer {
        wire::candidate address;
        // Empty until the peer has answered.
        std::optional<wire::query_reply_body> answer;
        bool has_rejected_placement = false;
        // Another host named it as the owner.
        bool is_reported_owner = false;
    };

    struct claim {
        std::uint64_t id = 0;
        double score = 0;
        // Ranked hosts, without those believed down. From the newer of this
        // host's and the first packet's generations.
        wire::candidate_list ranked;
        std::vector<queried_peer> queried_peers;
        // Index into queried_peers of the host at which the flow is being
        // placed.
        std::optional<std::size_t> placement_peer;
        bool ignores_eligibility = false;
        bool self_rejected = false;
        std::uint32_t attempts = 0;
        time_point deadline;
        time_point started;
        // Start of the current round of queries. Answers are not older.
        time_point round_started;
        // 0 during the first attempts. Doubles after each query up to a limit.
        duration query_interval{0};
        time_point next_query;
        std::vector<wire::packet> held_packets;
    };

    using claim_map = std::unordered_map<flow_key, claim>;
    using claim_iterator = claim_map::iterator;

    // A host at which a claimed flow may be placed. `peer_index` refers to
    // queried_peers and is empty for this host.
    struct placement {
        std::optional<std::size_t> peer_index;
        host_load load;
        bool is_draining = false;
    };

    // Packets and tables of flows (flow_path.cpp).
    std::optional<drop_reason>
    find_drop_reason(const wire::packet& message) const;
    void on_data(wire::packet message, time_point now);
    void update_candidates(wire::packet& message) const;
    wire::candidate_list live_candidates(const wire::candidate_list& all) const;
    bool follow_redirect(wire::packet& message);
    void deliver_owned(flow_state& state, wire::packet message, time_point now);
    void forward(wire::packet message, const wire::candidate& to);
    void open_flow(const flow_key& flow, const endpoint& entry, time_point now);
    void close_flow(const flow_key& flow);
    void close_idle_flows(time_point now);
    void drop(drop_reason reason, process_id peer);
    void send(wire::message_type type, const flow_key& flow,
              const wire::candidate& to, bytes body);
    void send_holders(const wire::candidate& to, bool is_reply,
                      generation acknowledged_gen);
    void on_holders(const wire::packet& message);
    bool is_down(process_id id) const;
    flow_actions take_actions() { return std::exchange(actions_, {}); }

    // Claims (flow_claims.cpp).
    void hold_packet(wire::packet message, time_point now);
    std::size_t add_possible_owners(const flow_key& flow, claim& pending) const;
    void start_claim(const wire::packet& first, time_point now);
    void send_queries(const flow_key& flow, claim& pending, time_point now);
    void on_query(const wire::packet& message, time_point now);
    void on_query_reply(const wire::packet& message, time_point now);
    void on_place(const wire::packet& message, time_point now);
    void on_place_reply(claim_iterator position,
                        const wire::query_reply_body& body, time_point now);
    bool query_reported_owner(claim_iterator position,
                              const wire::candidate& owner);
    void on_claim_timeout(claim_iterator position, time_point now);
    bool may_still_answer(const flow_key& flow, const claim& pending,
                          const queried_peer& peer, time_point now) const;
    void wait_for_owner(const flow_key& flow, claim& pending, time_point now);
    void place_if_all_answered(claim_iterator position, time_point now);
    bool is_outdated(const flow_key& flow, claim& pending,
                     time_point now) const;
    void restart_queries(const flow_key& flow, claim& pending, time_point now);
    void place_flow(claim_iterator position, time_point now);
    void reject_placement(const flow_key& flow, const wire::place_body& body,
                          wire::query_reply_body& reply);
    void place_flow_at(claim_iterator position, const placement& chosen,
                       time_point now);
    std::vector<placement> possible_placements(const claim& pending,
                                               slot_index slot,
                                               time_point now) const;
    void finish_claim(claim_iterator position, const wire::candidate& owner);
    void abandon_claim(claim_iterator position, drop_reason reason);
    wire::query_reply_body reply_body(slot_index slot, std::uint64_t claim,
                                      time_point now) const;
    void send_reply(const wire::packet& to,
                    const wire::query_reply_body& reply);
    void grant_permit(const wire::packet& message, const wire::query_body& body,
                      wire::query_reply_body& reply, time_point now);

    flow_options options_;
    records::snapshot_ptr snapshot_;
    // The service's record in snapshot_. Null if absent.
    const records::service* service_ = nullptr;
    // This host as last published. The port is 0 before the first snapshot that
    // lists this host.
    wire::candidate self_;
    double weight_ = 1.0;
    bool is_published_active_ = false;
    bool is_draining_ = false;
    bool is_accepting_ = true;
    std::optional<time_point> first_snapshot_at_;

    peer_slot_tracker peer_slots_;
    boost::unordered_flat_map<flow_key, flow_state, std::hash<flow_key>> flows_;
    // Number of owned flows by slot. Source of the bitmap in `holders`.
    std::vector<std::uint16_t> flows_in_slot_;
    lru_map<flow_key, redirect> redirects_;
    // Entries of datagrams that were delivered although this host does not own
    // the flow.
    lru_map<flow_key, endpoint> bound_entries_;
    // At most max_held_packets, since each claim holds a packet.
    claim_map claims_;
    std::size_t held_packets_ = 0;
    std::uint64_t last_claim_id_ = 0;
    std::uint64_t last_permit_ = 0;
    time_point next_idle_scan_;
    std::unordered_map<endpoint, process_id> entry_id_by_address_;
    std::mt19937_64 random_;
    // Results of the current public call.
    flow_actions actions_;
    std::vector<flow_key> closed_flows_;
};

} // namespace arbutusport::flows
