// The members that a configuration lists and the order in which this process
// probes them.
#pragma once

#include <arbutusport/base/time.hpp>
#include <arbutusport/membership/membership.hpp>

#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace arbutusport::membership {

struct member {
    member_event event;
    endpoint packets;
    /// The configuration sets the host to draining or out.
    bool config_leaving = false;
    /// Set while probes are unanswered or the member is suspected. The member
    /// is down once this lasts for the suspicion time-out.
    std::optional<time_point> unanswered_since;

    /// True if a probe by this process is unanswered.
    bool has_unanswered_probe = false;

    void clear_suspicion() {
        unanswered_since.reset();
        has_unanswered_probe = false;
    }
    bool is_down() const { return event.state == member_state::down; }
};

class roster {
public:
    explicit roster(process_id self) : self_(self) {}

    /// @brief Replaces the members with those of `snapshot` and returns the
    /// removed ones. Members in both keep their state.
    std::vector<process_id> update(const records::snapshot& snapshot);

    member* find(process_id id);
    const member* find(process_id id) const;
    std::size_t size() const { return members_.size(); }
    /// @brief True if this process probes members of every service: it is an
    /// entry, or the only host of its service.
    bool probes_all_services() const { return probes_all_services_; }
    std::unordered_map<process_id, member>& all() { return members_; }
    const std::unordered_map<process_id, member>& all() const {
        return members_;
    }

    /// @brief Returns the next member of the probe group after this process, in
    /// the order of ids, that is neither down nor suspected; null if there is
    /// none. One process thus probes each member in each interval.
    member* successor();

    /// @brief Returns up to `n` different random members that are not down.
    /// This process and `except` are never among them.
    std::vector<process_id> sample(std::size_t n, process_id except,
                                   std::mt19937_64& random) const;

private:
    void update_probe_group(const records::snapshot& snapshot);

    process_id self_;
    bool probes_all_services_ = false;
    std::unordered_map<process_id, member> members_;
    // All members except this process, sorted by id.
    std::vector<process_id> other_members_;
    // The members that probe one another, including this process, sorted by id.
    std::vector<process_id> probe_group_;
};

} // namespace arbutusport::membership
