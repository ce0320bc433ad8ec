// A small HTTP server and client over POCO for the stand-ins and the tests.
#pragma once

#include <arbutusport/base/endpoint.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace arbutusport::emulator {

/// @brief A request as a handler sees it. `query` holds decoded parameters.
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

/// @brief Called from several threads at once.
using http_handler = std::function<http_answer(const http_call&)>;

/// @brief Serves until it is destroyed. Throws Poco::Exception if the
/// address is taken.
class http_server {
public:
    http_server(const endpoint& address, http_handler handler,
                int max_threads = 16);
    ~http_server();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

/// @brief One request to a loopback server. Status 0 means that no answer
/// came within `timeout`.
http_answer
http_request(const endpoint& server, const std::string& method,
             const std::string& path, const std::string& body = {},
             std::chrono::milliseconds timeout = std::chrono::seconds(5));

} // namespace arbutusport::emulator
