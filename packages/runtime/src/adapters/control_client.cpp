// REQ side of control messages: a few threads, each with one request at a
// time, and a pool of idle connections.

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

leaf::error_id nng_failure(const endpoint& peer, int ec) {
    return fail("request_control", to_string(peer), nng_strerror(ec));
}

result<nng_handle> connect(const endpoint& peer, duration timeout) {
    nng_socket socket{};
    if (const int ec = nng_req0_open(&socket); ec != 0)
        return nng_failure(peer, ec);
    nng_handle handle(socket);
    nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, max_control_bytes);
    nng_socket_set_ms(socket, NNG_OPT_RECVTIMEO, nng_ms(timeout));
    nng_socket_set_ms(socket, NNG_OPT_SENDTIMEO, nng_ms(timeout));
    // nng must not resend a request on its own.
    nng_socket_set_ms(socket, NNG_OPT_REQ_RESENDTIME, NNG_DURATION_INFINITE);
    // Non-blocking, so that a request to an unreachable peer fails after the
    // send time-out and not after the kernel's connection time-out.
    const int ec =
        nng_dial(socket, nng_url(peer).c_str(), nullptr, NNG_FLAG_NONBLOCK);
    if (ec != 0)
        return nng_failure(peer, ec);
    return handle;
}

result<bytes> exchange(const nng_handle& connection, const endpoint& peer,
                       byte_view request) {
    if (const int ec = nng_transmit(connection.get(), request); ec != 0)
        return nng_failure(peer, ec);
    bytes reply;
    if (const int ec = nng_receive(connection.get(), reply); ec != 0)
        return nng_failure(peer, ec);
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
        completion_handler on_complete;
    };

    struct idle_connection {
        endpoint peer;
        nng_handle connection;
    };

    control_client_options options;
    std::mutex mutex;
    std::condition_variable job_available;
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

    void return_idle(const endpoint& peer, nng_handle connection) {
        // Declared before the lock, so that the connection is closed after
        // the lock is released.
        std::list<idle_connection> surplus;
        const std::lock_guard lock(mutex);
        idle.push_front({peer, std::move(connection)});
        if (idle.size() > options.max_idle_connections)
            surplus.splice(surplus.begin(), idle, std::prev(idle.end()));
    }

    // A connection returns to the pool only after a complete exchange, so a
    // late reply is never taken for the reply to a later request.
    result<bytes> perform(const job& it) {
        std::optional<nng_handle> connection = take_idle(it.peer);
        if (!connection) {
            BOOST_LEAF_ASSIGN(connection, connect(it.peer, options.timeout));
        }
        BOOST_LEAF_AUTO(reply, exchange(*connection, it.peer, it.message));
        return_idle(it.peer, std::move(*connection));
        return reply;
    }

    void run() {
        for (;;) {
            std::unique_lock lock(mutex);
            job_available.wait(lock, [&] { return stopping || !jobs.empty(); });
            if (stopping)
                return;
            job current = std::move(jobs.front());
            jobs.pop_front();
            lock.unlock();
            current.on_complete(handle_failure(
                [&]() -> result<std::variant<bytes, failure>> {
                    BOOST_LEAF_AUTO(reply, perform(current));
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
    impl_->job_available.notify_all();
    for (auto& thread : impl_->threads)
        thread.join();
}

void control_client::request(const endpoint& peer, bytes message,
                             completion_handler on_complete) {
    {
        const std::lock_guard lock(impl_->mutex);
        if (impl_->jobs.size() < impl_->options.max_queued_requests) {
            impl_->jobs.push_back(
                {peer, std::move(message), std::move(on_complete)});
            impl_->job_available.notify_one();
            return;
        }
    }
    on_complete(failure{"request_control", to_string(peer),
                        "the request queue is full"});
}

} // namespace arbutusport::adapters
