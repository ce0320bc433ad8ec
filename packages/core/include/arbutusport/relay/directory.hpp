// What a process believes about routes and hosts: a copy of the platform's
// store as of one revision, and the rules by which an entry that vanished
// from the store counts as gone.
#pragma once

#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/base/ids.hpp>
#include <arbutusport/base/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace arbutusport::relay {

/// @brief Hash of a data centre's name.
using data_centre_id = strong_value<struct data_centre_id_tag, std::uint64_t>;

/// @brief Hash of the key under which a host registered. Another start of the
/// host mostly has another key.
using host_key = strong_value<struct host_key_tag, std::uint64_t>;

/// @brief The store's revision counter.
using revision = strong_value<struct revision_tag, std::uint64_t>;

struct weighted_service {
    service_id service;
    std::uint32_t weight = 1;

    friend bool operator==(const weighted_service&,
                           const weighted_service&) = default;
};

/// @brief Where new flows to one service address go.
struct route {
    endpoint address;
    std::vector<weighted_service> targets;

    friend bool operator==(const route&, const route&) = default;
};

/// @brief The operator's configuration, as far as flows need it.
struct routing_document {
    std::uint64_t version = 0;
    /// An idle flow may be forgotten after this time.
    duration idle_timeout = std::chrono::seconds(15);
    std::vector<route> routes;
};

/// @brief A host as it registered itself.
struct host_record {
    host_key key;
    service_id service;
    /// Where its upstream listens; the process beside it has the same
    /// address.
    endpoint address;
    data_centre_id data_centre;
    bool draining = false;
    std::uint32_t slots = 1;
    /// For how long the host stays slow after its start.
    duration warmup_left{};
    /// By the host's clock; 0 if unknown.
    unix_milliseconds started{};

    friend bool operator==(const host_record&, const host_record&) = default;
};

struct host_removed {
    host_key key;
};

/// @brief One item of the store and the revision of its last change.
struct directory_change {
    revision at;
    std::variant<routing_document, host_record, host_removed> what;
};

/// @brief A copy of the whole directory, as peers exchange it.
struct directory_view {
    revision as_of;
    revision routing_at;
    /// Otherwise `routing` is empty and the reader's own is of `routing_at`.
    bool has_routes = true;
    routing_document routing;
    struct host {
        revision at;
        host_record record;
    };
    std::vector<host> hosts;
};

struct directory_options {
    /// Entries that lapsed during an outage of the store are back within
    /// about 2 s of its return if the host lives; 0.5 s more for a slow read.
    duration lapse_grace = std::chrono::milliseconds(2500);
};

/// @brief Not thread-safe. Never moves to an older revision.
class directory {
public:
    struct host {
        revision at;
        host_record record;
        /// When the record was last written, for the rest of its warm-up.
        time_point seen_at;
        /// Set when the record vanished while the store was unwell.
        bool lapsed = false;
    };

    explicit directory(directory_options options = {}) : options_(options) {}

    /// @brief Replaces everything by a complete reading. Returns false, and
    /// changes nothing, if `as_of` is older than what is known.
    bool adopt_listing(revision as_of, std::vector<directory_change> items,
                       time_point now);
    /// @brief Changes not newer than what is known are ignored.
    void apply(const directory_change& change, time_point now);
    /// @brief Everything up to `as_of` was applied.
    void advance(revision as_of);
    /// @brief A peer's copy, adopted only if it is newer and, where it leaves
    /// the routes out, the own routes are the same.
    bool adopt_view(const directory_view& view, time_point now);
    directory_view view() const;

    /// @brief Records that vanish from here until a while after
    /// store_regained() may belong to hosts that live.
    void store_lost(time_point now);
    void store_regained(time_point now);
    bool store_is_lost() const { return store_lost_; }
    /// @brief Forgets lapsed records whose grace ended.
    void on_tick(time_point now);

    /// @brief True once routes are known.
    bool ready() const { return routing_at_ != revision(); }
    revision as_of() const { return as_of_; }
    /// @brief Equal for equal contents, whatever the revision.
    std::uint64_t digest() const { return digest_; }
    revision routing_at() const { return routing_at_; }
    std::uint64_t version() const { return routing_.version; }
    duration idle_timeout() const { return routing_.idle_timeout; }
    const route* find_route(const endpoint& service) const;
    const std::map<host_key, host>& hosts() const { return hosts_; }

private:
    void apply_routing(revision at, routing_document document);
    void apply_host(revision at, const host_record& record, time_point now);
    void remove_host(host_key key, time_point now);
    bool lapses(time_point now) const;
    void update_digest();

    directory_options options_;
    revision as_of_;
    revision routing_at_;
    routing_document routing_;
    std::unordered_map<endpoint, route> routes_;
    std::map<host_key, host> hosts_;
    std::uint64_t digest_ = 0;
    bool store_lost_ = false;
    // Set by the first store_regained().
    std::optional<time_point> regained_at_;
};

} // namespace arbutusport::relay
