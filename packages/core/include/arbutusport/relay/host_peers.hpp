// An entry's table of the relay processes on host machines: which of them
// answer, which hosts are alive, and their load. An entry exchanges hellos and
// reports with the processes that it follows: those of its own data centre, a
// few of each service in others, where it may place flows, and those whose host
// is no longer registered. The remaining processes are known by address only,
// so that the traffic between data centres does not grow as entries x hosts.
#pragma once

#include <arbutusport/relay/directory.hpp>
#include <arbutusport/relay/hello_choice.hpp>
#include <arbutusport/relay/messages.hpp>
#include <arbutusport/relay/owner_search.hpp>
#include <arbutusport/relay/placement.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace arbutusport::relay {

struct host_peer_options {
    data_centre_id data_centre;
    /// Interval of hellos to each followed process of the own data centre, and
    /// of others; it bounds the age of load figures.
    duration hello_interval = std::chrono::milliseconds(400);
    duration remote_hello_interval = std::chrono::milliseconds(800);
    /// A round trip to another data centre, and the delay of a busy process.
    duration answer_delay = std::chrono::milliseconds(100);
    /// A machine is isolated if no process answered this many hellos.
    int isolation_hellos = 2;
    /// A process that has not answered this many hellos receives no new flows.
    int silence_hellos = 3;
    /// Followed hosts of each service in other data centres, while the hosts
    /// of the own one have capacity. Equals the number of remote hosts among
    /// which a flow is placed.
    std::size_t remote_hosts = 6;
    /// Requests per slot at the hosts of the own data centre above which more
    /// remote hosts are followed, and above which all are.
    double low_load = 0.4;
    double high_load = 0.8;
    /// Interval at which the followed hosts are selected anew.
    duration selection_interval = std::chrono::milliseconds(500);
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
    /// The deployment limits the opening packets of cold hosts.
    bool limits_cold_hosts = false;
    /// Whether no new flow may be placed in the data centre.
    std::function<bool(data_centre_id)> is_evacuated = [](data_centre_id) {
        return false;
    };
};

/// @brief Number of flows whose first request the last report of their host
/// cannot include. The requests follow the opening by about a round trip.
class recent_count {
public:
    void add(time_point now);
    void subtract(std::uint32_t n);
    /// @brief Keeps what was counted just before the report.
    void on_report(time_point now);
    void clear() { *this = {}; }
    std::uint32_t value() const { return total_; }

private:
    std::uint32_t total_ = 0;
    /// Part of `total_` since `newest_from_`.
    std::uint32_t newest_ = 0;
    time_point newest_from_;
};

class host_peers {
public:
    struct peer {
        bool registered = true;
        bool draining = false;
        /// Hellos are sent to the process.
        bool followed = true;
        /// The process has reported since it is followed.
        bool has_reported = false;
        /// Taken from the registration until the process reports its own.
        service_tag service;
        /// `service` is from a report, of any run of the process.
        bool has_named_service = false;
        data_centre_id data_centre;
        time_point heard_at;
        /// Another host has registered on the machine since the last report,
        /// whose state of the host is of the former one.
        bool has_new_host = false;
        /// Since when the process is followed, or unregistered.
        time_point known_since;
        time_point hello_at;
        load_report report;
        /// Flows that this entry placed there and that were not announced, and
        /// those that were announced, since the last report.
        recent_count placed;
        recent_count opened;
        std::uint32_t unanswered = 0;
        time_point unanswered_at;
        /// The process has sent its flows to this entry process.
        bool sent_flows = false;
        hello_choice hellos;
        /// Registration and start of the host, to notice one that has started
        /// anew. It may keep its key.
        std::pair<host_key, unix_milliseconds> registered_as;
        /// Flows placed there since the last report, and whether the process
        /// has returned an opening packet since; for the room of a cold host.
        std::uint32_t openings_since = 0;
        bool returned_since = false;
        /// Since when both count if the process is not followed: they expire
        /// after one interval of reports, since none arrive.
        time_point openings_from;
    };

    explicit host_peers(host_peer_options options = {}) : options_(options) {}

