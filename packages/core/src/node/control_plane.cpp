// Connects membership and configuration.

#include <arbutusport/node/control_plane.hpp>

#include <arbutusport/base/hash.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace arbutusport::node {

namespace {

wire::message_type packet_type(membership::probe_kind kind) {
    switch (kind) {
    case membership::probe_kind::probe:
        return wire::message_type::probe;
    case membership::probe_kind::ack:
        return wire::message_type::probe_ack;
    default:
        return wire::message_type::probe_request;
    }
}

membership::probe_kind probe_kind_of(wire::message_type type) {
    switch (type) {
    case wire::message_type::probe:
        return membership::probe_kind::probe;
    case wire::message_type::probe_ack:
        return membership::probe_kind::ack;
    default:
        return membership::probe_kind::request;
    }
}

void append(outputs more, outputs& out) {
    out.insert(out.end(), std::make_move_iterator(more.begin()),
               std::make_move_iterator(more.end()));
}

} // namespace

control_plane::control_plane(control_options options)
    : options_(std::move(options)),
      members_({.self = options_.self,
                .run = options_.run,
                .seed = hash_combine(options_.seed, 1)}),
      sync_({.self = options_.self,
             .data_centre = options_.data_centre,
             .seeds = options_.seeds,
             .is_seed = options_.is_seed,
             .seed = hash_combine(options_.seed, 2),
             .is_down = [this](process_id id) { return members_.is_down(id); },
             .take_events = [this] { return members_.take_events(); },
             .on_events =
                 [this](const std::vector<membership::member_event>& events,
                        time_point now) { members_.on_events(events, now); }}) {
}

outputs control_plane::on_tick(time_point now) {
    outputs out;
    append_probes(members_.on_tick(now), out);
    if (members_.take_resumed() && options_.on_resumed)
        append(options_.on_resumed(now), out);
    append(convert(sync_.on_tick(now), now), out);
    return out;
}

outputs control_plane::on_probe(const wire::packet& message,
                                const endpoint& from, time_point now) {
    outputs out;
    append_probes(members_.on_probe(probe_kind_of(message.type), message.sender,
                                    from, message.body, now),
                  out);
    return out;
}

outputs control_plane::on_head(const config::head& it, time_point now) {
    return convert(sync_.on_head(it, now), now);
}

outputs control_plane::on_records(const std::vector<records::raw_record>& read,
                                  time_point now) {
    return convert(sync_.on_records(read, now), now);
}

outputs control_plane::on_platform_error(time_point now) {
    return convert(sync_.on_platform_error(now), now);
}

control_plane::sync_answer control_plane::on_sync_request(byte_view request,
                                                          time_point now) {
    auto answer = sync_.on_request(request, now);
    return {std::move(answer.reply), convert(std::move(answer.actions), now)};
}

outputs control_plane::on_sync_reply(const endpoint& peer, byte_view reply,
                                     time_point now) {
    return convert(sync_.on_reply(peer, reply, now), now);
}

outputs control_plane::on_sync_error(const endpoint& peer, time_point now) {
    return convert(sync_.on_peer_error(peer, now), now);
}

void control_plane::on_instances(const std::vector<listed_instance>& list,
                                 time_point now) {
    for (const listed_instance& it : list)
        if (it.leaving)
            members_.on_listed_leaving(it.id, now);
}

void control_plane::leave(time_point now) {
    members_.leave(now);
}

bool control_plane::is_entry_down(const endpoint& packets) const {
    const auto snapshot = sync_.current();
    if (!snapshot)
        return true;
    const auto it =
        std::ranges::find(snapshot->entries, packets, &records::entry::packets);
    return it == snapshot->entries.end() || members_.is_down(it->id);
}

void control_plane::append_probes(membership::actions probes,
                                  outputs& out) const {
    for (membership::send_probe& it : probes) {
        send_packet packet;
        packet.to = it.to;
        packet.message.type = packet_type(it.kind);
        packet.message.sender = options_.self;
        packet.message.target = it.target;
        packet.message.body = std::move(it.body);
        out.push_back(std::move(packet));
    }
}

outputs control_plane::convert(config::sync_actions actions, time_point now) {
    outputs out;
    for (config::sync_action& action : actions) {
        if (auto* it = std::get_if<config::send_sync_request>(&action))
            out.push_back(send_sync{it->peer, std::move(it->request)});
        else if (auto* it = std::get_if<config::watch_head>(&action))
            out.push_back(watch_head{it->after, it->wait});
        else if (auto* it = std::get_if<config::fetch_records>(&action))
            out.push_back(fetch_records{std::move(it->keys)});
        else if (auto* it = std::get_if<config::generation_refused>(&action))
            out.push_back(configuration_refused{it->gen, std::move(it->why)});
        else if (auto* it =
                     std::get_if<config::configuration_in_force>(&action)) {
            members_.set_snapshot(it->snapshot, now);
            out.push_back(configuration_changed{it->snapshot});
            if (options_.on_config)
                append(options_.on_config(it->snapshot, now), out);
        }
    }
    return out;
}

} // namespace arbutusport::node
