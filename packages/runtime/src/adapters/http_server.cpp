// Runs POCO's HTTP server with a handler function.

#include <arbutusport/adapters/http_server.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

namespace arbutusport::adapters {

namespace {

namespace net = Poco::Net;

// Enough for a few metrics collectors; further connections are queued.
constexpr int max_threads = 2;
constexpr int max_queued = 16;
constexpr int idle_timeout_s = 10;

class document_handler : public net::HTTPRequestHandler {
public:
    explicit document_handler(const http_handler& handler)
        : handler_(handler) {}

    void handleRequest(net::HTTPServerRequest& request,
                       net::HTTPServerResponse& response) override {
        const bool is_read =
            request.getMethod() == "GET" || request.getMethod() == "HEAD";
        const auto document =
            is_read ? handler_(path_of(request.getURI())) : std::nullopt;
        const std::string body = document ? document->body : "not found\n";
        response.setStatusAndReason(
            !is_read            ? net::HTTPResponse::HTTP_METHOD_NOT_ALLOWED
            : !document         ? net::HTTPResponse::HTTP_NOT_FOUND
            : document->healthy ? net::HTTPResponse::HTTP_OK
                                : net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
        response.setContentType(document ? document->type : "text/plain");
        response.sendBuffer(body.data(), body.size());
    }

private:
    static std::string path_of(const std::string& uri) {
        return uri.substr(0, uri.find('?'));
    }

    const http_handler& handler_;
};

class document_factory : public net::HTTPRequestHandlerFactory {
public:
    explicit document_factory(http_handler handler)
        : handler_(std::move(handler)) {}

    net::HTTPRequestHandler*
    createRequestHandler(const net::HTTPServerRequest&) override {
        return new document_handler(handler_);
    }

private:
    http_handler handler_;
};

net::HTTPServerParams::Ptr make_params() {
    net::HTTPServerParams::Ptr it(new net::HTTPServerParams);
    it->setMaxThreads(max_threads);
    it->setMaxQueued(max_queued);
    it->setTimeout(Poco::Timespan(idle_timeout_s, 0));
    it->setKeepAlive(false);
    return it;
}

} // namespace

struct http_server::impl {
    Poco::ThreadPool threads{1, max_threads + 1};
    std::unique_ptr<net::HTTPServer> server;

    ~impl() {
        if (server)
            server->stopAll(true);
    }
};

http_server::http_server() : impl_(std::make_unique<impl>()) {}
http_server::http_server(http_server&&) noexcept = default;
http_server& http_server::operator=(http_server&&) noexcept = default;
http_server::~http_server() = default;

result<http_server> http_server::listen(const endpoint& local,
                                        http_handler handler) {
    http_server it;
    try {
        const net::ServerSocket socket(net::SocketAddress(to_string(local)));
        it.impl_->server = std::make_unique<net::HTTPServer>(
            new document_factory(std::move(handler)), it.impl_->threads, socket,
            make_params());
        it.impl_->server->start();
    } catch (const Poco::Exception& error) {
        return fail("listen_http", to_string(local), error.displayText());
    }
    return it;
}

} // namespace arbutusport::adapters
