// Local copy of routes and hosts: the contents of the platform's store as of
// one revision, and the rules for what counts while the store's contents are
// incomplete: after an outage, and after the store was restored from a copy.
#pragma once

#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/base/ids.hpp>
#include <arbutusport/base/time.hpp>
#include <arbutusport/relay/revision.hpp>
#include <arbutusport/relay/segment.hpp>

#include <boost/container/small_vector.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

namespace arbutusport::relay {

/// @brief Hash of a data centre's name.
using data_centre_id = strong_value<struct data_centre_id_tag, std::uint64_t>;

/// @brief Hash of the key under which a host registered. A restarted host
/// usually has another key.
using host_key = strong_value<struct host_key_tag, std::uint64_t>;

struct weighted_service {
    service_id service;
    std::uint32_t weight = 1;

    friend bool operator==(const weighted_service&,
                           const weighted_service&) = default;
};

/// @brief What callers of a route need, as the operator states it.
struct route_terms {
    /// An answer within this time, from the first attempt, is in time; 0 if
    /// not stated.
    duration target_latency{};
    /// A client gives up after this time; 0 if not stated.
    duration timeout{};
    /// 0 is the highest.
    std::uint8_t priority = 0;

    friend bool operator==(const route_terms&, const route_terms&) = default;
};

/// @brief The services that receive new flows to one address.
struct route {
    endpoint address;
    std::vector<weighted_service> targets;
    /// Not passed on between processes: known to one that has read the route
    /// from the store, otherwise left at its defaults.
    route_terms terms;

    friend bool operator==(const route&, const route&) = default;
};

/// @brief How many opening packets a host of the service bears in a second
/// while it is cold. A rate of 0 means no limit.
struct warmup_limit {
    service_id service;
    duration warmup{};
    double openings_per_second = 0;

    friend bool operator==(const warmup_limit&, const warmup_limit&) = default;
};

/// @brief The part of the operator's configuration that concerns flows.
struct routing_document {
    std::uint64_t version = 0;
    /// An idle flow may be removed after this time.
    duration idle_timeout = std::chrono::seconds(15);
    std::vector<route> routes;
    /// Only services with a limit.
    std::vector<warmup_limit> warmup_limits;
    /// Services whose limit is stated but invalid: the last valid one holds.
    std::vector<service_id> invalid_warmup_limits;
    /// No limit could be read at all; all known ones hold.
    bool warmup_limits_unreadable = false;
};

/// @brief A host as it registered itself.
struct host_record {
    host_key key;
    service_id service;
    /// Where its upstream listens; the relay process on the machine has the
    /// same address.
    endpoint address;
    data_centre_id data_centre;
    bool draining = false;
    std::uint32_t slots = 1;
    /// Remaining warm-up time, during which the host is slow.
    duration warmup_left{};
    /// By the host's clock; 0 if unknown, as in records that an earlier build
    /// has decoded.
    unix_milliseconds started{};

