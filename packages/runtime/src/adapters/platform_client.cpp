// HTTP GET requests to the platform on two threads.

#include <arbutusport/adapters/platform_client.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/NumberParser.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace arbutusport::adapters {

namespace {

using Poco::Net::HTTPResponse;

constexpr duration connect_timeout = std::chrono::seconds(2);
constexpr duration read_timeout = std::chrono::seconds(5);
constexpr std::size_t max_key_bytes = 256;

struct response {
    int status = 0;
    std::string body;
    std::string revision;
};

// Keys become part of a URL, so only names that need no escaping are accepted.
bool is_safe_key(const std::string& key) {
    return key.size() <= max_key_bytes && key.find("..") == std::string::npos &&
           std::ranges::count(key, '/') == 1 &&
           std::ranges::all_of(key, [](unsigned char c) {
               return std::isalnum(c) || c == '-' || c == '_' || c == '.' ||
                      c == '/';
           });
}

// Reads at most one byte more than allowed, so that the caller can detect an
// oversized body.
std::string read_body(std::istream& in) {
    std::string body(max_response_bytes + 1, '\0');
    in.read(body.data(), static_cast<std::streamsize>(body.size()));
    body.resize(static_cast<std::size_t>(in.gcount()));
    return body;
}

// GET requests that another thread can abort. Each uses a new connection:
// there are only a few per minute, and POCO would reconnect a persistent one
// internally, where abort() cannot reach it.
class abortable_http_reader {
public:
    abortable_http_reader(const endpoint& address, std::string data_centre)
        : peer_(to_string(address)), data_centre_(std::move(data_centre)) {}

    const std::string& peer() const { return peer_; }

    result<response> get(const char* step, const std::string& path,
                         duration timeout) {
        try {
            return get_or_throw(step, path, timeout);
        } catch (const Poco::Exception& it) {
            return fail(step, peer_, it.displayText());
        }
    }

    /// @brief Aborts a GET in progress on another thread; later ones fail.
    void abort() {
        const std::lock_guard lock(mutex_);
        aborted_ = true;
        try {
            socket_.shutdown();
        } catch (const Poco::Exception&) {
            // Not connected: there is nothing to abort.
        }
    }

private:
    Poco::Net::StreamSocket connect() {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(peer_),
                       Poco::Timespan(connect_timeout.count()));
        const std::lock_guard lock(mutex_);
        if (aborted_)
            throw Poco::IOException("the client is shutting down");
        socket_ = socket;
        return socket;
    }

    result<response> get_or_throw(const char* step, const std::string& path,
                                  duration timeout) {
        Poco::Net::HTTPClientSession session(connect());
        session.setTimeout(Poco::Timespan(timeout.count()));
        Poco::Net::HTTPRequest request(Poco::Net::HTTPRequest::HTTP_GET, path,
                                       Poco::Net::HTTPMessage::HTTP_1_1);
        request.setHost(peer_);
        request.set("X-Data-Centre", data_centre_);
        session.sendRequest(request);
        HTTPResponse head;
        std::istream& in = session.receiveResponse(head);
        response out{head.getStatus(), read_body(in),
                     head.get("X-Revision", "")};
        if (out.body.size() > max_response_bytes)
            return fail(step, peer_, "response above 1 MB");
        return out;
    }

    std::string peer_;
    std::string data_centre_;
    std::mutex mutex_;
    // The connection in use, shared with its session.
    Poco::Net::StreamSocket socket_;
    bool aborted_ = false;
};

leaf::error_id bad_status(const char* step, const std::string& peer,
                          int status) {
    return fail(step, peer, "HTTP status " + std::to_string(status));
}

} // namespace

struct platform_client::impl {
    platform_options options;
    platform_callbacks callbacks;
    std::mutex mutex;
    std::condition_variable wake;
    std::deque<std::function<void()>> jobs;
    bool stopping = false;
    abortable_http_reader request_reader{options.address, options.data_centre};
    abortable_http_reader instances_reader{options.address,
                                           options.data_centre};
    std::thread request_thread;
    std::thread instances_thread;

    impl(platform_options chosen, platform_callbacks hooks)
        : options(chosen), callbacks(std::move(hooks)) {}

    void post(std::function<void()> job) {
        {
            const std::lock_guard lock(mutex);
            jobs.push_back(std::move(job));
        }
        wake.notify_all();
    }

