// The other entries: who they are, and whose directory is newer. An entry
// that cannot read the store, or whose reading is slow, takes the directory
// from one of them.
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
    /// At its start a process repeats hellos to entries that have not answered
    /// this often, for this long.
    duration greeting_interval = std::chrono::milliseconds(100);
    duration greeting_time = std::chrono::milliseconds(400);
    /// Peers that get a hello in one interval; keeps the traffic of a large
    /// fleet constant a process.
    std::size_t max_hellos = 8;
    /// A peer that is silent for this long is forgotten; seeds are not.
    duration memory = std::chrono::seconds(10);
    /// After this silence of a peer the log says so. In a large fleet a peer
    /// gets a hello in one of several intervals.
    duration peer_silence = std::chrono::seconds(3);
    /// A directory that is older than a peer's for this long is asked for;
    /// the own reading of the store normally brings it sooner.
    duration behind_limit = std::chrono::milliseconds(500);
    /// A reader that is silent for longer is replaced: two hellos were missed.
    duration reader_silence = std::chrono::milliseconds(1200);
    /// Changes within this time are pushed together.
    duration push_interval = std::chrono::milliseconds(40);
    /// Between two requests for a directory; doubles while none arrives, so
    /// that a full link is not filled further.
    duration request_interval = std::chrono::milliseconds(200);
    duration max_request_interval = std::chrono::seconds(3);
};

class peer_entries {
public:
    /// @brief What a hello says of this process.
    struct standing {
        const directory& known;
        bool store_lost = false;
        bool reads_store = true;
        std::vector<departed_host> departed;
    };
    using send = std::function<void(machine_address, const message&)>;

    peer_entries(peer_entry_options options, send send_message,
                 std::function<void(const event&)> report);

    void on_tick(const standing& own, time_point now);
    void on_hello(machine_address from, const peer_hello& it,
                  const standing& own, time_point now);
    void on_request(machine_address from, const directory& known);
    /// @brief Sends hellos at once, because what they say has changed.
    void hurry() { round_at_ = {}; }
    /// @brief Whether this process should read the store for its data
    /// centre: no other entry there reads it with success, or none with a
    /// higher rank while the own reading succeeds too.
    bool should_read(bool store_lost, time_point now) const;
    /// @brief A reader of the data centre said within a hello's time that it
    /// has the same directory.
    bool reader_agrees(const directory& known, time_point now) const;
    /// @brief Sends a changed directory to the entries of the data centre.
    void push(const directory& known, time_point now);
    /// @brief A complete view, once its last part has arrived.
    std::optional<directory_view> on_part(machine_address from,
                                          const directory_part& it);
    /// @brief Learns of an entry by hearsay.
    void learn(machine_address machine, time_point now);
    /// @brief Some peer has a newer directory with other contents, and the
    /// own one has not moved for `limit`: the own reading is stuck.
    bool is_stuck(const directory& known, duration limit, time_point now) const;
    std::vector<machine_address> live(time_point now) const;
    /// @brief Every known entry has answered this process at least once.
    bool all_answered() const;

private:
    struct peer {
        time_point heard_at;
        data_centre_id data_centre;
        revision as_of;
        std::uint64_t digest = 0;
        bool reads_store = false;
        bool answered = false;
        // It answered once and has been silent since.
        bool silent = false;
        // Parts received so far of the view that they name.
        directory_part receiving;
        std::map<std::uint16_t, bytes> parts;
    };

    peer_hello make_hello(const standing& own, bool is_reply,
                          time_point now) const;
    void send_hellos(const standing& own, time_point now);
    void report_silent(time_point now);
    void greet_unanswered(const standing& own, time_point now);
    void request_directory(const standing& own, time_point now);
    void send_view(machine_address to, const directory& known,
                   bool with_routes) const;
    std::optional<machine_address> newer_peer(const directory& known,
                                              time_point now) const;

    peer_entry_options options_;
    send send_;
    std::function<void(const event&)> report_;
    std::map<machine_address, peer> peers_;
    // The next peer to get a hello, so that all get one in turn.
    machine_address next_;
    time_point round_at_;
    // The first tick, and the last hello to those that have not answered.
    std::optional<time_point> started_at_;
    time_point greeted_at_;
    // The own directory's revision, and when it last moved.
    revision own_as_of_;
    time_point moved_at_;
    // Since when some peer has been ahead.
    std::optional<time_point> behind_since_;
    time_point request_due_;
    duration request_pause_{};
    // What was pushed last.
    std::uint64_t pushed_digest_ = 0;
    revision pushed_routing_;
    time_point pushed_at_;
};

} // namespace arbutusport::relay
