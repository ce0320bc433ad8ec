// UDP socket with recvmmsg and sendmmsg.

#include <arbutusport/emulator/udp_socket.hpp>

#include <arbutusport/wire/packet.hpp>

#include <Poco/Net/SocketAddress.h>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>

namespace arbutusport::emulator {

namespace {

constexpr std::size_t batch_size = 16;
constexpr int buffer_bytes = 4 << 20;

// One batch of contiguous receive buffers. All sockets of a thread share it,
// since a load tool has hundreds of sockets.
bytes& receive_buffers() {
    thread_local bytes it(batch_size * wire::max_datagram);
    return it;
}

sockaddr_in to_native(const endpoint& it) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_addr.s_addr = htonl(it.address);
    out.sin_port = htons(it.port);
    return out;
}

endpoint from_native(const sockaddr_in& it) {
    return {ntohl(it.sin_addr.s_addr), ntohs(it.sin_port)};
}

} // namespace

udp_socket::udp_socket(const endpoint& address)
    : socket_(Poco::Net::SocketAddress(to_string(address)), false),
      address_(address) {
    address_.port = socket_.address().port();
    socket_.setReceiveBufferSize(buffer_bytes);
    socket_.setSendBufferSize(buffer_bytes);
}

std::size_t udp_socket::receive(
    const std::function<void(const endpoint&, byte_view)>& on_datagram) {
    bytes& buffers = receive_buffers();
    std::array<sockaddr_in, batch_size> peers{};
    std::array<iovec, batch_size> parts{};
    std::array<mmsghdr, batch_size> messages{};
    for (std::size_t i = 0; i < batch_size; ++i) {
        parts[i] = {buffers.data() + i * wire::max_datagram,
                    wire::max_datagram};
        messages[i].msg_hdr.msg_name = &peers[i];
        messages[i].msg_hdr.msg_namelen = sizeof peers[i];
        messages[i].msg_hdr.msg_iov = &parts[i];
        messages[i].msg_hdr.msg_iovlen = 1;
    }
    const int received = recvmmsg(descriptor(), messages.data(), batch_size,
                                  MSG_DONTWAIT, nullptr);
    for (int i = 0; i < received; ++i)
        on_datagram(
            from_native(peers[i]),
            {buffers.data() + i * wire::max_datagram, messages[i].msg_len});
    return received > 0 ? static_cast<std::size_t>(received) : 0;
}

void udp_socket::send(const std::vector<datagram>& batch) {
    std::array<sockaddr_in, batch_size> peers{};
    std::array<iovec, batch_size> parts{};
    std::array<mmsghdr, batch_size> messages{};
    for (std::size_t done = 0; done < batch.size();) {
        const std::size_t count = std::min(batch_size, batch.size() - done);
        for (std::size_t i = 0; i < count; ++i) {
            const datagram& it = batch[done + i];
            peers[i] = to_native(it.peer);
            parts[i] = {const_cast<std::uint8_t*>(it.data.data()),
                        it.data.size()};
            messages[i].msg_hdr.msg_name = &peers[i];
            messages[i].msg_hdr.msg_namelen = sizeof peers[i];
            messages[i].msg_hdr.msg_iov = &parts[i];
            messages[i].msg_hdr.msg_iovlen = 1;
        }
        const int sent =
            sendmmsg(descriptor(), messages.data(), count, MSG_DONTWAIT);
        // Skips a datagram that cannot be sent and continues with the rest.
        done += sent > 0 ? static_cast<std::size_t>(sent) : 1;
    }
}

void udp_socket::send(const endpoint& to, byte_view data) {
    const sockaddr_in peer = to_native(to);
    // A failed send counts as a lost datagram.
    (void)sendto(descriptor(), data.data(), data.size(), MSG_DONTWAIT,
                 reinterpret_cast<const sockaddr*>(&peer), sizeof peer);
}

std::vector<std::size_t> wait_readable(const std::vector<int>& descriptors,
                                       int timeout_ms) {
    std::vector<pollfd> polled;
    polled.reserve(descriptors.size());
    for (const int fd : descriptors)
        polled.push_back({fd, POLLIN, 0});
    std::vector<std::size_t> ready;
    if (poll(polled.data(), polled.size(), timeout_ms) <= 0)
        return ready;
    for (std::size_t i = 0; i < polled.size(); ++i)
        if (polled[i].revents != 0)
            ready.push_back(i);
    return ready;
}

} // namespace arbutusport::emulator
