// A small HTTP server and client over POCO for the simulators and the tests.
#pragma once

#include <arbutusport/base/endpoint.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace arbutusport::emulator {

/// @brief A request passed to a handler. `query` holds the decoded
/// parameters.
struct http_call {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string data_centre; // header X-Data-Centre, or empty
    std::string body;
};

struct http_answer {
    int status = 200;
    std::string body;
    std::map<std::string, std::string> headers;
};

/// @brief Must be thread-safe: it is called from several threads.
using http_handler = std::function<http_answer(const http_call&)>;

/// @brief Serves requests until its destruction. The constructor throws
/// Poco::Exception if the address is in use.
class http_server {
public:
    http_server(const endpoint& address, http_handler handler,
                int max_threads = 16);
    ~http_server();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

/// @brief Sends one request to a loopback server. Returns status 0 if no
/// response arrives within `timeout`.
http_answer
http_request(const endpoint& server, const std::string& method,
             const std::string& path, const std::string& body = {},
             std::chrono::milliseconds timeout = std::chrono::seconds(5));

} // namespace arbutusport::emulator