    friend bool operator==(const host_record&, const host_record&) = default;
};

struct host_removed {
    host_key key;
};

/// @brief The operator requests that no new flow is sent to the hosts of the
/// data centre.
struct evacuation_set {
    data_centre_id data_centre;
    /// As the operator wrote it, for the log.
    std::string name = {};
};

struct evacuation_removed {
    data_centre_id data_centre;
};

/// @brief One item of the store and the revision of its last change.
struct directory_change {
    revision at;
    std::variant<routing_document, host_record, host_removed, evacuation_set,
                 evacuation_removed>
        what;
};

/// @brief A copy of the whole directory, as exchanged between peers.
struct directory_view {
    revision as_of;
    revision routing_at;
    /// If false, `routing` is empty and the recipient must already have the
    /// routes of revision `routing_at`.
    bool has_routes = true;
    routing_document routing;
    struct host {
        revision at;
        host_record record;
    };
    std::vector<host> hosts;
};

/// @brief The routes that differ between two configurations.
struct routing_delta {
    revision at;
    std::uint64_t version = 0;
    duration idle_timeout{};
    std::vector<route> changed;
    std::vector<endpoint> removed;
};

/// @brief What differs between two states of the directory.
struct directory_delta {
    revision as_of;
    /// Digests of the states before and after the change.
    std::uint64_t base_digest = 0;
    std::uint64_t digest = 0;
    std::vector<directory_view::host> changed;
    std::vector<host_key> removed;
    /// Set if the configuration differs. Only together with `wants_position`.
    std::optional<routing_delta> routing;
    /// The recipient answers with a directory_position. Sent with a type of
    /// its own, which earlier builds drop.
    bool wants_position = false;
};

struct directory_options {
    /// Records that lapsed during an outage of the store reappear within about
    /// 2 s of its recovery if the host is alive; 0.5 s more for a slow read.
    duration lapse_grace_period = std::chrono::milliseconds(2500);
    /// Interval at which hosts write to the store.
    duration heartbeat_interval = std::chrono::milliseconds(1200);
    /// Heartbeats after which the store has removed the record of a host that
    /// no longer writes. Until then a restored store may name departed hosts.
    int copy_heartbeats = 4;
    /// For this long it is remembered when a removed host had started. Longer
    /// than the age of a copy plus the outage before its return.
    duration removal_retention = std::chrono::minutes(2);
};

/// @brief Not thread-safe. Never moves to an older revision, nor to an older
/// version of the configuration.
///
/// Knowledge from before a restore of the store outweighs what the restored
/// store may have from its copy: a departed host, an earlier start of a host,
/// or the state before its drain take effect only if the store still names them
/// once all live hosts have written again.
class directory {
public:
    struct host {
        revision at;
        host_record record;
        /// When the record was last written, for the rest of its warm-up.
        time_point seen_at;
        /// Set when the record vanished during an outage of the store or its
        /// grace period.
        bool lapsed = false;
    };

    explicit directory(directory_options options = {}) : options_(options) {}

    /// @brief Replaces all contents by a complete listing. Returns false and
    /// changes nothing if `as_of` is older than the current revision.
    bool adopt_listing(revision as_of, std::vector<directory_change> items,
                       time_point now);
    /// @brief Returns false and changes nothing if the change is not newer than
    /// the current revision.
    bool apply(const directory_change& change, time_point now);
    /// @brief Must be called when all changes up to `as_of` were applied.
    void advance(revision as_of);
    /// @brief Adopts a peer's copy if it is newer and, where it omits the
    /// routes, the own routes are of the same revision. Of an older copy only a
    /// newer version of the configuration is adopted.
    bool adopt_view(const directory_view& view, time_point now);
    directory_view view() const;
    /// @brief Adopts a peer's later state if the own one is its base.
    bool adopt_delta(const directory_delta& delta, time_point now);

    /// @brief Adopts a peer's limits if their version of the configuration is
    /// newer, or as new as the known ones. Returns whether the limits changed.
    bool adopt_warmup_limits(std::uint64_t version,
                             const std::vector<warmup_limit>& limits);

    /// @brief Records that vanish between this call and the end of the grace
    /// period after on_store_regained() may belong to hosts that are alive.
    void on_store_lost(time_point now);
    void on_store_regained(time_point now);
    bool is_store_lost() const { return store_lost_; }
    /// @brief Removes lapsed records when the grace period has ended.
    void on_tick(time_point now);

