// Decision logic of an entry process, without I/O.
#pragma once

#include <arbutusport/node/control_plane.hpp>
#include <arbutusport/node/outputs.hpp>
#include <arbutusport/routing/entry_router.hpp>

namespace arbutusport::node {

struct entry_node_options {
    process_id self;
    incarnation run;
    std::string data_centre;
    std::vector<endpoint> seeds;
    /// True if this process is a seed of other processes.
    bool is_seed = false;
    std::uint64_t seed = 0;
    routing::entry_options router;
};

/// @brief Routes packets between clients and hosts. Several worker threads may
/// call on_client(), and on_packet() with `answer` packets, at the same time.
/// The caller serialises all other calls.
class entry_node {
public:
    explicit entry_node(entry_node_options options);

    output on_client(const flow_key& flow, byte_view datagram, time_point now);
    outputs on_packet(wire::packet message, const endpoint& from,
                      time_point now);
    outputs on_tick(time_point now) { return control_.on_tick(now); }

    control_plane& control() { return control_; }
    const control_plane& control() const { return control_; }
    const routing::entry_router& router() const { return router_; }

private:
    control_plane control_;
    routing::entry_router router_;
};

} // namespace arbutusport::node
