// Table of the other entries and the revisions of their directories. An entry
// that cannot read the store, or reads it slowly, fetches the directory from a
// peer.
#pragma once

#include <arbutusport/relay/directory.hpp>
#include <arbutusport/relay/events.hpp>
#include <arbutusport/relay/messages.hpp>

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace arbutusport::relay {

struct peer_entry_options {
    incarnation run;
    machine_address self;
    data_centre_id data_centre;
    std::vector<machine_address> seeds;
    duration hello_interval = std::chrono::milliseconds(500);
    /// After its start a process repeats hellos to entries that have not
    /// answered: at this interval, for this period.
    duration initial_hello_interval = std::chrono::milliseconds(100);
    duration initial_hello_period = std::chrono::milliseconds(400);
    /// Peers that receive a hello in one interval; keeps the traffic per
    /// process constant in a large fleet.
    std::size_t max_hellos = 8;
    /// A peer that sends nothing for this long is removed unless it is a seed.
    duration retention_time = std::chrono::seconds(10);
    /// A peer that sends nothing for this long is logged. In a large fleet a
    /// peer receives a hello only in one of several intervals.
    duration peer_silence_timeout = std::chrono::seconds(3);
    /// If the own directory is older than a peer's for this long, it is
    /// requested from the peer. Reading the store normally updates it sooner.
    duration behind_timeout = std::chrono::milliseconds(500);
    /// A reader that sends nothing for longer is replaced; covers two missed
    /// hellos.
    duration reader_timeout = std::chrono::milliseconds(1200);
    /// Changes within this time are pushed together.
    duration push_interval = std::chrono::milliseconds(40);
    /// Interval between two requests for a directory; doubles while none
    /// arrives, so that requests do not add to the load of a congested link.
    duration request_interval = std::chrono::milliseconds(200);
    duration max_request_interval = std::chrono::seconds(3);
};

class peer_entries {
public:
    /// @brief The state of this process that hellos announce.
    struct local_status {
        const directory& known;
        bool store_lost = false;
        bool reads_store = true;
        std::vector<departed_host> departed;
    };
    using send_function = std::function<void(machine_address, const message&)>;

    peer_entries(peer_entry_options options, send_function send_message,
                 std::function<void(const event&)> report);

    void on_tick(const local_status& own, time_point now);
    void on_hello(machine_address from, const peer_hello& it,
                  const local_status& own, time_point now);
    void on_request(machine_address from, const directory& known);
    /// @brief Makes the next tick send hellos, because their contents have
    /// changed.
    void request_hellos() { last_round_at_ = {}; }
    /// @brief Whether this process should read the store for its data centre.
    /// If `store_lost` is set, it should only if no other entry there reads the
    /// store successfully; otherwise only if no such entry has a higher rank.
    bool should_read(bool store_lost, time_point now) const;
    /// @brief True if a reader of the data centre announced the same directory
    /// within the last hello interval.
    bool reader_agrees(const directory& known, time_point now) const;
    /// @brief Sends a changed directory to the entries of the data centre.
    void push(const directory& known, time_point now);
    /// @brief Returns the complete view once its last part has arrived.
    std::optional<directory_view> on_part(machine_address from,
                                          const directory_part& it);
    /// @brief Adds an entry that another process named.
    void add_entry(machine_address machine, time_point now);
    /// @brief True if a peer has had a newer directory with other contents for
    /// longer than `limit`, and the own one has not changed in that time. Then
    /// reading the store makes no progress.
    bool is_stuck(const directory& known, duration limit, time_point now) const;
    std::vector<machine_address> live_peers(time_point now) const;
    /// @brief True if every known entry has sent this process at least one
    /// hello.
    bool all_answered() const;

private:
    struct peer {
        time_point heard_at;
        data_centre_id data_centre;
        revision as_of;
        std::uint64_t digest = 0;
        bool reads_store = false;
        bool answered = false;
        // The peer answered once and was later reported as silent.
        bool silent = false;
        // The view being received, and its parts so far.
        directory_part receiving;
        std::map<std::uint16_t, bytes> parts;
    };

    peer_hello make_hello(const local_status& own, bool is_reply,
                          time_point now) const;
    void send_hellos(const local_status& own, time_point now);
    void report_silent(time_point now);
    void repeat_initial_hellos(const local_status& own, time_point now);
    void request_directory(const local_status& own, time_point now);
    void send_view(machine_address to, const directory& known,
                   bool with_routes) const;
    std::optional<machine_address> newer_peer(const directory& known,
                                              time_point now) const;

    peer_entry_options options_;
    send_function send_;
    std::function<void(const event&)> report_;
    std::map<machine_address, peer> peers_;
    // The next peer to receive a hello; hellos rotate through all peers.
    machine_address next_;
    time_point last_round_at_;
    // The first tick, and the last repeated hello to entries that have not
    // answered.
    std::optional<time_point> started_at_;
    time_point initial_hello_at_;
    // The own directory's revision, and when it last changed.
    revision own_as_of_;
    time_point own_changed_at_;
    // Since when a peer has had a newer directory.
    std::optional<time_point> behind_since_;
    time_point request_due_;
    duration request_pause_{};
    // The directory that was last pushed.
    std::uint64_t pushed_digest_ = 0;
    revision pushed_routing_;
    time_point pushed_at_;
};

} // namespace arbutusport::relay
