// Connects flow ownership, requests, membership and configuration of a host.

#include <arbutusport/node/host_node.hpp>

#include <arbutusport/base/hash.hpp>

#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace arbutusport::node {

namespace {

void append(outputs more, outputs& out) {
    out.insert(out.end(), std::make_move_iterator(more.begin()),
               std::make_move_iterator(more.end()));
}

// The body of execute and execute_reply packets is the exchange number,
// followed by a message.
constexpr std::size_t exchange_size = sizeof(std::uint64_t);

bytes pack_exchange(std::uint64_t exchange, const bytes& message) {
    bytes out(exchange_size);
    boost::endian::store_big_u64(out.data(), exchange);
    out.insert(out.end(), message.begin(), message.end());
    return out;
}

} // namespace

host_node::host_node(host_node_options options)
    : options_(std::move(options)),
      control_(
          {.self = options_.self,
           .run = options_.run,
           .data_centre = options_.data_centre,
           .seeds = options_.seeds,
           .is_seed = options_.is_seed,
           .seed = options_.seed,
           .on_config = [this](const records::snapshot_ptr& it,
                               time_point now) { return on_config(it, now); },
           .on_resumed =
               [this](time_point now) {
                   return convert(flows_.on_resumed(now), now);
               }}),
      flows_([this] {
          auto it = options_.flows;
          it.self = options_.self;
          it.service = options_.service;
          it.seed = hash_combine(options_.seed, 3);
          it.is_down = [this](process_id id) { return control_.is_down(id); };
          it.is_entry_down = [this](const endpoint& address) {
              return control_.is_entry_down(address);
          };
          it.on_closed = [this](const flow_key& flow) {
              broker_.on_flow_closed(flow, now_);
          };
          return it;
      }()),
      broker_([this] {
          auto it = options_.requests;
          it.self = options_.self;
          it.run = options_.run;
          it.seed = hash_combine(options_.seed, 4);
          it.is_down = [this](process_id id) { return is_unavailable(id); };
          return it;
      }()) {}

outputs host_node::on_packet(wire::packet message, const endpoint& from,
                             time_point now) {
    now_ = now;
    switch (message.type) {
    case wire::message_type::probe:
    case wire::message_type::probe_ack:
    case wire::message_type::probe_request:
        return control_.on_probe(message, from, now);
    case wire::message_type::execute:
    case wire::message_type::execute_reply:
        return on_remote_request(message, now);
    default:
        return convert(flows_.on_packet(std::move(message), now), now);
    }
}

outputs host_node::on_upstream(byte_view datagram, time_point now) {
    now_ = now;
    return convert(broker_.on_upstream(datagram, now), now);
}

outputs host_node::on_tick(time_point now) {
    now_ = now;
    // The control plane runs first: after a pause, it invalidates ownership
    // claims before the flow layer uses them.
    outputs out = control_.on_tick(now);
    if (control_.members().has_left())
        leave(now);
    append(convert(flows_.on_tick(now), now), out);
    append(convert(broker_.on_tick(now), now), out);
    return out;
}

outputs host_node::on_instances(const std::vector<listed_instance>& list,
                                time_point now) {
    control_.on_instances(list, now);
    if (control_.members().has_left())
        leave(now);
    return {};
}

duration host_node::drain_timeout() const {
    const auto snapshot = control_.current();
    const records::service* service =
        snapshot ? snapshot->find_service(options_.service) : nullptr;
    const duration published =
        service ? service->drain_timeout : records::service{}.drain_timeout;
    return options_.drain_timeout.value_or(published);
}

void host_node::leave(time_point now) {
    if (is_leaving_)
        return;
    is_leaving_ = true;
    flows_.set_draining(true);
    control_.leave(now);
    if (!is_drained_by_record_)
        broker_.drain(now + drain_timeout());
}

outputs host_node::stop(time_point now, duration limit) {
    now_ = now;
    leave(now);
    broker_.drain(now + limit);
    return {};
}

void host_node::drain_by_record(time_point now) {
    if (is_drained_by_record_)
        return;
    is_drained_by_record_ = true;
    flows_.set_draining(true);
    if (!is_leaving_)
        broker_.drain(now + drain_timeout());
}

void host_node::end_drain_by_record() {
    if (!is_drained_by_record_)
        return;
    is_drained_by_record_ = false;
    if (is_leaving_)
        return;
    flows_.set_draining(false);
    broker_.end_drain();
}

outputs host_node::on_config(const records::snapshot_ptr& snapshot,
                             time_point now) {
    now_ = now;
    outputs out = convert(flows_.set_snapshot(snapshot, now), now);
    if (const auto* service = snapshot->find_service(options_.service))
        broker_.set_limits(service->limits.slots, service->limits.queue);
    const records::host* own_record = find_host_record(options_.self);
    if (!own_record || own_record->state != records::host_state::active)
        drain_by_record(now);
    else
        end_drain_by_record();
    return out;
}

