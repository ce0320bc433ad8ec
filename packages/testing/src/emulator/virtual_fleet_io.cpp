// Carries out the outputs of the simulated processes.

#include <arbutusport/emulator/virtual_fleet.hpp>

#include <boost/random/uniform_int_distribution.hpp>

#include <utility>

namespace arbutusport::emulator {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto platform_delay = milliseconds(2);
constexpr auto watch_poll_interval = milliseconds(50);
constexpr auto sync_timeout = seconds(2);

// Combines one lambda per alternative into a visitor for std::visit.
template <class... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};

template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace

void virtual_fleet::perform(process& from, node::outputs actions) {
    for (node::output& action : actions)
        std::visit(
            overloaded{
                [&](const node::send_packet& it) { send_packet(from, it); },
                [&](const node::send_to_client& it) {
                    links_.datagram(from.end(), {"client", ""}, [this, it] {
                        options_.to_client(it.flow, it.datagram);
                    });
                },
                [&](const node::send_to_upstream& it) {
                    if (from.upstream)
                        receive_from_upstream(
                            from, from.upstream->on_datagram(
                                      from.packets, it.datagram, clock_.now()));
                },
                [&](const node::send_sync& it) { send_sync(from, it); },
                [&](const node::watch_head& it) {
                    watch_configuration(from, it, clock_.now() + it.wait);
                },
                [&](const node::fetch_records& it) {
                    fetch_configuration(from, it);
                },
                [&](const node::configuration_changed& it) {
                    apply_configuration(from, it.snapshot);
                },
                [&](const node::configuration_refused&) {
                    ++counters_.refused_configurations;
                },
                [&](const node::dropped& it) { ++counters_.drops[it.reason]; },
            },
            action);
}

void virtual_fleet::send_packet(process& from, const node::send_packet& it) {
    if (!from.keys->can_sign()) {
        ++counters_.drops["no_key"];
        return;
    }
    process* to = find_by_packet_endpoint(it.to);
    if (!to)
        return;
    bytes data;
    wire::encode_packet(it.message, *from.keys, data);
    links_.datagram(from.end(), to->end(),
                    [this, to, data, address = from.packets] {
                        run_or_defer(*to, [this, to, data, address] {
                            receive_packet(*to, data, address);
                        });
                    });
}

void virtual_fleet::receive_packet(process& to, const bytes& data,
                                   const endpoint& from) {
    // Normal during startup, therefore counted separately from unknown keys.
    if (!to.keys->can_sign()) {
        ++counters_.drops["before_configuration"];
        return;
    }
    auto actions = handle_failure(
        [&]() -> result<node::outputs> {
            BOOST_LEAF_AUTO(message, wire::decode_packet(data, *to.keys));
            return feed(to, packet_input{from, std::move(message)}).actions;
        },
        [](const failure& it) {
            return node::outputs{
                node::dropped{"packet_" + it.reason, process_id()}};
        });
    perform(to, std::move(actions));
}

void virtual_fleet::send_sync(process& from, const node::send_sync& it) {
    process* to = find_by_control_endpoint(it.peer);
    // Set by the first of reply and time-out.
    const auto done = std::make_shared<bool>(false);
    const auto failed = [this, &from, peer = it.peer, done, run = from.starts] {
        if (std::exchange(*done, true) || from.starts != run)
            return;
        run_or_defer(from, [this, &from, peer] {
            feed_and_perform(from, sync_error_input{peer});
        });
    };
    if (!to || !to->running()) {
        clock_.after(platform_delay, failed);
        return;
    }
    clock_.after(sync_timeout, failed);
    const auto reply_arrives = [this, &from, peer = it.peer, done,
                                run = from.starts](const bytes& reply) {
        if (std::exchange(*done, true) || from.starts != run)
            return;
        run_or_defer(from, [this, &from, peer, reply] {
            feed_and_perform(from, sync_reply_input{peer, reply});
        });
    };
    links_.stream(
        from.end(), to->end(),
        [this, &from, to, request = it.request, reply_arrives] {
            run_or_defer(*to, [this, &from, to, request, reply_arrives] {
                auto answer = feed(*to, sync_request_input{request});
                if (answer.reply->empty() && to->in_force)
                    ++counters_.drops["sync"];
                links_.stream(to->end(), from.end(),
                              [reply = *answer.reply, reply_arrives] {
                                  reply_arrives(reply);
                              });
                perform(*to, std::move(answer.actions));
            });
        });
}

void virtual_fleet::watch_configuration(process& from,
                                        const node::watch_head& it,
                                        time_point end) {
    clock_.after(platform_delay, [this, &from, it, end, run = from.starts] {
        if (from.starts != run || !from.running())
            return;
        if (store_.mode(from.data_centre) == store_mode::down) {
            run_or_defer(from, [this, &from] {
                feed_and_perform(from, platform_error_input{});
            });
            return;
        }
        const auto head = store_.head(from.data_centre);
        if (head.gen <= it.after && clock_.now() < end) {
            clock_.after(watch_poll_interval, [this, &from, it, end, run] {
                if (from.starts == run && from.running())
                    watch_configuration(from, it, end);
            });
            return;
        }
        run_or_defer(from, [this, &from, head] {
            feed_and_perform(from, head_input{head});
        });
    });
}

void virtual_fleet::fetch_configuration(process& from,
                                        const node::fetch_records& it) {
    clock_.after(platform_delay, [this, &from, it, run = from.starts] {
        if (from.starts != run || !from.running())
            return;
        const bool down = store_.mode(from.data_centre) == store_mode::down;
        run_or_defer(from, [this, &from, it, down] {
            if (down)
                feed_and_perform(from, platform_error_input{});
            else
                feed_and_perform(from, records_input{store_.read(
                                           it.keys, from.data_centre)});
        });
    });
}

void virtual_fleet::apply_configuration(process& at,
                                        const records::snapshot_ptr& snapshot) {
    if (at.in_force && snapshot->gen < *at.in_force)
        ++counters_.reverted_generations;
    at.in_force = snapshot->gen;
    at.keys = wire::make_keyring(snapshot->keys);
    counters_.last_in_force[snapshot->gen] = clock_.now();
}

void virtual_fleet::receive_from_upstream(process& at,
                                          const std::vector<datagram>& sent) {
    for (const datagram& it : sent)
        run_or_defer(at, [this, &at, data = it.data] {
            if (at.host)
                feed_and_perform(at, upstream_input{data});
        });
}

void virtual_fleet::send_forged_packets() {
    wire::keyring wrong;
    wrong.add(key_id(1), {0xde, 0xad}, true);
    boost::random::uniform_int_distribution<unsigned> byte(0, 255);
    for (auto& it : processes_) {
        bytes random(200);
        for (auto& value : random)
            value = static_cast<std::uint8_t>(byte(random_));
        wire::packet forged;
        forged.type = wire::message_type::place;
        forged.service = service_id_of(it->service);
        forged.target = it->id;
        forged.body = random;
        bytes signed_wrongly;
        wire::encode_packet(forged, wrong, signed_wrongly);
        bytes altered;
        if (it->keys->can_sign()) {
            wire::encode_packet(forged, *it->keys, altered);
            altered[byte(random_) % altered.size()] ^= 0x01;
        }
        for (const bytes& data : {random, signed_wrongly, altered})
            run_or_defer(*it, [this, &to = *it, data] {
                receive_packet(to, data, {0x7f000063, 9});
            });
    }
}

} // namespace arbutusport::emulator
