// Which peers of the service may own flows of a slot. Holds the covering
// invariant: for each live peer that this host has not given up as silent,
// cover() names the peer in every slot in which the peer may own a flow.
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

class peer_cover {
public:
    using down_hook = std::function<bool(process_id)>;

    peer_cover(process_id self, down_hook is_down, bool use_bitmaps)
        : self_(self), is_down_(std::move(is_down)), use_bitmaps_(use_bitmaps) {
    }

    /// @brief Adopts the service's hosts. If they changed, every peer has to
    /// be told the held slots anew.
    void set_service(const records::service& service, generation gen,
                     time_point now);

    /// @brief Tells all peers the held slots anew.
    void announce(generation gen, time_point now);

    /// @brief Forgets every peer's bitmap, so that each is asked again.
    void forget_bitmaps();

    /// @brief A holders message. False if there is no room for an unknown
    /// peer, which must not be answered then.
    bool on_holders(const wire::candidate& from,
                    const wire::holders_body& body);

    /// @brief A peer that another one knows and this one may not: a host that
    /// left the configuration before this one joined it.
    void on_mentioned(const wire::candidate& it);

    /// @brief Live peers outside the configuration, at most `limit`.
    std::vector<wire::candidate> unconfigured(std::size_t limit) const;

    /// @brief Peers that are due to be sent the held slots.
    std::vector<wire::candidate> due(time_point now);

    /// @brief Live peers that may own flows of `slot`.
    std::vector<wire::candidate> cover(slot_index slot) const;

    /// @brief A host claimed a flow of `slot` and may have placed it at any
    /// ranked host, which the bitmaps sent before do not show.
    void on_claim(slot_index slot) { claimed_.set(slot.value()); }

    /// @brief The peer may own flows of `slot`: it said so, or no bitmap from
    /// it at the present hosts is known, or flows were claimed since.
    bool may_hold(slot_index slot, process_id peer) const;

    bool is_configured(process_id peer) const;

    /// @brief A peer did not answer a query. One that the configuration does
    /// not name is forgotten.
    void on_silent(process_id peer);

    /// @brief This host may open flows in `slot`: it is ranked there, and
    /// every live peer knows that.
    bool may_open(slot_index slot) const;

    bool is_ranked(slot_index slot) const;

    std::uint64_t hosts_digest() const { return digest_; }
    generation announced_gen() const { return announced_gen_; }
    /// @brief Ranked hosts of a slot, in order.
    wire::candidate_list ranked(slot_index slot) const;

private:
    struct peer {
        wire::candidate address;
        // Named by the configuration and not out.
        bool is_configured = true;
        // It took this host's bitmap of announced_gen_.
        bool has_taken = false;
        // The newest bitmap received; none means "may hold anything".
        std::optional<generation> gen;
        std::uint64_t digest = 0;
        wire::slot_bitmap slots;
    };

    // The ranked hosts at one digest.
    struct ranking {
        std::vector<wire::candidate> hosts;
        std::shared_ptr<const routing::slot_table> table;
    };

    peer* add_unconfigured(const wire::candidate& it);
    bool is_down(process_id id) const { return is_down_ && is_down_(id); }
    bool ranks(const ranking& it, slot_index slot, process_id id) const;
    bool all_have_taken() const;
    void settle();

    process_id self_;
    down_hook is_down_;
    bool use_bitmaps_;
    std::unordered_map<process_id, peer> peers_;
    std::shared_ptr<const ranking> current_;
    // The last ranking that every live peer knows this host to use.
    std::shared_ptr<const ranking> settled_;
    // Slots with claims since the hosts changed, and since they changed
    // before that: a claim made at the new hosts may arrive before them.
    wire::slot_bitmap claimed_;
    wire::slot_bitmap claimed_before_;
    // 0 before any hosts were adopted.
    std::uint64_t digest_ = 0;
    generation announced_gen_;
    int announcements_ = 0;
    time_point next_announcement_;
};

} // namespace arbutusport::flows
