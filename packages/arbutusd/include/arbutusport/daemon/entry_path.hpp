// The packet paths of an entry: from the fabric to hosts, and back. Each
// object serves one worker thread; sockets and decisions are shared.
#pragma once

#include <arbutusport/adapters/udp_socket.hpp>
#include <arbutusport/daemon/packet_port.hpp>
#include <arbutusport/node/outputs.hpp>

#include <cstddef>
#include <functional>
#include <string>

namespace arbutusport::daemon {

/// @brief Counts a drop by its reason and the peer, if known.
using drop_sink =
    std::function<void(const std::string& reason, const std::string& peer)>;

/// @brief Receives the fabric's datagrams, decides and sends to hosts.
class client_path {
public:
    using decider = std::function<node::output(
        const flow_key& flow, byte_view datagram, time_point now)>;

    client_path(const adapters::udp_socket& fabric, const packet_port& port,
                decider decide, drop_sink drop);

    /// @brief Handles one batch; returns the number of datagrams received.
    std::size_t run_once(duration wait);

private:
    void forward(byte_view datagram, const wire::keyring& keys, time_point now);

    const adapters::udp_socket& fabric_;
    const packet_port& port_;
    decider decide_;
    drop_sink drop_;
    adapters::receive_batch in_;
    packet_sender out_;
};

/// @brief Receives packets of own processes and sends answers to the fabric.
class answer_path {
public:
    /// Outputs other than send_to_client and dropped are not expected; a
    /// packet that needs the control plane yields none.
    using decider = std::function<node::outputs(
        wire::packet message, const endpoint& from, time_point now)>;

    answer_path(const packet_port& port, const adapters::udp_socket& fabric,
                const endpoint& fabric_address, decider decide, drop_sink drop);

    std::size_t run_once(duration wait);

private:
    void send_answer(const node::send_to_client& it);
    void flush();

    const packet_port& port_;
    const adapters::udp_socket& fabric_;
    endpoint fabric_address_;
    decider decide_;
    drop_sink drop_;
    adapters::receive_batch in_;
    adapters::send_batch out_;
};

} // namespace arbutusport::daemon
