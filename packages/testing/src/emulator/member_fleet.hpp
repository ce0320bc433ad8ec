// Simulates membership tables that exchange probes in virtual time without
// delay.
#pragma once

#include <arbutusport/emulator/config_fleet.hpp>
#include <arbutusport/membership/membership.hpp>

#include <cstddef>
#include <memory>
#include <unordered_map>
#include <vector>

namespace arbutusport::emulator {

class member_fleet {
public:
    member_fleet(const record_sizes& sizes, std::uint64_t seed);

    std::size_t size() const { return members_.size(); }
    void advance(duration time);
    /// @brief Bytes sent so far by all members, including the packet, UDP and
    /// IPv4 headers.
    std::size_t sent_bytes() const { return sent_bytes_; }
    std::size_t sent_messages() const { return sent_messages_; }

    void stop(std::size_t i) { members_[i].table.reset(); }
    /// @brief Starts a new process with a higher incarnation number.
    void start(std::size_t i);
    /// @brief Drops messages between members of this data centre and others.
    /// An empty name ends the partition.
    void isolate(std::string data_centre);

private:
    struct member {
        process_id id;
        endpoint packets;
        std::string data_centre;
        std::uint64_t run = 0;
        std::unique_ptr<membership::member_table> table;
    };

    void add(process_id id, const endpoint& packets,
             const std::string& data_centre);
    void deliver(const member& from, const membership::actions& sent);

    std::uint64_t seed_;
    records::snapshot_ptr snapshot_;
    std::vector<member> members_;
    std::unordered_map<endpoint, std::size_t> index_by_address_;
    std::string isolated_data_centre_;
    time_point now_{};
    std::size_t sent_bytes_ = 0;
    std::size_t sent_messages_ = 0;
};

} // namespace arbutusport::emulator
