// Calls the node function that handles each kind of input.

#include <arbutusport/emulator/node_input.hpp>

#include <utility>

namespace arbutusport::emulator {

namespace {

// Returns no value if the input is not a configuration input.
std::optional<node_result>
feed_control(node::control_plane& to, const node_input& input, time_point now) {
    if (const auto* it = std::get_if<head_input>(&input))
        return node_result{to.on_head(it->value, now), {}};
    if (const auto* it = std::get_if<records_input>(&input))
        return node_result{to.on_records(it->read, now), {}};
    if (std::holds_alternative<platform_error_input>(input))
        return node_result{to.on_platform_error(now), {}};
    if (const auto* it = std::get_if<sync_request_input>(&input)) {
        auto answer = to.on_sync_request(it->request, now);
        return node_result{std::move(answer.actions), std::move(answer.reply)};
    }
    if (const auto* it = std::get_if<sync_reply_input>(&input))
        return node_result{to.on_sync_reply(it->peer, it->reply, now), {}};
    if (const auto* it = std::get_if<sync_error_input>(&input))
        return node_result{to.on_sync_error(it->peer, now), {}};
    return std::nullopt;
}

} // namespace

node_result feed(node::entry_node& to, const node_input& input,
                 time_point now) {
    if (auto handled = feed_control(to.control(), input, now))
        return *std::move(handled);
    if (const auto* it = std::get_if<packet_input>(&input))
        return {to.on_packet(it->message, it->from, now), {}};
    if (const auto* it = std::get_if<client_input>(&input))
        return {{to.on_client(it->flow, it->datagram, now)}, {}};
    if (const auto* it = std::get_if<instances_input>(&input))
        to.control().on_instances(it->list, now);
    if (std::holds_alternative<tick_input>(input))
        return {to.on_tick(now), {}};
    return {};
}

node_result feed(node::host_node& to, const node_input& input, time_point now) {
    if (auto handled = feed_control(to.control(), input, now))
        return *std::move(handled);
    if (const auto* it = std::get_if<packet_input>(&input))
        return {to.on_packet(it->message, it->from, now), {}};
    if (const auto* it = std::get_if<upstream_input>(&input))
        return {to.on_upstream(it->datagram, now), {}};
    if (const auto* it = std::get_if<instances_input>(&input))
        return {to.on_instances(it->list, now), {}};
    if (const auto* it = std::get_if<stop_input>(&input))
        return {to.stop(now, it->limit), {}};
    if (std::holds_alternative<tick_input>(input))
        return {to.on_tick(now), {}};
    return {};
}

} // namespace arbutusport::emulator
