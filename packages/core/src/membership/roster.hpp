// The members of a configuration and the order in which they are probed.
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
    /// The configuration drains the host or takes it out.
    bool config_leaving = false;
    /// Set while probes go unanswered or a suspicion stands; the member is
    /// down once this lasts for the suspicion time-out.
    std::optional<time_point> unanswered_since;

    /// True if this process itself got no answer.
    bool unanswered_here = false;

    void answered() {
        unanswered_since.reset();
        unanswered_here = false;
    }
    bool is_down() const { return event.state == member_state::down; }
};

class roster {
public:
    explicit roster(process_id self) : self_(self) {}

    /// @brief Members that stay keep their state. Returns the removed ones.
    std::vector<process_id> follow(const records::snapshot& it);

    member* find(process_id id);
    const member* find(process_id id) const;
    std::size_t size() const { return members_.size(); }
    /// @brief True if this process is an entry, or probes as entries do.
    bool probes_any() const { return probes_any_; }
    std::unordered_map<process_id, member>& all() { return members_; }
    const std::unordered_map<process_id, member>& all() const {
        return members_;
    }

    /// @brief The next member after this process, in the order of ids, that
    /// is neither down nor suspected. Every member thus has one process that
    /// probes it in each interval. Null if there is none.
    member* successor();

    /// @brief Up to `n` different members that are not down, never this
    /// process nor `except`.
    std::vector<process_id> sample(std::size_t n, process_id except,
                                   std::mt19937_64& random) const;

private:
    void set_group(const records::snapshot& it);

    process_id self_;
    bool probes_any_ = false;
    std::unordered_map<process_id, member> members_;
    // Every member but this process, sorted.
    std::vector<process_id> others_;
    // The members that probe one another, this process among them, sorted.
    std::vector<process_id> group_;
};

} // namespace arbutusport::membership
