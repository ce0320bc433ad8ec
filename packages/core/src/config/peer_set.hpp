// The gossip peers that a configuration lists, and the choice of readers.
#pragma once

#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/base/ids.hpp>
#include <arbutusport/records/records.hpp>

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace arbutusport::config {

class peer_set {
public:
    peer_set(process_id self, std::string data_centre,
             std::vector<endpoint> seeds);

    /// @brief Replaces the peers with those that `snapshot` lists.
    void update(const records::snapshot& snapshot);

    /// @brief Picks a random peer for a gossip round, 4 of 5 times from the own
    /// data centre. Down peers are eligible in 1 of 10 rounds only, so that the
    /// sides of a healed partition reconnect. Null if there is no peer.
    std::optional<endpoint>
    pick(std::mt19937_64& random,
         const std::function<bool(process_id)>& is_down) const;

    /// @brief Returns the seeds, then all peers in random order.
    std::vector<endpoint> startup_order(std::mt19937_64& random) const;

    /// @brief True if fewer than `limit` live processes of the data centre rank
    /// before this one. Entries rank before hosts, because control traffic of
    /// hosts includes ownership queries as well. Within each group the lower
    /// rendezvous score ranks first.
    bool is_reader(std::size_t limit,
                   const std::function<bool(process_id)>& is_down) const;

private:
    struct peer {
        process_id id;
        endpoint control;
    };

    process_id self_;
    std::string data_centre_;
    std::vector<endpoint> seeds_;
    std::vector<peer> local_peers_;
    std::vector<peer> remote_peers_;
    // Processes of the own data centre that rank before this one as readers.
    std::vector<process_id> preferred_readers_;
    bool is_listed_ = false;
};

} // namespace arbutusport::config
