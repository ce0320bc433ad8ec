// The packet paths of an entry, from the fabric to hosts and back. Each object
// belongs to one worker thread; the threads share sockets and the node.
#pragma once

#include <arbutusport/adapters/udp_socket.hpp>
#include <arbutusport/daemon/packet_port.hpp>
#include <arbutusport/node/outputs.hpp>

#include <cstddef>
#include <functional>
#include <string>

namespace arbutusport::daemon {

/// @brief Called for each dropped packet with the reason and the peer, if
/// known.
using drop_handler =
    std::function<void(const std::string& reason, const std::string& peer)>;

/// @brief Receives the fabric's datagrams and forwards them to the hosts that
/// the node selects.
class client_path {
public:
    using decision_function = std::function<node::output(
        const flow_key& flow, byte_view datagram, time_point now)>;

    client_path(const adapters::udp_socket& fabric, const packet_port& port,
                decision_function decide, drop_handler drop);

    /// @brief Handles one batch; returns the number of datagrams received.
    std::size_t run_once(duration wait);

private:
    void forward(byte_view datagram, const wire::keyring& keys, time_point now);

    const adapters::udp_socket& fabric_;
    const packet_port& port_;
    decision_function decide_;
    drop_handler drop_;
    adapters::receive_batch in_;
    packet_sender out_;
};

/// @brief Receives packets of other arbutusport processes and sends answers to
/// the fabric.
class answer_path {
public:
    /// Returns only send_to_client and dropped outputs; none for a packet that
    /// the control plane handles.
    using decision_function = std::function<node::outputs(
        wire::packet message, const endpoint& from, time_point now)>;

    answer_path(const packet_port& port, const adapters::udp_socket& fabric,
                const endpoint& fabric_address, decision_function decide,
                drop_handler drop);

    std::size_t run_once(duration wait);

private:
    void send_answer(const node::send_to_client& it);
    void flush();

    const packet_port& port_;
    const adapters::udp_socket& fabric_;
    endpoint fabric_address_;
    decision_function decide_;
    drop_handler drop_;
    adapters::receive_batch in_;
    adapters::send_batch out_;
};

} // namespace arbutusport::daemon
