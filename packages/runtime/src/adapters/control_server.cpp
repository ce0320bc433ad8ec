// REP side of control messages.

#include <arbutusport/adapters/control_channel.hpp>

#include "nng_handle.hpp"

#include <nng/protocol/reqrep0/rep.h>

#include <atomic>
#include <thread>

namespace arbutusport::adapters {

namespace {

// Upper bound of the time until the server thread sees that it must stop.
constexpr duration receive_timeout = std::chrono::milliseconds(200);
constexpr duration send_timeout = std::chrono::milliseconds(500);

} // namespace

struct control_server::impl {
    nng_handle socket;
    handler answer;
    std::atomic<bool> stopping = false;
    std::thread worker;

    ~impl() {
        stopping = true;
        if (worker.joinable())
            worker.join();
    }

    void run() {
        bytes request;
        while (!stopping) {
            if (nng_receive(socket.get(), request) != 0)
                continue;
            // If sending the reply fails, the peer's request times out.
            nng_transmit(socket.get(), answer(request));
        }
    }
};

control_server::control_server() : impl_(std::make_unique<impl>()) {}
control_server::control_server(control_server&&) noexcept = default;
control_server& control_server::operator=(control_server&&) noexcept = default;
control_server::~control_server() = default;

result<control_server> control_server::listen(const endpoint& local,
                                              handler answer) {
    control_server it;
    it.impl_->answer = std::move(answer);
    nng_socket socket{};
    int ec = nng_rep0_open(&socket);
    if (ec == 0) {
        it.impl_->socket = nng_handle(socket);
        nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, max_control_bytes);
        nng_socket_set_ms(socket, NNG_OPT_RECVTIMEO, nng_ms(receive_timeout));
        nng_socket_set_ms(socket, NNG_OPT_SENDTIMEO, nng_ms(send_timeout));
        ec = nng_listen(socket, nng_url(local).c_str(), nullptr, 0);
    }
    if (ec != 0)
        return fail("listen_control", to_string(local), nng_strerror(ec));
    it.impl_->worker = std::thread([state = it.impl_.get()] { state->run(); });
    return it;
}

} // namespace arbutusport::adapters
