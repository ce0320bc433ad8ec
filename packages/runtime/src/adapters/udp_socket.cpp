// Batched UDP over IPv4.

#include <arbutusport/adapters/udp_socket.hpp>

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <vector>

namespace arbutusport::adapters {

namespace {

constexpr std::size_t datagram_capacity = 65'536;
// Absorbs the packets of a pause of about 10 ms at 100,000 packets/s. The
// kernel limits the size to net.core.rmem_max.
constexpr int socket_buffer_bytes = 8 * 1024 * 1024;

sockaddr_in to_sockaddr(const endpoint& it) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(it.port);
    out.sin_addr.s_addr = htonl(it.address);
    return out;
}

endpoint to_endpoint(const sockaddr_in& it) {
    return {ntohl(it.sin_addr.s_addr), ntohs(it.sin_port)};
}

} // namespace

struct receive_batch::impl {
    // batch_size buffers of datagram_capacity bytes; the kernel allocates only
    // pages that were written.
    std::unique_ptr<std::uint8_t[]> storage{
        new std::uint8_t[batch_size * datagram_capacity]};
    std::array<sockaddr_in, batch_size> peers{};
    std::array<iovec, batch_size> vectors{};
    std::array<mmsghdr, batch_size> headers{};
    std::size_t size = 0;

    impl() {
        for (std::size_t i = 0; i < batch_size; ++i) {
            vectors[i] = {storage.get() + i * datagram_capacity,
                          datagram_capacity};
            headers[i].msg_hdr.msg_name = &peers[i];
            headers[i].msg_hdr.msg_iov = &vectors[i];
            headers[i].msg_hdr.msg_iovlen = 1;
        }
    }
};

receive_batch::receive_batch() : impl_(std::make_unique<impl>()) {}
receive_batch::receive_batch(receive_batch&&) noexcept = default;
receive_batch& receive_batch::operator=(receive_batch&&) noexcept = default;
receive_batch::~receive_batch() = default;

std::size_t receive_batch::size() const {
    return impl_->size;
}

byte_view receive_batch::data(std::size_t i) const {
    return {static_cast<const std::uint8_t*>(impl_->vectors[i].iov_base),
            impl_->headers[i].msg_len};
}

endpoint receive_batch::from(std::size_t i) const {
    return to_endpoint(impl_->peers[i]);
}

struct send_batch::impl {
    std::array<bytes, batch_size> buffers;
    std::array<sockaddr_in, batch_size> peers{};
    std::array<iovec, batch_size> vectors{};
    std::array<mmsghdr, batch_size> headers{};
    std::size_t size = 0;

    impl() {
        for (std::size_t i = 0; i < batch_size; ++i) {
            headers[i].msg_hdr.msg_name = &peers[i];
            headers[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
            headers[i].msg_hdr.msg_iov = &vectors[i];
            headers[i].msg_hdr.msg_iovlen = 1;
        }
    }
};

send_batch::send_batch() : impl_(std::make_unique<impl>()) {}
send_batch::~send_batch() = default;

bool send_batch::full() const {
    return impl_->size == batch_size;
}

bool send_batch::empty() const {
    return impl_->size == 0;
}

bytes& send_batch::add(const endpoint& to) {
    const auto i = impl_->size++;
    impl_->peers[i] = to_sockaddr(to);
    impl_->buffers[i].clear();
    return impl_->buffers[i];
}

void send_batch::remove_last() {
    --impl_->size;
}

struct udp_socket::impl {
    Poco::Net::DatagramSocket socket;
};

udp_socket::udp_socket() : impl_(std::make_unique<impl>()) {}
udp_socket::udp_socket(udp_socket&&) noexcept = default;
udp_socket& udp_socket::operator=(udp_socket&&) noexcept = default;
udp_socket::~udp_socket() = default;

result<udp_socket> udp_socket::bind(const endpoint& local) {
    udp_socket out;
    try {
        const auto address = to_sockaddr(local);
        out.impl_->socket.bind(
            Poco::Net::SocketAddress(
                reinterpret_cast<const sockaddr*>(&address), sizeof address),
            false);
        out.impl_->socket.setReceiveBufferSize(socket_buffer_bytes);
        out.impl_->socket.setSendBufferSize(socket_buffer_bytes);
    } catch (const Poco::Exception& error) {
        return fail("bind_udp", to_string(local), error.displayText());
    }
    return out;
}

endpoint udp_socket::local() const {
    const auto address = impl_->socket.address();
    return to_endpoint(*reinterpret_cast<const sockaddr_in*>(address.addr()));
}

int udp_socket::descriptor() const {
    return impl_->socket.impl()->sockfd();
}

std::size_t udp_socket::receive(receive_batch& into, duration wait) const {
    auto& batch = *into.impl_;
    batch.size = 0;
    for (auto& header : batch.headers)
        header.msg_hdr.msg_namelen = sizeof(sockaddr_in);
    const auto read = [&] {
        return ::recvmmsg(descriptor(), batch.headers.data(), batch_size,
                          MSG_DONTWAIT, nullptr);
    };
    int n = read();
    if (n < 0 && wait > duration::zero()) {
        const auto ms =
            std::chrono::ceil<std::chrono::milliseconds>(wait).count();
        pollfd waiting{descriptor(), POLLIN, 0};
        if (::poll(&waiting, 1, static_cast<int>(ms)) > 0)
            n = read();
    }
    batch.size = n > 0 ? static_cast<std::size_t>(n) : 0;
    return batch.size;
}

std::size_t udp_socket::send(send_batch& batch) const {
    auto& pending = *batch.impl_;
    for (std::size_t i = 0; i < pending.size; ++i)
        pending.vectors[i] = {pending.buffers[i].data(),
                              pending.buffers[i].size()};
    std::size_t done = 0;
    std::size_t rejected = 0;
    while (done < pending.size) {
        const int n = ::sendmmsg(descriptor(), pending.headers.data() + done,
                                 static_cast<unsigned>(pending.size - done), 0);
        if (n > 0) {
            done += static_cast<std::size_t>(n);
        } else if (errno != EINTR) {
            // The kernel rejected the first of the remaining datagrams, for
            // example because of a pending ICMP error; the others may still
            // be sent.
            ++done;
            ++rejected;
        }
    }
    pending.size = 0;
    return rejected;
}

bool udp_socket::send_to(const endpoint& to, byte_view datagram) const {
    const auto address = to_sockaddr(to);
    return ::sendto(descriptor(), datagram.data(), datagram.size(), 0,
                    reinterpret_cast<const sockaddr*>(&address),
                    sizeof address) >= 0;
}

} // namespace arbutusport::adapters
