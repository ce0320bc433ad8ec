// HTTP server and client of the simulators.

#include <arbutusport/emulator/http.hpp>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>
#include <Poco/Timespan.h>
#include <Poco/URI.h>

#include <utility>

namespace arbutusport::emulator {

namespace net = Poco::Net;

namespace {

constexpr int max_queued_connections = 512;
constexpr int max_keep_alive_requests = 1000;

http_call read_call(net::HTTPServerRequest& request) {
    const Poco::URI uri(request.getURI());
    http_call it{request.getMethod(),
                 uri.getPath(),
                 {},
                 request.get("X-Data-Centre", ""),
                 {}};
    for (const auto& [key, value] : uri.getQueryParameters())
        it.query[key] = value;
    Poco::StreamCopier::copyToString(request.stream(), it.body);
    return it;
}

void write_answer(const http_answer& it, net::HTTPServerResponse& response) {
    response.setStatus(static_cast<net::HTTPResponse::HTTPStatus>(it.status));
    for (const auto& [key, value] : it.headers)
        response.set(key, value);
    response.setContentType("application/json");
    if (it.status == net::HTTPResponse::HTTP_NOT_MODIFIED) {
        response.setContentLength(0);
        response.send();
        return;
    }
    response.sendBuffer(it.body.data(), it.body.size());
}

class call_handler : public net::HTTPRequestHandler {
public:
    explicit call_handler(const http_handler& handler) : handler_(handler) {}

    void handleRequest(net::HTTPServerRequest& request,
                       net::HTTPServerResponse& response) override {
        http_answer it;
        try {
            it = handler_(read_call(request));
        } catch (const std::exception& error) {
            it = {400, error.what(), {}};
        }
        write_answer(it, response);
    }

private:
    const http_handler& handler_;
};

class call_handler_factory : public net::HTTPRequestHandlerFactory {
public:
    explicit call_handler_factory(http_handler handler)
        : handler_(std::move(handler)) {}

    net::HTTPRequestHandler*
    createRequestHandler(const net::HTTPServerRequest&) override {
        return new call_handler(handler_);
    }

private:
    http_handler handler_;
};

net::HTTPServerParams::Ptr make_parameters(int max_threads) {
    net::HTTPServerParams::Ptr it = new net::HTTPServerParams;
    it->setMaxThreads(max_threads);
    it->setMaxQueued(max_queued_connections);
    it->setMaxKeepAliveRequests(max_keep_alive_requests);
    return it;
}

} // namespace

class http_server::impl {
public:
    impl(const endpoint& address, http_handler handler, int max_threads)
        : pool_(2, max_threads + 1),
          server_(new call_handler_factory(std::move(handler)), pool_,
                  net::ServerSocket(net::SocketAddress(to_string(address))),
                  make_parameters(max_threads)) {
        server_.start();
    }

    ~impl() {
        server_.stopAll(true);
        pool_.joinAll();
    }

private:
    Poco::ThreadPool pool_;
    net::HTTPServer server_;
};

http_server::http_server(const endpoint& address, http_handler handler,
                         int max_threads)
    : impl_(std::make_unique<impl>(address, std::move(handler), max_threads)) {}

http_server::~http_server() = default;

http_answer http_request(const endpoint& server, const std::string& method,
                         const std::string& path, const std::string& body,
                         std::chrono::milliseconds timeout) {
    try {
        net::HTTPClientSession session(net::SocketAddress(to_string(server)));
        session.setTimeout(Poco::Timespan(timeout.count() * 1000));
        net::HTTPRequest request(method, path, net::HTTPMessage::HTTP_1_1);
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session.sendRequest(request) << body;
        net::HTTPResponse response;
        std::istream& in = session.receiveResponse(response);
        http_answer it;
        it.status = response.getStatus();
        Poco::StreamCopier::copyToString(in, it.body);
        for (const auto& [key, value] : response)
            it.headers[key] = value;
        return it;
    } catch (const Poco::Exception&) {
        return {0, {}, {}};
    }
}

} // namespace arbutusport::emulator