    /// @brief True once routes are known.
    bool is_ready() const { return routing_at_ != revision(); }
    revision as_of() const { return as_of_; }
    /// @brief Equal for equal contents of one era, regardless of the revision.
    std::uint64_t digest() const { return digest_; }
    revision routing_at() const { return routing_at_; }
    std::uint64_t version() const { return routing_.version; }
    duration idle_timeout() const { return routing_.idle_timeout; }
    const route* find_route(const endpoint& service) const;
    /// @brief Whether the configuration's limits were read from the store or
    /// received from a peer.
    bool knows_warmup_limits() const { return knows_warmup_limits_; }
    /// @brief Version of the configuration that the limits are from.
    std::uint64_t warmup_limits_version() const {
        return warmup_limits_version_;
    }
    /// @brief Null if the service has no limit, or none is known.
    const warmup_limit* warmup_limit_of(service_id service) const;
    std::vector<warmup_limit> warmup_limits() const;
    const routing_document& routing() const { return routing_; }
    const std::map<host_key, host>& hosts() const { return hosts_; }
    /// @brief Whether another record of the same service describes the host at
    /// the address: a newer one, or for a record that is not draining, one with
    /// the same or a later start that is. A drain is final for a start.
    bool is_superseded(const host& it) const {
        return superseded_.contains(it.record.key);
    }
    /// @brief Whether a route names the service, at any weight.
    bool is_routed(service_id service) const {
        return routed_.contains(service);
    }
    /// @brief The newest record that describes the host at the IPv4 address;
    /// null if there is none. `reported` is the service that the process beside
    /// the host has named, if any.
    ///
    /// A record of a service that no route names may be another writer's. It
    /// counts only if the process itself has named that service, which may have
    /// lost its routes while its hosts still serve flows. A superseded record
    /// does not count.
    const host* host_at(std::uint32_t address,
                        std::optional<service_tag> reported) const;

private:
    void apply_document(revision at, const routing_document& document);
    bool apply_routing(revision at, routing_document document);
    routing_document changed_by(const routing_delta& it) const;
    void apply_host(revision at, const host_record& record, time_point now);
    void put_host(revision at, const host_record& record, time_point now);
    void remove_host(host_key key, time_point now);
    void erase_host(host_key key, time_point now);
    void enter_era(revision as_of, time_point now);
    bool is_in_lapse_grace(time_point now) const;
    bool may_be_from_copy(revision at, time_point now) const;
    bool is_outdated(revision at, const host_record& record) const;
    void forget_outdated_except(const std::set<host_key>& listed);
    void expire_removals(time_point now);
    void update_derived();
    void choose_at(std::uint32_t address);
    std::uint64_t hash_of_position(std::uint64_t seed, revision at) const;
    static bool is_older(const host& left, const host& right);

    directory_options options_;
    revision as_of_;
    revision routing_at_;
    routing_document routing_;
    std::unordered_map<endpoint, route> routes_;
    // Not part of the encoded directory, nor of its digest: processes of
    // earlier builds do not know them.
    std::map<service_id, warmup_limit> warmup_limits_;
    std::uint64_t warmup_limits_version_ = 0;
    bool knows_warmup_limits_ = false;
    std::map<host_key, host> hosts_;
    // The records of each address that are not superseded. Only the first one
    // may be of a routed service. Always match `hosts_` and `routed_`.
    std::unordered_map<std::uint32_t,
                       boost::container::small_vector<host_key, 1>>
        by_address_;
    std::unordered_set<host_key> superseded_;
    // The services that `routes_` name, and their tags.
    std::unordered_set<service_id> routed_;
    std::unordered_set<service_tag> routed_tags_;
    std::uint64_t digest_ = 0;
    struct removed_host {
        unix_milliseconds started;
        time_point removed_at;
    };
    std::map<host_key, removed_host> removed_;
    // Records of the restored store that earlier knowledge contradicts. They
    // take effect when `may_be_from_copy` no longer holds.
    std::map<host_key, directory_view::host> outdated_;
    // The first position in the present era, and when it was adopted; empty in
    // the first known era.
    revision restored_as_of_;
    std::optional<time_point> restored_at_;
    bool store_lost_ = false;
    // Set by the first on_store_regained().
    std::optional<time_point> regained_at_;
};

} // namespace arbutusport::relay
