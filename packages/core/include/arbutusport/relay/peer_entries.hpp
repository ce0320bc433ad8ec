// Table of the other entries and the revisions of their directories. An entry
// that cannot read the store, or reads it slowly, fetches the directory from a
// peer. The messages that an entry sends at rest do not grow with the fleet: an
// interval's hellos go to the successors of a reader and to a few other peers
// in turn.
#pragma once

#include <arbutusport/relay/directory.hpp>
#include <arbutusport/relay/directory_receiver.hpp>
#include <arbutusport/relay/directory_sender.hpp>
#include <arbutusport/relay/events.hpp>
#include <arbutusport/relay/messages.hpp>
#include <arbutusport/relay/reader_election.hpp>

#include <functional>
#include <map>
#include <optional>
#include <utility>
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
    /// Unanswered peers that receive one repeated hello.
    std::size_t max_initial_hellos = 16;
    /// Peers of the own data centre, and of others, that receive a hello in
    /// one interval, in turn.
    std::size_t near_hellos = 2;
    std::size_t remote_hellos = 2;
    /// Known peers of other data centres; a hello reaches each of them within
    /// the retention time.
    std::size_t max_remote_peers = 32;
    /// A peer that neither sends anything nor is seen by another process for
    /// this long is removed unless it is a seed.
    duration retention_time = std::chrono::seconds(10);
    /// A peer that was seen within this time counts as live in the order of
    /// succession.
    duration live_timeout = std::chrono::milliseconds(2500);
    /// A peer that leaves this many hellos in a row unanswered is logged.
    std::uint32_t silent_after_hellos = 3;
    /// If the own directory is older than a peer's for this long, it is
    /// requested from the peer. Reading the store normally updates it sooner.
    duration behind_timeout = std::chrono::milliseconds(500);
    /// Interval between two requests for a directory; doubles while none
    /// arrives, so that requests do not add to the load of a congested link.
    duration request_interval = std::chrono::milliseconds(200);
    duration max_request_interval = std::chrono::seconds(3);
    directory_sender_options sending;
    directory_receiver_options receiving;
};

class peer_entries {
public:
    /// @brief The state of this process that hellos announce.
    struct local_status {
        const directory& known;
        bool store_lost = false;
        bool reads_store = true;
        std::vector<departed_host> departed;
        bool knows_departed = false;
    };
    using send_function = std::function<void(machine_address, const message&)>;

    peer_entries(peer_entry_options options, send_function send_message,
                 std::function<void(const event&)> report);

