// The data centres that the operator has requested to evacuate, as one process
// knows them, and the position of the store up to which it knows them.
#pragma once

#include <arbutusport/base/time.hpp>
#include <arbutusport/relay/directory.hpp>
#include <arbutusport/relay/messages.hpp>

#include <functional>
#include <map>
#include <vector>

namespace arbutusport::relay {

/// @brief Not thread-safe. Requests are ordered by their position: an older
/// change, listing or peer never undoes a newer request or its removal.
///
/// After a restore of the store, requests of the earlier era stay in force
/// until the operator writes the item again or removes it.
class evacuation_table {
public:
    /// States of data centres without hosts that are kept. Another writer may
    /// add names without end; a message with this many fits an Ethernet frame.
    static constexpr std::size_t max_without_hosts = 32;

    evacuation_table() = default;
    /// @brief `has_hosts` tells which data centres have hosts. Their requests
    /// are kept in any number.
    explicit evacuation_table(std::function<bool(data_centre_id)> has_hosts)
        : has_hosts_(std::move(has_hosts)) {}

    /// @brief Adopts a complete listing as of a position; `listed` are the
    /// requests in it. Returns whether the set of evacuated data centres has
    /// changed.
    bool adopt_listing(revision as_of, const std::vector<evacuation>& listed);
    /// @brief Applies one change of the store. Returns whether the set has
    /// changed.
    bool apply(const directory_change& change);
    /// @brief Must be called when all changes between `after` and `as_of` were
    /// applied. Has an effect only if the table is complete up to `after`.
    void advance(revision after, revision as_of);
    /// @brief Adopts a peer's complete table. Returns whether the set has
    /// changed.
    bool adopt_peer(const operator_intent& it);

    /// @brief False until a listing or a peer's table was adopted.
    bool is_known() const { return complete_until_ != revision(); }
    /// @brief Every request up to this position is known.
    revision complete_until() const { return complete_until_; }
    bool is_evacuated(data_centre_id it) const;
    /// @brief Whether the data centre has been evacuated since this process
    /// started, or is evacuated now.
    bool was_evacuated(data_centre_id it) const;
    /// @brief Position of the last change of the data centre's state; 0 if it
    /// was never evacuated.
    revision changed_at(data_centre_id it) const;
    /// @brief Evacuated data centres.
    std::vector<evacuation> list() const;
    /// @brief Ended requests that a peer's table must name: all of them once
    /// the store was restored, since absence from a table of a later era does
    /// not end a request of an earlier one.
    std::vector<evacuation> list_ended() const;
    /// @brief True if no request is or was known.
    bool is_empty() const { return states_.empty(); }
    /// @brief Whether requests have been refused for lack of room since the
    /// last listing. A listing brings those whose data centre has hosts now.
    bool has_refused() const { return has_refused_; }

private:
    struct state {
        revision at;
        bool evacuated = false;
    };

    bool adopt(revision as_of, const std::vector<evacuation>& listed,
               const std::vector<evacuation>& ended);
    bool set(data_centre_id data_centre, state it);
    bool make_room(data_centre_id data_centre);
    revision known_until(store_era era) const;
    void note_complete(revision as_of);

    std::function<bool(data_centre_id)> has_hosts_ = [](data_centre_id) {
        return false;
    };
    revision complete_until_;
    // The position up to which the era before the present one is known.
    revision previous_until_;
    // One state for each data centre that was ever evacuated. At most
    // `max_without_hosts` of them have no hosts when they are added.
    std::map<data_centre_id, state> states_;
    bool has_refused_ = false;
};

/// @brief The requests among the items of a listing.
std::vector<evacuation>
evacuation_requests(const std::vector<directory_change>& items);

} // namespace arbutusport::relay
