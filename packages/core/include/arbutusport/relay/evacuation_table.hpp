// The data centres that the operator has requested to evacuate, as one process
// knows them, and the position of the store up to which it knows them.
#pragma once

#include <arbutusport/base/time.hpp>
#include <arbutusport/relay/directory.hpp>
#include <arbutusport/relay/messages.hpp>

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

private:
    struct state {
        revision at;
        bool evacuated = false;
    };

    void set(data_centre_id data_centre, state it);

    revision complete_until_;
    // One state for each data centre that was ever evacuated. Bounded, since
    // another writer may add names without end.
    std::map<data_centre_id, state> states_;
};

} // namespace arbutusport::relay
