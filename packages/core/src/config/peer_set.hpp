// The processes that a configuration lists, as peers for gossip.
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

    void follow(const records::snapshot& it);

    /// @brief A peer for a gossip round: 4 of 5 in the own data centre, and
    /// none that is down but for 1 in 10 rounds, through which the sides of
    /// a healed partition find each other.
    std::optional<endpoint>
    pick(std::mt19937_64& random,
         const std::function<bool(process_id)>& is_down) const;

    /// @brief Seeds, then peers in random order.
    std::vector<endpoint> everyone(std::mt19937_64& random) const;

    /// @brief True if fewer than `limit` live processes of the data centre
    /// come before this one: entries before hosts, whose control traffic
    /// holds ownership queries as well, then the lower rendezvous score.
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
    std::vector<peer> near_;
    std::vector<peer> far_;
    // Processes of the own data centre that come before this one as readers;
    // all of them if this one is not listed.
    std::vector<process_id> ahead_;
    bool is_listed_ = false;
};

} // namespace arbutusport::config
