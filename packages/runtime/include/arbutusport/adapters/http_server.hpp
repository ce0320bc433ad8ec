// HTTP server for read-only documents such as metrics.
#pragma once

#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/base/error.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace arbutusport::adapters {

struct http_document {
    std::string type;
    std::string body;
    /// If false, the response status is 503 instead of 200.
    bool healthy = true;
};

/// @brief Handles GET and HEAD requests; must be thread-safe. An empty result
/// is answered with status 404.
using http_handler =
    std::function<std::optional<http_document>(const std::string& path)>;

class http_server {
public:
    /// @brief Fails with step "listen_http".
    static result<http_server> listen(const endpoint& local,
                                      http_handler handler);

    http_server(http_server&&) noexcept;
    http_server& operator=(http_server&&) noexcept;
    ~http_server();

private:
    http_server();
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace arbutusport::adapters
