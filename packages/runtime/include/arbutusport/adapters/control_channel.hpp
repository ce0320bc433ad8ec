// Control messages between arbutusport processes: nng REQ/REP over TCP. The
// first byte of a request is its control_type, the rest is its body.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/base/endpoint.hpp>
#include <arbutusport/base/error.hpp>
#include <arbutusport/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <variant>

namespace arbutusport::adapters {

enum class control_type : std::uint8_t {
    sync = 1,   // body: bytes of config_sync, both ways
    status = 2, // empty body; the reply is a JSON text
};

/// Size limit of a message: several times the full record set of the largest
/// fleet.
inline constexpr std::size_t max_control_bytes = 32 * 1024 * 1024;

/// @brief Serves requests on one endpoint sequentially, on its own thread. An
/// empty reply means that the request was rejected.
class control_server {
public:
    using handler = std::function<bytes(byte_view request)>;

    /// @brief Fails with step "listen_control".
    static result<control_server> listen(const endpoint& local, handler answer);

    control_server(control_server&&) noexcept;
    control_server& operator=(control_server&&) noexcept;
    ~control_server();

private:
    control_server();
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// @brief Sends one request on a new connection and blocks until the reply
/// arrives. Fails with step "request_control".
result<bytes> request_control(const endpoint& peer, byte_view request,
                              duration timeout);

struct control_client_options {
    std::size_t threads = 2;
    /// Upper limit of idle connections in the pool.
    std::size_t max_idle_connections = 16;
    /// Upper limit of queued requests; further ones fail immediately.
    std::size_t max_queued_requests = 64;
    duration timeout = std::chrono::seconds(2);
};

/// @brief Sends requests from a small thread pool and reuses connections.
class control_client {
public:
    /// @brief Called on a thread of the client, exactly once per request
    /// unless the client is destroyed first. The argument is a variant because
    /// the error objects of a result do not outlive the call that created
    /// them.
    using completion_handler =
        std::function<void(std::variant<bytes, failure>)>;

    explicit control_client(control_client_options options = {});
    ~control_client();

    void request(const endpoint& peer, bytes message,
                 completion_handler on_complete);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace arbutusport::adapters