    /// @brief Adds the machines of the directory's hosts; machines that are no
    /// longer registered are kept while they answer.
    void update_from_directory(const directory& known, time_point now);
    /// @brief Updates one machine whose process has named another service than
    /// was known; see on_report().
    void update_from_directory(const directory& known, machine_address machine);
    /// @brief The record that describes the host on the machine; null if there
    /// is none.
    const directory::host* record_of(const directory& known,
                                     machine_address machine) const;
    /// @brief False if the process on the machine has named another service.
    bool may_describe(const host_record& it, machine_address machine) const;
    /// @brief Adds a process without a registered host that another entry
    /// reported.
    void add_departed(const departed_host& it, time_point now);
    /// @brief Selects the hosts of other data centres to follow, by rank for
    /// the own data centre, so that its entries follow the same ones. Hosts
    /// that do not answer, are draining or in an evacuated data centre do not
    /// count. Called by take_due_hellos().
    void select_followed(const directory& known, time_point now);
    /// @brief Processes without a registered host that still answer this
    /// entry.
    std::vector<departed_host> departed() const;
    /// @brief Returns the machines whose hello is due and marks these hellos
    /// as sent.
    std::vector<machine_address> take_due_hellos(const directory& known,
                                                 time_point now);
    /// @brief The kinds of the next hello to the process.
    hello_kinds next_hello(machine_address machine, time_point now);
    /// @brief Makes the hellos to the processes of a data centre due at once.
    void hasten_hellos(data_centre_id data_centre);
    /// @brief Returns true if the machine must be updated from the directory:
    /// the process names its service for the first time without a registered
    /// host, or another one than was known.
    bool on_report(machine_address from, const load_report& it, time_point now);
    void on_flows(machine_address from, const owned_flows& it, time_point now);
    void on_placed(machine_address machine, time_point now);
    void on_answered(machine_address machine);
    /// @brief The process has returned an opening packet. A cold host then
    /// counts as without room until its next report, or for the interval of
    /// reports if it is not followed.
    void on_returned(machine_address machine, time_point now);
    void on_unanswered(machine_address machine, time_point now);
    /// @brief Restarts the timeouts of all peers after this process was
    /// suspended.
    void on_resumed(time_point now);

    const peer* find(machine_address machine) const;
    bool host_is_dead(machine_address machine) const;
    /// @brief Age of the last report in ms; -1 if there was none.
    std::int64_t report_age_ms(machine_address machine, time_point now) const;
    /// @brief True if no followed process answered two hellos in a row. Then
    /// this machine is disconnected, or no host can serve.
    bool is_isolated(time_point now) const;
    /// @brief True if every followed process has answered its first hello or
    /// has exceeded the silence timeout.
    bool has_initial_reports(time_point now) const;
    /// @brief Returns all processes whose host may own a flow. A process that
    /// reported its host as dead is among them while it answers, because a
    /// newer report may have been lost or overtaken. Likely owners are hosts of
    /// the services that its route names now and that have not sent their flows
    /// yet. Other hosts are included because a flow keeps its host when a new
    /// configuration changes its route.
    std::vector<owner_search::target>
    possible_owners(std::span<const service_tag> services,
                    std::uint64_t flow_hash, time_point now) const;
    /// @brief Flows at the hosts of the data centre, as last reported by the
    /// followed processes.
    std::uint64_t reported_flows(data_centre_id data_centre) const;
    /// @brief Returns the followed hosts of a service that may receive new
    /// flows; all of its hosts if none of the followed ones is reachable and
    /// has room left.
    std::vector<candidate> candidates(const directory& known,
                                      service_id service, time_point now) const;

private:
    struct service_hosts;

    void register_host(peer& one, const directory::host& it);
    static bool host_is_dead(const peer& it);
    void ask_unrouted(const directory& known, time_point now);
    void forget_departed(time_point now);
    void follow(peer& it, bool followed, time_point now);
    bool has_expired_openings(const peer& it, time_point now) const;
    void expire_openings(peer& it, time_point now) const;
    std::size_t remote_count(const service_hosts& it) const;
    void choose_remote(const service_hosts& here,
                       std::unordered_set<machine_address>& chosen) const;
    duration interval(const peer& it) const;
    duration silence_timeout(const peer& it) const;
    bool is_reachable(const peer& it, time_point now) const;
    std::optional<candidate> make_candidate(const directory& known,
                                            const directory::host& host,
                                            time_point now) const;
    std::uint32_t opening_room(const directory& known,
                               const directory::host& host, const peer& process,
                               time_point now) const;

    host_peer_options options_;
    std::unordered_map<machine_address, peer> peers_;
    time_point selected_at_;
    // The processes of hosts without a route were asked whether they run.
    bool asked_unrouted_ = false;
};

} // namespace arbutusport::relay