outputs host_node::on_remote_request(const wire::packet& message,
                                     time_point now) {
    if (message.service != options_.service)
        return {dropped{"wrong_service", message.sender}};
    if (message.target != options_.self)
        return {dropped{"wrong_target", message.sender}};
    if (message.body.size() < exchange_size)
        return {dropped{"malformed_body", message.sender}};
    const auto exchange = boost::endian::load_big_u64(message.body.data());
    const auto body = byte_view(message.body).subspan(exchange_size);
    if (message.type == wire::message_type::execute)
        return convert(
            broker_.on_remote_request(message.sender, exchange, body, now),
            now);
    return convert(broker_.on_remote_response(exchange, body, now), now);
}

outputs host_node::convert(flows::flow_actions actions, time_point now) {
    outputs out;
    for (flows::flow_action& action : actions) {
        if (auto* it = std::get_if<flows::send_packet>(&action))
            out.push_back(send_packet{it->to, std::move(it->message)});
        else if (auto* it = std::get_if<flows::deliver>(&action))
            append(convert(broker_.on_client(it->flow, it->datagram, now), now),
                   out);
        else if (auto* it = std::get_if<flows::drop_packet>(&action))
            out.push_back(dropped{flows::to_string(it->reason), it->peer});
    }
    return out;
}

outputs host_node::convert(requests::broker_actions actions, time_point now) {
    outputs out;
    for (requests::broker_action& action : actions)
        append_output(std::move(action), out, now);
    return out;
}

void host_node::append_output(requests::broker_action action, outputs& out,
                              time_point now) {
    if (auto* it = std::get_if<requests::reply>(&action))
        append(convert(flows_.answer(it->flow, it->datagram, it->retransmission,
                                     now),
                       now),
               out);
    else if (auto* it = std::get_if<requests::to_upstream>(&action))
        out.push_back(send_to_upstream{std::move(it->datagram)});
    else if (auto* it = std::get_if<requests::execute_remotely>(&action))
        send_execute(*it, out);
    else if (auto* it = std::get_if<requests::send_remote_response>(&action))
        send_execute_reply(*it, out);
    else if (auto* it = std::get_if<requests::forward_datagram>(&action))
        append(convert(flows_.forward_to_host(it->host, it->flow, it->datagram,
                                              it->keep_flow, now),
                       now),
               out);
    else if (auto* it = std::get_if<requests::migrate_flow>(&action))
        flows_.migrate(it->from, it->to, now);
    else if (auto* it = std::get_if<requests::release_flow>(&action))
        flows_.release(it->flow, now);
    else if (auto* it =
                 std::get_if<requests::report_upstream_accepting>(&action))
        flows_.set_accepting(it->value);
}

void host_node::send_execute(const requests::execute_remotely& action,
                             outputs& out) {
    const auto snapshot = control_.current();
    const auto* service =
        snapshot ? snapshot->find_service(options_.service) : nullptr;
    if (!service)
        return;
    const std::size_t host_count = service->hosts.size();
    for (std::size_t i = 0; i < host_count; ++i) {
        const records::host& peer =
            service->hosts[next_retry_peer_++ % host_count];
        const bool is_usable = peer.id != options_.self &&
                               peer.state == records::host_state::active &&
                               !control_.is_down(peer.id) &&
                               !control_.members().is_leaving(peer.id);
        if (!is_usable)
            continue;
        send_packet packet;
        packet.to = peer.packets;
        packet.message.type = wire::message_type::execute;
        packet.message.gen = snapshot->gen;
        packet.message.service = options_.service;
        packet.message.sender = options_.self;
        packet.message.target = peer.id;
        packet.message.body = pack_exchange(action.exchange, action.request);
        out.push_back(std::move(packet));
        return;
    }
    // No peer can execute the request; the broker's deadline ends the exchange.
}

void host_node::send_execute_reply(const requests::send_remote_response& action,
                                   outputs& out) const {
    const records::host* peer = find_host_record(action.origin);
    if (!peer)
        return;
    send_packet packet;
    packet.to = peer->packets;
    packet.message.type = wire::message_type::execute_reply;
    packet.message.service = options_.service;
    packet.message.sender = options_.self;
    packet.message.target = action.origin;
    packet.message.body = pack_exchange(action.exchange, action.response);
    out.push_back(std::move(packet));
}

bool host_node::is_unavailable(process_id id) const {
    const records::host* record = find_host_record(id);
    return !record || record->state == records::host_state::out ||
           control_.is_down(id);
}

const records::host* host_node::find_host_record(process_id id) const {
    const auto snapshot = control_.current();
    const auto* service =
        snapshot ? snapshot->find_service(options_.service) : nullptr;
    if (!service)
        return nullptr;
    const auto it = std::ranges::find(service->hosts, id, &records::host::id);
    return it == service->hosts.end() ? nullptr : &*it;
}

} // namespace arbutusport::node
