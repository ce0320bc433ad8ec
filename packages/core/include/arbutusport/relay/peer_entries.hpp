// The other entries: who they are, and whose directory is newer. An entry
// that cannot read the store learns the directory from them.
#pragma once

#include <arbutusport/relay/directory.hpp>
#include <arbutusport/relay/messages.hpp>

#include <functional>
#include <map>
#include <vector>

namespace arbutusport::relay {

struct peer_entry_options {
    incarnation run;
    machine_address self;
    data_centre_id data_centre;
    std::vector<machine_address> seeds;
    duration hello_interval = std::chrono::milliseconds(500);
    /// Peers that get a hello in one interval; keeps the traffic of a large
    /// fleet constant a process.
    std::size_t max_hellos = 8;
    /// A peer that is silent for this long is forgotten; seeds are not.
    duration memory = std::chrono::seconds(10);
    /// A peer with an older directory gets ours after this time: its own
    /// reading of the store normally brings it sooner.
    duration behind_limit = std::chrono::milliseconds(400);
};

class peer_entries {
public:
    /// @brief What a hello says of this process.
    struct standing {
        const directory& known;
        bool store_lost = false;
        std::vector<departed_host> departed;
    };
    using send = std::function<void(machine_address, const message&)>;

    peer_entries(peer_entry_options options, send send_message);

    void on_tick(const standing& own, time_point now);
    void on_hello(machine_address from, const peer_hello& it,
                  const standing& own, time_point now);
    /// @brief A complete view, once its last part has arrived.
    std::optional<directory_view> on_part(machine_address from,
                                          const directory_part& it);
    /// @brief Learns of an entry by hearsay.
    void learn(machine_address machine, time_point now);
    /// @brief Some peer has had a newer directory with other contents for
    /// longer than `limit`: this process's own reading is stuck.
    bool is_behind(const directory& known, duration limit,
                   time_point now) const;
    std::vector<machine_address> live(time_point now) const;

private:
    struct peer {
        time_point heard_at;
        time_point hello_at;
        revision as_of;
        std::uint64_t digest = 0;
        // Since when its directory is older than ours, and newer.
        std::optional<time_point> behind_since;
        std::optional<time_point> ahead_since;
        time_point sent_view_at;
        // Parts received so far of the view that they name.
        directory_part receiving;
        std::map<std::uint16_t, bytes> parts;
    };

    peer_hello make_hello(const standing& own, bool is_reply,
                          time_point now) const;
    void compare(peer& it, const directory& known, time_point now) const;
    void send_view(machine_address to, const directory& known) const;

    peer_entry_options options_;
    send send_;
    std::map<machine_address, peer> peers_;
    // The next peer to get a hello, so that all get one in turn.
    machine_address next_;
    time_point round_at_;
};

} // namespace arbutusport::relay
