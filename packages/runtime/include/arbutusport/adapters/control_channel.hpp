// Control messages between own processes: nng REQ/REP over TCP. The first
// byte of a request is its control_type, the rest its body.
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

/// A full set of records of the largest fleet fits several times.
inline constexpr std::size_t max_control_bytes = 32 * 1024 * 1024;

/// @brief Answers requests on one endpoint, one after the other, on its own
/// thread. An empty reply tells the peer that the request was refused.
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

/// @brief One request and its reply on a fresh connection; blocks. Fails with
/// step "request_control".
result<bytes> request_control(const endpoint& peer, byte_view request,
                              duration timeout);

struct control_client_options {
    std::size_t threads = 2;
    /// Connections kept open when idle.
    std::size_t max_idle = 16;
    /// Requests that wait for a thread; more are refused at once.
    std::size_t max_waiting = 64;
    duration timeout = std::chrono::seconds(2);
};

/// @brief Sends requests from a few threads and keeps connections for reuse.
class control_client {
public:
    /// @brief Called on a thread of the client, exactly once a request unless
    /// the client ends first. A variant, because the error objects of a
    /// result do not outlive the call in which they arose.
    using on_done = std::function<void(std::variant<bytes, failure>)>;

    explicit control_client(control_client_options options = {});
    ~control_client();

    void request(const endpoint& peer, bytes message, on_done done);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace arbutusport::adapters
