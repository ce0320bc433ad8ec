// What the requests at a host cost and what the host still has to do, learned
// from the times at which packets pass.
#pragma once

#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/base/time.hpp>
#include <arbutusport/relay/service_times.hpp>

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace arbutusport::relay {

struct work_meter_options {
    /// A request that has waited, or has had a slot, for this long without an
    /// answer no longer counts. Longer than clients wait for an answer (10 s at
    /// most so far), so that it bounds only what is left behind by lost packets
    /// and silent hosts.
    duration request_timeout = std::chrono::seconds(30);
    /// More routes than a service has. Further routes, and ones that have no
    /// samples yet, have the values of all routes together.
    std::size_t max_routes = 64;
    /// Far more than a host queues. Further requests only count in the rate.
    std::size_t max_requests = 4096;
};

/// @brief Service times and backlog of one host.
///
/// A host processes as many requests at once as it has slots, in the order in
/// which they became complete. A request's service time runs from the moment it
/// has a slot to the first packet of its answer. State: one entry for each
/// request in progress and one for each route. Not thread-safe.
class work_meter {
public:
    explicit work_meter(work_meter_options options = {}) : options_(options) {}

    /// @brief Sets how many requests the host processes at once; 0 if unknown.
    /// Then all requests count as being processed, and the measured times
    /// include waiting.
    void set_slots(std::uint32_t slots, time_point now);
    /// @brief Must be called for each client's packet with new data. A request
    /// starts over with each packet before its answer, since it is complete
    /// only with the last one.
    void on_request(const flow_key& flow, const endpoint& route,
                    time_point now);
    /// @brief Must be called for the host's packets with new data; only the
    /// first one after a request matters.
    void on_answer(const flow_key& flow, time_point now);
    void on_flow_end(const flow_key& flow, time_point now);
    /// @brief Removes all requests, because the host has ended. What was
    /// learned stays: the next host on the machine has similar hardware.
    void clear();

    /// @brief Removes requests without an answer for too long. Must be called
    /// about every second; on_request() does so too.
    void expire(time_point now);

    /// @brief Expected time until all slots have finished the requests in
    /// progress, if the work is spread evenly. At most `request_timeout` for
    /// each request in progress, divided by the slots.
    duration backlog(time_point now) const;
    /// @brief Mean over all routes; 0 before the first sample.
    duration mean_service() const { return all_.mean(); }
    duration mean_service(const endpoint& route) const;
    duration high_service() const;
    /// @brief Requests in a second over about the last two seconds.
    double request_rate(time_point now) const;

    std::size_t requests() const { return index_.size(); }
    std::size_t routes() const { return routes_.size(); }

private:
    struct route_state {
        service_times times;
        // When `times` last got a sample.
        time_point learned_at;
        time_point used_at;
        std::uint32_t in_progress = 0;
        std::uint32_t waiting = 0;
    };
    struct request {
        flow_key flow;
        // In `routes_`, which keeps a route while it has requests, or `other_`.
        route_state* route = nullptr;
        // When the last packet arrived.
        time_point arrived_at;
        // When it got a slot; meaningful only if it has one.
        time_point started_at;
        bool has_slot = false;
    };
    using request_list = std::list<request>;

    route_state& route_of(const endpoint& route, time_point now);
    const service_times& times_of(const route_state& it) const;
    std::size_t slots() const;
    void assign_slots(time_point free_since);
    void erase(request_list::iterator it, time_point free_since);
    void erase_started_by(time_point limit, time_point now);
    void learn(route_state& it, duration sample, time_point now);
    void count_request(time_point now);

    work_meter_options options_;
    std::uint32_t slots_ = 0;
    // At most slots() of them unless the number of slots has shrunk.
    request_list in_service_;
    // In the order of arrival. Empty while a slot is free.
    request_list waiting_;
    std::unordered_map<flow_key, request_list::iterator> index_;
    std::unordered_map<endpoint, route_state> routes_;
    // Requests of routes beyond the limit; has no times of its own.
    route_state other_;
    service_times all_;
    // Requests, with weights that decay.
    double recent_requests_ = 0;
    time_point rate_updated_at_;
};

} // namespace arbutusport::relay