    void on_tick(const local_status& own, time_point now);
    void on_hello(machine_address from, const peer_hello& it,
                  const local_status& own, time_point now);
    void on_request(machine_address from, const directory& known,
                    time_point now);
    void on_part_request(machine_address from, const directory_part_request& it,
                         const directory& known, time_point now);
    void on_position(machine_address from, const directory_position& it,
                     time_point now);
    /// @brief States the own contents to the entry that reads the store.
    void send_position(machine_address to, const directory& known) const;
    /// @brief Whether this process should read the store for its data centre;
    /// see reader_election.
    bool should_read(bool reads, bool prefers_others, time_point now);
    bool is_elected() const { return election_.is_elected(); }
    /// @brief The entry that reads the store for the data centre, as far as
    /// this one has heard. It may have ended since.
    std::optional<machine_address> reader() const;
    /// @brief Restarts the timeouts after this process was suspended.
    void on_resumed(time_point now) { election_.on_resumed(now); }
    /// @brief Keeps the entries of the data centre up to date; see
    /// directory_sender.
    void push(const directory& known, time_point now);
    /// @brief Requests the whole directory of an entry whose change could not
    /// be adopted.
    void request_from(machine_address from, time_point now);
    /// @brief Returns the complete view once its last part has arrived.
    std::optional<directory_view>
    on_part(machine_address from, const directory_part& it, time_point now);
    /// @brief Adds an entry that another process has recently heard from.
    void add_entry(machine_address machine, time_point now);
    /// @brief Adds an entry of the own data centre that a host process of it
    /// has recently heard from.
    void add_near_entry(machine_address machine, time_point now);
    /// @brief True if a peer has had a newer directory with other contents for
    /// longer than `limit`, and the own one has not changed in that time. Then
    /// reading the store makes no progress.
    bool is_stuck(const directory& known, duration limit, time_point now) const;
    /// @brief The entries that have sent this process at least one hello.
    struct answer_count {
        std::size_t known = 0;
        std::size_t answered = 0;
        /// Those that know every process whose host is no longer registered.
        std::size_t knowing_departed = 0;
    };
    answer_count count_answers() const;
    /// @brief The other entries of the own data centre.
    std::vector<machine_address> near_entries() const;
    /// @brief Returns the entries that received the last round of hellos, once
    /// for each round.
    std::vector<machine_address> take_round_receivers() {
        return std::exchange(round_receivers_, {});
    }
    /// @brief The data centre of an entry; 0 if unknown.
    data_centre_id data_centre_of(machine_address machine) const;

private:
    struct peer {
        time_point known_since;
        time_point heard_at;
        // When this process or another one heard from the peer.
        time_point seen_at;
        incarnation run;
        data_centre_id data_centre;
        revision as_of;
        std::uint64_t digest = 0;
        // 0 in the store's first era, in which `as_of` implies the version.
        std::uint64_t version = 0;
        bool reads_store = false;
        bool answered = false;
        bool knows_departed = false;
        // The peer's program sends hellos without a reader announcement.
        bool predates_announcements = false;
        std::uint32_t unanswered_hellos = 0;
        // The peer was reported as silent.
        bool silent = false;
        // The run in which the peer last stated its position; a peer of an
        // earlier build never does.
        std::optional<incarnation> position_run;
        // The run of the peer, as the reader, that knows the own position.
        std::optional<incarnation> informed_run;
    };

    using peer_map = std::map<machine_address, peer>;

    bool is_near(const peer& it) const {
        return it.data_centre == options_.data_centre;
    }
    static bool is_newer(const peer& it, const directory& known);
    static bool has_same_contents(const peer& it, const directory& known) {
        return it.as_of.era() == known.as_of().era() &&
               it.digest == known.digest();
    }
    bool is_live(const peer& it, time_point now) const {
        return is_near(it) && now - it.seen_at <= options_.live_timeout;
    }
    reader_election::standing own_standing(time_point now) const;
    peer_hello make_hello(const local_status& own, bool is_reply,
                          time_point now) const;
    void send_hello(machine_address to, peer& receiver, peer_hello hello);
    void run_round(const local_status& own, time_point now);
    void forget_lost(time_point now);
    std::vector<machine_address> successors(time_point now) const;
    std::vector<machine_address> next_peers(bool near, machine_address& cursor,
                                            std::size_t count) const;
    void announce_reading(const local_status& own, time_point now);
    void repeat_initial_hellos(const local_status& own, time_point now);
    void on_reader_state(machine_address from, const peer_hello& hello,
                         const local_status& own, time_point now);
    void report_back(machine_address from, peer& sender, time_point now);
    std::vector<machine_address> recently_heard(time_point now) const;
    void request_directory(const local_status& own, time_point now);
    std::optional<machine_address> newer_peer(const directory& known,
                                              time_point now) const;

    peer_entry_options options_;
    send_function send_;
    std::function<void(const event&)> report_;
    peer_map peers_;
    reader_election election_;
    // The next peers to receive a hello; hellos rotate through all peers.
    machine_address next_near_;
    machine_address next_remote_;
    // The number of own announcements, and whether the last one said that
    // this process reads the store.
    std::uint64_t announcements_ = 0;
    bool announced_reading_ = false;
    time_point last_round_at_;
    std::vector<machine_address> round_receivers_;
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
    directory_sender sender_;
    directory_receiver receiver_;
};

} // namespace arbutusport::relay
