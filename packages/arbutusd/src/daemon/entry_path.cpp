// Receives a batch, obtains the node's decisions and sends the results.

#include <arbutusport/daemon/entry_path.hpp>

#include <arbutusport/adapters/clock.hpp>
#include <arbutusport/adapters/proxy_header.hpp>

#include <utility>

namespace arbutusport::daemon {

client_path::client_path(const adapters::udp_socket& fabric,
                         const packet_port& port, decision_function decide,
                         drop_handler drop)
    : fabric_(fabric), port_(port), decide_(std::move(decide)),
      drop_(std::move(drop)), out_(port) {}

std::size_t client_path::run_once(duration wait) {
    const auto n = fabric_.receive(in_, wait);
    if (n == 0)
        return 0;
    const auto now = adapters::now();
    const keyring_ptr keys = port_.keys();
    for (std::size_t i = 0; i < n; ++i)
        forward(in_.data(i), *keys, now);
    out_.flush();
    for (auto rejected = out_.take_rejected(); rejected > 0; --rejected)
        drop_("send_refused", "");
    return n;
}

void client_path::forward(byte_view datagram, const wire::keyring& keys,
                          time_point now) {
    const auto it = adapters::decode_proxied_datagram(datagram);
    if (!it) {
        drop_("proxy_header", "");
        return;
    }
    const node::output decision = decide_(it->flow, it->payload, now);
    if (const auto* packet = std::get_if<node::send_packet>(&decision)) {
        if (!out_.add(packet->to, packet->message, keys))
            drop_("no_key", to_string(packet->to));
    } else if (const auto* drop = std::get_if<node::dropped>(&decision)) {
        drop_(drop->reason, to_string(it->flow.client));
    }
}

answer_path::answer_path(const packet_port& port,
                         const adapters::udp_socket& fabric,
                         const endpoint& fabric_address,
                         decision_function decide, drop_handler drop)
    : port_(port), fabric_(fabric), fabric_address_(fabric_address),
      decide_(std::move(decide)), drop_(std::move(drop)) {}

std::size_t answer_path::run_once(duration wait) {
    const auto n = port_.socket().receive(in_, wait);
    if (n == 0)
        return 0;
    const auto now = adapters::now();
    const keyring_ptr keys = port_.keys();
    for (std::size_t i = 0; i < n; ++i) {
        const endpoint from = in_.from(i);
        const auto outputs = receive_packet(
            in_.data(i), *keys,
            [&](wire::packet message) {
                return decide_(std::move(message), from, now);
            },
            [&](const std::string& reason) { drop_(reason, to_string(from)); });
        for (const node::output& it : outputs) {
            if (const auto* answer = std::get_if<node::send_to_client>(&it))
                send_answer(*answer);
            else if (const auto* drop = std::get_if<node::dropped>(&it))
                drop_(drop->reason, to_string(from));
        }
    }
    flush();
    return n;
}

void answer_path::send_answer(const node::send_to_client& it) {
    if (out_.full())
        flush();
    bytes& buf = out_.add(fabric_address_);
    adapters::append_proxy_header(it.flow.service, it.flow.client, buf);
    buf.insert(buf.end(), it.datagram.begin(), it.datagram.end());
}

void answer_path::flush() {
    for (auto rejected = fabric_.send(out_); rejected > 0; --rejected)
        drop_("send_refused", to_string(fabric_address_));
}

} // namespace arbutusport::daemon
