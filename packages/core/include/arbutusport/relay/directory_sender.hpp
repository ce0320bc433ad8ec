// Sending side of the directory between entries. The reader of a data centre
// keeps the others up to date: each gets what changed since the state that it
// has confirmed, again until it has confirmed the latest one. Whole directories
// are sent at a limited rate, to one entry after the other, so that a narrow
// link does not lose them.
#pragma once

#include <arbutusport/relay/byte_budget.hpp>
#include <arbutusport/relay/directory.hpp>
#include <arbutusport/relay/events.hpp>
#include <arbutusport/relay/messages.hpp>

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace arbutusport::relay {

struct directory_sender_options {
    /// Changes within this time are sent together.
    duration push_interval = std::chrono::milliseconds(40);
    /// Send limit of whole directories. A burst fits the queue of a link of 10
    /// Mbit/s.
    byte_budget_options budget{.burst = std::chrono::milliseconds(50)};
    /// A change that is not confirmed is sent again after this time, which
    /// doubles up to the maximum. Covers a round trip within a data centre and
    /// a pause of a process on a CPU-limited core.
    duration answer_timeout = std::chrono::milliseconds(150);
    duration max_answer_timeout = std::chrono::milliseconds(1200);
    /// The same for a whole directory, whose recipient requests lost parts.
    duration transfer_timeout = std::chrono::milliseconds(600);
    /// After this many repetitions of one state the recipient has to request
    /// the directory.
    std::size_t max_repeats = 6;
    /// States of which a change can be computed.
    std::size_t kept_states = 8;
};

/// @brief Not thread-safe.
class directory_sender {
public:
    /// @brief An entry to be kept up to date.
    struct recipient {
        machine_address machine;
        /// The contents that it was last known to have.
        revision as_of;
        std::uint64_t digest = 0;
        /// It confirms what it adopts. Others get each state once.
        bool confirms = false;
        /// It reads directory_delta.
        bool reads_changes = true;
    };

    using send_function = std::function<void(machine_address, const message&)>;

    directory_sender(directory_sender_options options,
                     send_function send_message,
                     std::function<void(const event&)> report)
        : options_(options), send_(std::move(send_message)),
          report_(std::move(report)), budget_(options.budget) {}

    /// @brief Sends the directory to those that lack it. Must be called with
    /// each tick by the entry that reads the store.
    void push(const directory& known, std::span<const recipient> recipients,
              time_point now);
    /// @brief Handles the request for a whole directory.
    void on_request(machine_address from, const directory& known,
                    time_point now);
    void on_part_request(machine_address from, const directory_part_request& it,
                         const directory& known, time_point now);
    /// @brief An entry has stated its contents, so that what it lacks need not
    /// wait for the timeout.
    void on_position(machine_address from);
    /// @brief Sends what the limit allows. Must be called with each tick.
    void on_tick(time_point now);
    void forget(machine_address machine);

private:
    // Contents of the directory at one time.
    struct state {
        revision as_of;
        std::uint64_t digest = 0;
        revision routing_at;
        std::shared_ptr<const routing_document> routing;
        // By their keys.
        std::vector<directory_view::host> hosts;
        // The encoded contents without and with routes; empty before they are
        // needed.
        std::array<bytes, 2> encoded;
    };
    using state_ptr = std::shared_ptr<state>;

    struct transfer {
        state_ptr from;
        bool with_routes = true;
        std::size_t count = 0;
        // The parts to be sent, the next one last.
        std::vector<std::uint16_t> left;
        bool has_begun = false;
    };

    struct progress {
        // The last state that was sent.
        state_ptr sent;
        std::size_t repeats = 0;
        time_point due;
        std::optional<transfer> sending;
    };

    bool is_latest(revision as_of, std::uint64_t digest) const;
    void keep(const directory& known);
    state_ptr find_state(revision as_of, std::uint64_t digest) const;
    void send_latest(const recipient& it, progress& to, time_point now);
    void send_unconfirmed(const recipient& it, progress& to);
    bool send_change(const recipient& it, const state& base);
    void begin_transfer(machine_address to, progress& it, const state_ptr& from,
                        bool with_routes);
    static const bytes& encoded(state& it, bool with_routes);
    static std::optional<message>
    change_between(const state& base, const state& last, bool wants_position);

    directory_sender_options options_;
    send_function send_;
    std::function<void(const event&)> report_;
    byte_budget budget_;
    // Oldest first.
    std::deque<state_ptr> states_;
    time_point pushed_at_;
    // Changes to the latest state by the digest of their base, and whether
    // they want a position; empty if they do not fit into one datagram.
    std::map<std::pair<std::uint64_t, bool>, std::optional<message>> changes_;
    std::map<machine_address, progress> progress_;
    // Recipients of transfers, in order.
    std::deque<machine_address> queue_;
};

} // namespace arbutusport::relay
