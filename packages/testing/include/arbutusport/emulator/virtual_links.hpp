// Simulated network links in virtual time, with delay, loss, duplicates and
// partitions.
#pragma once

#include <arbutusport/base/time.hpp>
#include <arbutusport/emulator/scenario.hpp>
#include <arbutusport/emulator/virtual_time.hpp>

#include <boost/random/mersenne_twister.hpp>

#include <functional>
#include <string>
#include <vector>

namespace arbutusport::emulator {

/// @brief One end of a link.
struct link_end {
    std::string name;
    /// Empty for clients.
    std::string data_centre;
};

class virtual_links {
public:
    virtual_links(link_options options, std::uint64_t seed,
                  virtual_time& clock);

    /// @brief Drops all traffic between names that match `left` and names that
    /// match `right` until `end`.
    void cut(std::vector<std::string> left, std::vector<std::string> right,
             time_point end);
    bool is_cut(const std::string& from, const std::string& to) const;

    /// @brief Sends a datagram, which may be lost, delayed, reordered or
    /// duplicated.
    void datagram(const link_end& from, const link_end& to,
                  const std::function<void()>& arrive);
    /// @brief Sends a message over a connection; it is delayed, but never lost.
    /// Returns false if the link is cut.
    bool stream(const link_end& from, const link_end& to,
                virtual_time::event_function arrive);

private:
    struct cut_link {
        std::vector<std::string> left;
        std::vector<std::string> right;
        time_point end;
    };

    duration delay(const link_end& from, const link_end& to);
    bool chance(double probability);

    link_options options_;
    boost::random::mt19937_64 random_;
    virtual_time& clock_;
    std::vector<cut_link> cuts_;
};

} // namespace arbutusport::emulator
