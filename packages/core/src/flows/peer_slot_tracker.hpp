// Tracks which peers of the service may own flows of a slot. Invariant:
// possible_owners() contains each live peer for every slot in which the peer
// may own a flow, except peers that this host removed as unresponsive.
#pragma once

#include <arbutusport/base/time.hpp>
#include <arbutusport/records/records.hpp>
#include <arbutusport/routing/slot_table.hpp>
#include <arbutusport/wire/flow_messages.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace arbutusport::flows {

class peer_slot_tracker {
public:
    using is_down_function = std::function<bool(process_id)>;

    peer_slot_tracker(process_id self, is_down_function is_down,
                      bool use_bitmaps)
        : self_(self), is_down_(std::move(is_down)), use_bitmaps_(use_bitmaps) {
    }

    /// @brief Adopts the service's hosts. If they changed, starts to announce
    /// this host's slots to every peer.
    void set_service(const records::service& service, generation gen,
                     time_point now);

    /// @brief Starts to announce the slots in which this host owns flows to
    /// every peer.
    void announce(generation gen, time_point now);

    /// @brief Drops the bitmaps of all peers, so that every peer counts as a
    /// possible owner in every slot.
    void clear_bitmaps();

    /// @brief Handles a holders message. False if there is no room for an
    /// unknown peer. The message must not be answered then.
    bool on_holders(const wire::candidate& from,
                    const wire::holders_body& body);

    /// @brief Adds a peer that another host mentioned: a host that left the
    /// configuration before this one joined it.
    void add_mentioned_peer(const wire::candidate& address);

    /// @brief Live peers outside the configuration, at most `limit`.
    std::vector<wire::candidate> unconfigured_peers(std::size_t limit) const;

    /// @brief Peers to which an announcement has to be sent now. Schedules the
    /// next announcement.
    std::vector<wire::candidate> take_due_announcements(time_point now);

    /// @brief Live peers that may own flows of `slot`.
    std::vector<wire::candidate> possible_owners(slot_index slot) const;

    /// @brief Records that a host claimed a flow of `slot`. It may have placed
    /// the flow at any ranked host, and earlier bitmaps do not show that.
    void on_claim(slot_index slot) { claimed_slots_.set(slot.value()); }

    /// @brief True if the peer may own flows of `slot`: its bitmap has the
    /// slot, or it sent no bitmap for the current hosts, or it is ranked there
    /// and flows were claimed since.
    bool may_own_flows(slot_index slot, process_id peer) const;

    bool is_configured(process_id peer) const;

    /// @brief Handles a peer that did not answer a query: removes the peer if
    /// it is not in the configuration.
    void on_unresponsive(process_id peer);

    /// @brief True if this host may open flows in `slot`: it is ranked there,
    /// and every live peer has acknowledged a ranking that includes it.
    bool can_open(slot_index slot) const;

    bool is_ranked(slot_index slot) const;

    std::uint64_t hosts_digest() const { return digest_; }
    generation announced_gen() const { return announced_gen_; }
    /// @brief Ranked hosts of a slot, in order.
    wire::candidate_list ranked(slot_index slot) const;

private:
    struct peer {
        wire::candidate address;
        // In the configuration and not out.
        bool is_configured = true;
        // The peer acknowledged this host's bitmap of announced_gen_.
        bool has_acknowledged = false;
        // Generation of the newest bitmap received. Without a bitmap, the peer
        // may own flows of every slot.
        std::optional<generation> gen;
        std::uint64_t digest = 0;
        wire::slot_bitmap slots;
    };

    // The ranked hosts at one digest.
    struct ranking {
        std::vector<wire::candidate> hosts;
        std::shared_ptr<const routing::slot_table> table;
    };

    peer* add_unconfigured(const wire::candidate& address);
    bool is_down(process_id id) const { return is_down_ && is_down_(id); }
    bool is_ranked_in(const ranking& hosts_ranking, slot_index slot,
                      process_id id) const;
    bool have_all_acknowledged() const;
    void update_acknowledged_ranking();

    process_id self_;
    is_down_function is_down_;
    bool use_bitmaps_;
    std::unordered_map<process_id, peer> peers_;
    std::shared_ptr<const ranking> current_ranking_;
    // The last ranking that every live peer has acknowledged. A peer that does
    // not acknowledge announcements for long enough is assumed dead.
    std::shared_ptr<const ranking> acknowledged_ranking_;
    // Slots with claims since the last change of the hosts, and between the
    // last two changes. The latter are kept, since a claim that is made with
    // new hosts may arrive before the configuration that has them.
    wire::slot_bitmap claimed_slots_;
    wire::slot_bitmap previously_claimed_slots_;
    // 0 before the first call of set_service().
    std::uint64_t digest_ = 0;
    generation announced_gen_;
    int announcement_count_ = 0;
    time_point next_announcement_;
};

} // namespace arbutusport::flows
