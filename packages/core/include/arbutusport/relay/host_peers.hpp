// An entry's table of the relay processes on host machines: which of them
// answer, which hosts are alive, and their load.
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
    /// Interval of hellos to each process; it bounds the age of load figures.
    duration hello_interval = std::chrono::milliseconds(400);
    /// Two hellos without an answer, and a round trip.
    duration isolation_timeout = std::chrono::milliseconds(900);
    /// A process that has not answered three hellos receives no new flows.
    duration silence_timeout = std::chrono::milliseconds(1300);
    /// A host may serve its flows for many seconds after its registration
    /// vanished; the relay process on its machine ends with it. A process
    /// without a registered host is removed after this time without a report.
    duration departed_timeout = std::chrono::seconds(3);
    /// Hosts of the own data centre that a search contacts first. Somewhat
    /// more than the hosts among which a flow is placed, since ranks shift when
    /// hosts are added or removed.
    std::size_t likely_owners = 8;
    /// After this time an unanswered opening no longer counts.
    duration unanswered_retention = std::chrono::seconds(2);
};

class host_peers {
public:
    struct peer {
        bool registered = true;
        bool has_reported = false;
        /// Taken from the registration until the process reports its own.
        service_tag service;
        data_centre_id data_centre;
        time_point heard_at;
        time_point known_since;
        time_point hello_at;
        load_report report;
        std::uint32_t placed_since = 0;
        std::uint32_t unanswered = 0;
        time_point unanswered_at;
        /// The process has sent its flows to this entry process.
        bool sent_flows = false;
    };

    explicit host_peers(host_peer_options options = {}) : options_(options) {}

    /// @brief Adds the machines of the directory's hosts; machines that are no
    /// longer registered are kept while they answer.
    void update_from_directory(const directory& known, time_point now);
    /// @brief Adds a process without a registered host that another entry
    /// reported.
    void add_departed(const departed_host& it, time_point now);
    /// @brief Processes without a registered host that still answer this
    /// entry.
    std::vector<departed_host> departed() const;
    /// @brief Returns the machines whose hello is due and marks these hellos
    /// as sent.
    std::vector<machine_address> take_due_hellos(time_point now);
    void on_report(machine_address from, const load_report& it, time_point now);
    void on_flows(machine_address from, const owned_flows& it);
    void on_placed(machine_address machine);
    void on_answered(machine_address machine);
    void on_unanswered(machine_address machine, time_point now);
    /// @brief Restarts the timeouts of all peers after this process was
    /// suspended.
    void on_resumed(time_point now);

    const peer* find(machine_address machine) const;
    bool host_is_dead(machine_address machine) const;
    /// @brief Age of the last report in ms; -1 if there was none.
    std::int64_t report_age_ms(machine_address machine, time_point now) const;
    /// @brief True if no known process answered two hellos in a row. Then this
    /// machine is disconnected, or no host can serve.
    bool is_isolated(time_point now) const;
    /// @brief True if every known process has answered its first hello or has
    /// exceeded the silence timeout.
    bool has_initial_reports(time_point now) const;
    /// @brief Returns all processes whose host may own a flow. Likely owners
    /// are hosts of the services that its route names now and that have not
    /// sent their flows yet. Other hosts are included because a flow keeps its
    /// host when a new configuration changes its route.
    std::vector<owner_search::target>
    possible_owners(std::span<const service_tag> services, data_centre_id own,
                    std::uint64_t flow_hash) const;
    /// @brief Returns the hosts of a service that may receive new flows.
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
