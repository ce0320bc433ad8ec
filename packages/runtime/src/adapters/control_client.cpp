// The REQ side of control messages: a few threads, each with one request at
// a time, over a pool of idle connections.

#include <arbutusport/adapters/control_channel.hpp>

#include "nng_handle.hpp"

#include <nng/protocol/reqrep0/req.h>

#include <condition_variable>
#include <deque>
#include <list>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace arbutusport::adapters {

namespace {

leaf::error_id failed(const endpoint& peer, int ec) {
    return fail("request_control", to_string(peer), nng_strerror(ec));
}

result<nng_handle> connect(const endpoint& peer, duration timeout) {
    nng_socket socket{};
    if (const int ec = nng_req0_open(&socket); ec != 0)
        return failed(peer, ec);
    nng_handle it(socket);
    nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, max_control_bytes);
    nng_socket_set_ms(socket, NNG_OPT_RECVTIMEO, nng_ms(timeout));
    nng_socket_set_ms(socket, NNG_OPT_SENDTIMEO, nng_ms(timeout));
    // A request is not repeated behind the caller's back.
    nng_socket_set_ms(socket, NNG_OPT_REQ_RESENDTIME, NNG_DURATION_INFINITE);
    // Without blocking, so that an unreachable peer ends in the send
    // time-out and not in the kernel's connection time-out.
    const int ec =
        nng_dial(socket, nng_url(peer).c_str(), nullptr, NNG_FLAG_NONBLOCK);
    if (ec != 0)
        return failed(peer, ec);
    return it;
}

result<bytes> exchange(const nng_handle& connection, const endpoint& peer,
                       byte_view request) {
    if (const int ec = nng_transmit(connection.get(), request); ec != 0)
        return failed(peer, ec);
    bytes reply;
    if (const int ec = nng_receive(connection.get(), reply); ec != 0)
        return failed(peer, ec);
    if (reply.empty())
        return fail("request_control", to_string(peer), "refused by the peer");
    return reply;
}

} // namespace

result<bytes> request_control(const endpoint& peer, byte_view request,
                              duration timeout) {
    BOOST_LEAF_AUTO(connection, connect(peer, timeout));
    return exchange(connection, peer, request);
}

struct control_client::impl {
    struct job {
        endpoint peer;
        bytes message;
        on_done done;
    };

    struct idle_connection {
        endpoint peer;
        nng_handle connection;
    };

    control_client_options options;
    std::mutex mutex;
    std::condition_variable wake;
    std::deque<job> jobs;
    // Most recently used first; a connection in use is not in the list.
    std::list<idle_connection> idle;
    bool stopping = false;
    std::vector<std::thread> threads;

    std::optional<nng_handle> take_idle(const endpoint& peer) {
        const std::lock_guard lock(mutex);
        for (auto it = idle.begin(); it != idle.end(); ++it)
            if (it->peer == peer) {
                nng_handle found = std::move(it->connection);
                idle.erase(it);
                return found;
            }
        return std::nullopt;
    }

    void put_idle(const endpoint& peer, nng_handle connection) {
        // Closed after the lock is released.
        std::list<idle_connection> surplus;
        const std::lock_guard lock(mutex);
        idle.push_front({peer, std::move(connection)});
        if (idle.size() > options.max_idle)
            surplus.splice(surplus.begin(), idle, std::prev(idle.end()));
    }

    // A connection goes back to the pool only after a whole exchange, so a
    // late reply never meets a later request.
    result<bytes> perform(const job& it) {
        std::optional<nng_handle> connection = take_idle(it.peer);
        if (!connection) {
            BOOST_LEAF_ASSIGN(connection, connect(it.peer, options.timeout));
        }
        BOOST_LEAF_AUTO(reply, exchange(*connection, it.peer, it.message));
        put_idle(it.peer, std::move(*connection));
        return reply;
    }

    void run() {
        for (;;) {
            std::unique_lock lock(mutex);
            wake.wait(lock, [&] { return stopping || !jobs.empty(); });
            if (stopping)
                return;
            job it = std::move(jobs.front());
            jobs.pop_front();
            lock.unlock();
            it.done(handle_failure(
                [&]() -> result<std::variant<bytes, failure>> {
                    BOOST_LEAF_AUTO(reply, perform(it));
                    return std::variant<bytes, failure>(std::move(reply));
                },
                [](const failure& why) {
                    return std::variant<bytes, failure>(why);
                }));
        }
    }
};

control_client::control_client(control_client_options options)
    : impl_(std::make_unique<impl>()) {
    impl_->options = options;
    for (std::size_t i = 0; i < options.threads; ++i)
        impl_->threads.emplace_back([this] { impl_->run(); });
}

control_client::~control_client() {
    {
        const std::lock_guard lock(impl_->mutex);
        impl_->stopping = true;
    }
    impl_->wake.notify_all();
    for (auto& thread : impl_->threads)
        thread.join();
}

void control_client::request(const endpoint& peer, bytes message,
                             on_done done) {
    {
        const std::lock_guard lock(impl_->mutex);
        if (impl_->jobs.size() < impl_->options.max_waiting) {
            impl_->jobs.push_back({peer, std::move(message), std::move(done)});
            impl_->wake.notify_one();
            return;
        }
    }
    done(failure{"request_control", to_string(peer), "too many requests wait"});
}

} // namespace arbutusport::adapters