    void run_requests() {
        for (;;) {
            std::unique_lock lock(mutex);
            wake.wait(lock, [&] { return stopping || !jobs.empty(); });
            if (stopping)
                return;
            const auto job = std::move(jobs.front());
            jobs.pop_front();
            lock.unlock();
            job();
        }
    }

    void run_instance_polls() {
        std::unique_lock lock(mutex);
        while (!stopping) {
            lock.unlock();
            if (!options.reads_instances || options.reads_instances())
                read_instances_once();
            lock.lock();
            wake.wait_for(lock, options.instances_interval,
                          [&] { return stopping; });
        }
    }

    void report(const failure& it) const { callbacks.on_error(it); }

    void watch(generation after, duration wait) {
        const auto seconds =
            std::chrono::duration_cast<std::chrono::seconds>(wait).count();
        const std::string path = "/v1/head?after=" + to_string(after) +
                                 "&wait=" + std::to_string(seconds);
        handle_failure(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(
                    reply, request_reader.get("watch_head", path,
                                              wait + options.response_grace));
                if (reply.status == HTTPResponse::HTTP_NOT_MODIFIED) {
                    callbacks.on_unchanged(after);
                    return {};
                }
                if (reply.status != HTTPResponse::HTTP_OK)
                    return bad_status("watch_head", request_reader.peer(),
                                      reply.status);
                BOOST_LEAF_AUTO(head,
                                parse_head(reply.body, request_reader.peer()));
                callbacks.on_head(std::move(head));
                return {};
            },
            [&](const failure& it) { report(it); });
    }

    result<records::raw_record> read_record(const std::string& key) {
        if (!is_safe_key(key))
            return fail("read_record", request_reader.peer(),
                        "record key \"" + key + "\" is not kind/name");
        BOOST_LEAF_AUTO(reply,
                        request_reader.get("read_record", "/v1/records/" + key,
                                           read_timeout));
        if (reply.status != HTTPResponse::HTTP_OK)
            return bad_status("read_record", request_reader.peer(),
                              reply.status);
        Poco::UInt64 revision = 0;
        if (!Poco::NumberParser::tryParseUnsigned64(reply.revision, revision))
            return fail("read_record", request_reader.peer(),
                        "record " + key + ": header X-Revision not a number");
        return records::raw_record{key, std::move(reply.body), revision};
    }

    void fetch(const std::vector<std::string>& keys) {
        handle_failure(
            [&]() -> result<void> {
                std::vector<records::raw_record> read;
                for (const auto& key : keys) {
                    BOOST_LEAF_AUTO(record, read_record(key));
                    read.push_back(std::move(record));
                }
                callbacks.on_records(std::move(read));
                return {};
            },
            [&](const failure& it) { report(it); });
    }

    void read_instances_once() {
        handle_failure(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(reply, instances_reader.get("list_instances",
                                                            "/v1/instances",
                                                            read_timeout));
                if (reply.status != HTTPResponse::HTTP_OK)
                    return bad_status("list_instances", instances_reader.peer(),
                                      reply.status);
                BOOST_LEAF_AUTO(
                    list, parse_instances(reply.body, instances_reader.peer()));
                callbacks.on_instances(std::move(list));
                return {};
            },
            [&](const failure& it) { callbacks.on_instances_error(it); });
    }
};

platform_client::platform_client(platform_options options,
                                 platform_callbacks callbacks)
    : impl_(std::make_unique<impl>(options, std::move(callbacks))) {
    impl_->request_thread = std::thread([this] { impl_->run_requests(); });
    impl_->instances_thread =
        std::thread([this] { impl_->run_instance_polls(); });
}

platform_client::~platform_client() {
    {
        const std::lock_guard lock(impl_->mutex);
        impl_->stopping = true;
    }
    impl_->wake.notify_all();
    impl_->request_reader.abort();
    impl_->instances_reader.abort();
    impl_->request_thread.join();
    impl_->instances_thread.join();
}

void platform_client::watch_head(generation after, duration wait) {
    impl_->post(
        [state = impl_.get(), after, wait] { state->watch(after, wait); });
}

void platform_client::fetch_records(std::vector<std::string> keys) {
    impl_->post(
        [state = impl_.get(), keys = std::move(keys)] { state->fetch(keys); });
}

} // namespace arbutusport::adapters
