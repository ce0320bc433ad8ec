// Connects the entry router to membership and configuration.

#include <arbutusport/node/entry_node.hpp>

#include <utility>

namespace arbutusport::node {

namespace {

output to_output(routing::entry_action action) {
    if (auto* it = std::get_if<routing::send_packet>(&action))
        return send_packet{it->to, std::move(it->message)};
    if (auto* it = std::get_if<routing::send_to_client>(&action))
        return send_to_client{it->flow, std::move(it->datagram)};
    const auto& drop = std::get<routing::drop_packet>(action);
    return dropped{routing::to_string(drop.reason), process_id()};
}

} // namespace

entry_node::entry_node(entry_node_options options)
    : control_({.self = options.self,
                .run = options.run,
                .data_centre = options.data_centre,
                .seeds = options.seeds,
                .is_seed = options.is_seed,
                .seed = options.seed,
                .on_config =
                    [this](const records::snapshot_ptr& it, time_point) {
                        router_.set_snapshot(it);
                        return outputs{};
                    }}),
      router_([&] {
          options.router.self = options.self;
          options.router.is_down = [this](process_id id) {
              return control_.is_down(id);
          };
          return std::move(options.router);
      }()) {}

output entry_node::on_client(const flow_key& flow, byte_view datagram,
                             time_point now) {
    return to_output(router_.on_client(flow, datagram, now));
}

outputs entry_node::on_packet(wire::packet message, const endpoint& from,
                              time_point now) {
    switch (message.type) {
    case wire::message_type::probe:
    case wire::message_type::probe_ack:
    case wire::message_type::probe_request:
        return control_.on_probe(message, from, now);
    default:
        return {to_output(router_.on_host(std::move(message), now))};
    }
}

} // namespace arbutusport::node
