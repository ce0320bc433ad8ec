// State of a flow_owner: its flows, redirects and claims.
//
// A claim asks every host of the cover for the owner of a flow. A host that
// answers "none" is bound by that answer: it redirects the flow to the
// claimant from then on, so it does not open the flow for another claimant
// that did not ask it. Of two claims that meet, the one with the greater
// (score, id) goes on and the other forwards its held packets to it. A claim
// that is placing the flow at another host does not give way any more.
#pragma once

#include "peer_cover.hpp"

#include <arbutusport/base/recent_map.hpp>
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
    flow_actions pass_to(process_id host, const flow_key& flow,
                         byte_view datagram, bool keep_flow, time_point now);
    void set_draining(bool draining) { is_draining_ = draining; }
    void set_accepting(bool accepting) { is_accepting_ = accepting; }
    flow_actions on_resumed(time_point now);
    bool owns(const flow_key& flow) const { return flows_.contains(flow); }
    std::size_t flow_count() const { return flows_.size(); }
    std::size_t memory() const;
    host_load load(time_point now) const;
    std::vector<flow_key> owned() const;
    std::vector<flow_key> take_closed() { return std::exchange(closed_, {}); }

    mutable std::mutex mutex;

private:
    struct flow_state {
        // The entry that last forwarded a packet of the flow.
        endpoint reply_entry;
        time_point last_packet;
    };

    // Where packets of a flow go that this host does not own.
    struct redirect {
        wire::candidate to;
        // Set by a query of `to`; admits a place of that claim until
        // permit_expires. 0 means none.
        std::uint64_t claim = 0;
        std::uint64_t permit = 0;
        time_point permit_expires;
        // The target before the query; the reply to each retry names it.
        wire::candidate before;
    };

    struct asked_peer {
        wire::candidate address;
        // Empty until the peer has answered.
        std::optional<wire::query_reply_body> answer;
        bool has_refused = false;
        // Another host took it for the owner.
        bool is_named = false;
    };

    struct claim {
        std::uint64_t id = 0;
        double score = 0;
        // Ranked hosts at the newer generation of this host and the first
        // packet, without those believed down.
        wire::candidate_list ranked;
        std::vector<asked_peer> asked;
        // Index into `asked` while the flow is being placed there.
        std::optional<std::size_t> placing;
        bool is_floor = false;
        bool self_refused = false;
        std::uint32_t tries = 0;
        time_point deadline;
        time_point started;
        // Answers are no older than this.
        time_point round_started;
        // Only past the first tries; doubles up to a limit.
        duration repeat_interval{0};
        time_point next_repeat;
        std::vector<wire::packet> held;
    };

    using claim_map = std::unordered_map<flow_key, claim>;
    using claim_iterator = claim_map::iterator;

    // One way of placing a claimed flow. `asked` is empty for this host.
    struct placement {
        std::optional<std::size_t> asked;
        host_load load;
        bool is_draining = false;
    };

    // Packets (flow_path.cpp).
    std::optional<drop_reason> refusal(const wire::packet& message) const;
    void on_data(wire::packet message, time_point now);
    void refresh_candidates(wire::packet& message) const;
    wire::candidate_list live(const wire::candidate_list& all) const;
    bool follow_redirect(wire::packet& message);
    void deliver_owned(flow_state& state, wire::packet message, time_point now);
    void forward(wire::packet message, const wire::candidate& to);
    void open(const flow_key& flow, const endpoint& entry, time_point now);
    void close(const flow_key& flow);
    void close_idle(time_point now);
    void drop(drop_reason reason, process_id peer);
    void send(wire::message_type type, const flow_key& flow,
              const wire::candidate& to, bytes body);
    void send_holders(const wire::candidate& to, bool is_reply,
                      generation taken);
    void on_holders(const wire::packet& message);
    bool is_down(process_id id) const;
    flow_actions take() { return std::exchange(out_, {}); }

    // Claims (flow_claims.cpp).
    void hold(wire::packet message, time_point now);
    std::size_t ask_cover(const flow_key& flow, claim& it) const;
    void start_claim(const wire::packet& first, time_point now);
    void send_queries(const flow_key& flow, claim& it, time_point now);
    void on_query(const wire::packet& message, time_point now);
    void on_query_reply(const wire::packet& message, time_point now);
    void on_place(const wire::packet& message, time_point now);
    void on_placed(claim_iterator it, const wire::query_reply_body& body,
                   time_point now);
    bool follow_reference(claim_iterator it, const wire::candidate& owner);
    void on_claim_timeout(claim_iterator it, time_point now);
    bool may_still_answer(const flow_key& flow, const claim& it,
                          const asked_peer& peer, time_point now) const;
    void wait_for_owner(const flow_key& flow, claim& it, time_point now);
    void conclude_if_answered(claim_iterator it, time_point now);
    bool is_outdated(const flow_key& flow, claim& it, time_point now) const;
    void ask_again(const flow_key& flow, claim& it, time_point now);
    void place(claim_iterator it, time_point now);
    void refuse_place(const flow_key& flow, const wire::place_body& body,
                      wire::query_reply_body& reply);
    void place_at(claim_iterator it, const placement& chosen, time_point now);
    std::vector<placement> placements(const claim& it, slot_index slot,
                                      time_point now) const;
    void settle(claim_iterator it, const wire::candidate& owner);
    void refuse_claim(claim_iterator it, drop_reason reason);
    wire::query_reply_body reply_body(slot_index slot, std::uint64_t claim,
                                      time_point now) const;
    void send_reply(const wire::packet& to, const wire::query_reply_body& it);
    void admit(const wire::packet& message, const wire::query_body& body,
               wire::query_reply_body& reply, time_point now);

    flow_options options_;
    records::snapshot_ptr snapshot_;
    // Of the service in snapshot_; null if it is not there.
    const records::service* service_ = nullptr;
    // As last published; the port is 0 until this host was in a snapshot.
    wire::candidate self_;
    double weight_ = 1.0;
    bool is_published_active_ = false;
    bool is_draining_ = false;
    bool is_accepting_ = true;
    std::optional<time_point> started_;

    peer_cover cover_;
    boost::unordered_flat_map<flow_key, flow_state, std::hash<flow_key>> flows_;
    // Owned flows by slot; the source of the holder bitmap.
    std::vector<std::uint16_t> flows_in_slot_;
    recent_map<flow_key, redirect> redirects_;
    // Entries of datagrams that were delivered without owning the flow.
    recent_map<flow_key, endpoint> bound_entries_;
    // At most max_held_packets, since each holds a packet.
    claim_map claims_;
    std::size_t held_packets_ = 0;
    std::uint64_t last_claim_ = 0;
    std::uint64_t last_permit_ = 0;
    time_point next_idle_scan_;
    std::unordered_map<endpoint, process_id> entry_ids_;
    std::mt19937_64 random_;
    // Results of the current call.
    flow_actions out_;
    std::vector<flow_key> closed_;
};

} // namespace arbutusport::flows
