// What an entry knows of the processes beside hosts: who answers, which host
// lives, how loaded it is.
#pragma once

#include <arbutusport/relay/directory.hpp>
#include <arbutusport/relay/messages.hpp>
#include <arbutusport/relay/owner_search.hpp>
#include <arbutusport/relay/placement.hpp>

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace arbutusport::relay {

struct host_peer_options {
    /// Interval of hellos to each process; load decisions are at most this
    /// old.
    duration hello_interval = std::chrono::milliseconds(400);
    /// Two hellos without an answer, and a round trip.
    duration cut_silence = std::chrono::milliseconds(900);
    /// A process that was silent for three hellos is not used for new flows.
    duration silence_limit = std::chrono::milliseconds(1300);
    /// A host may serve its flows for many seconds after its registration
    /// vanished; the process beside it ends with it. A process without a
    /// registered host is forgotten when it was silent for this long.
    duration departed_silence = std::chrono::seconds(3);
    /// Hosts of the own data centre where a flow is looked for first; some
    /// more than it may be placed at, since ranks move when hosts change.
    std::size_t likely_owners = 8;
    /// After this time an unanswered opening no longer counts.
    duration unanswered_memory = std::chrono::seconds(2);
};

class host_peers {
public:
    struct peer {
        bool registered = true;
        bool heard = false;
        /// Of the registration, until the process reports its own.
        service_tag service;
        data_centre_id data_centre;
        time_point heard_at;
        time_point known_since;
        time_point hello_at;
        load_report report;
        std::uint32_t placed_since = 0;
        std::uint32_t unanswered = 0;
        time_point unanswered_at;
        /// It sent its flows to this run of the entry.
        bool sent_flows = false;
    };

    explicit host_peers(host_peer_options options = {}) : options_(options) {}

    /// @brief Adds the machines of the directory's hosts; others are kept
    /// while they answer.
    void follow(const directory& known, time_point now);
    /// @brief Another entry knows a process without a registered host.
    void learn_departed(const departed_host& it, time_point now);
    /// @brief Those that answered this process lately.
    std::vector<departed_host> departed() const;
    /// @brief Machines whose hello is due; they count as sent.
    std::vector<machine_address> take_due(time_point now);
    void on_report(machine_address from, const load_report& it, time_point now);
    void on_flows(machine_address from, const flows_here& it);
    void on_placed(machine_address machine);
    void on_answered(machine_address machine);
    void on_unanswered(machine_address machine, time_point now);
    /// @brief After a pause of this process nobody counts as silent.
    void on_resumed(time_point now);

    const peer* find(machine_address machine) const;
    bool host_is_dead(machine_address machine) const;
    /// @brief Age of the last report in ms; -1 if there was none.
    std::int64_t report_age_ms(machine_address machine, time_point now) const;
    /// @brief No known process answered two hellos in a row: this machine is
    /// cut off, or nothing can be served anyway.
    bool all_silent(time_point now) const;
    /// @brief Every known process answered a first hello, or is silent.
    bool all_heard(time_point now) const;
    /// @brief Everybody who may own a flow. Likely ones are hosts of the
    /// services that its route names now which have not sent their flows yet,
    /// but a flow stays where it is when a configuration moves its route.
    std::vector<owner_search::target>
    possible_owners(std::span<const service_tag> services, data_centre_id own,
                    std::uint64_t flow_hash) const;
    /// @brief The hosts of a service that may get new flows.
    std::vector<candidate> candidates(const directory& known,
                                      service_id service, data_centre_id own,
                                      time_point now) const;

private:
    void forget_departed(time_point now);
    bool is_reachable(const peer& it, time_point now) const;

    host_peer_options options_;
    std::unordered_map<machine_address, peer> peers_;
};

} // namespace arbutusport::relay
