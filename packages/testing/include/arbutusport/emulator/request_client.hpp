// A CoAP client in virtual time: it repeats, keeps its binding, fetches
// block by block, and records what it sent and was told.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/emulator/history.hpp>
#include <arbutusport/emulator/simulation.hpp>
#include <arbutusport/requests/coap_message.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace arbutusport::emulator {

enum class request_kind : std::uint8_t { read, write, transfer };

struct client_options {
    std::string name;
    std::string service = "participa";
    /// A binding older than this is not used for a new request; less than
    /// the 300 s for which hosts accept it.
    duration binding_use = std::chrono::seconds(240);
    /// Share of writes that carry a Request-Tag.
    double tagged = 0.5;
};

class request_client {
public:
    using sender = std::function<void(bytes)>;

    /// @brief `events` outlives the client.
    request_client(simulation& time, client_options options, history& events,
                   sender send);

    /// @brief Starts a request that is to be answered within `budget`.
    void start(request_kind kind, duration budget);
    void on_datagram(byte_view datagram);
    /// @brief The client's process ends; its requests stay without outcome
    /// at the client, which counts as time-out.
    void stop();

private:
    using message = requests::coap_message;

    struct request {
        request_kind kind = request_kind::read;
        message sent;
        std::uint32_t copies = 0;
        duration repeat_after{};
        // Raised when the message changes, so that old timers do nothing.
        std::uint64_t round = 0;
        // Answers 4.01 and 4.08 restart a request at most so often.
        std::uint32_t restarts_left = 3;
        bool bound = false;
        // Of a transfer: the blocks so far, and their common ETag.
        std::string body;
        bytes etag;
    };

    void send_new_message(const std::string& name, request& it);
    void send_copy(const std::string& name, std::uint64_t round);
    void on_response(const std::string& name, request& it,
                     const message& response);
    void on_block(const std::string& name, request& it,
                  const message& response);
    void restart_transfer(const std::string& name, request& it);
    void tell(const std::string& name, outcome result,
              const std::string& body = {});

    simulation& time_;
    client_options options_;
    history& events_;
    sender send_;
    bool stopped_ = false;
    std::uint64_t started_ = 0;
    std::uint16_t last_message_id_ = 0;
    // Requests without an outcome, by name.
    std::map<std::string, request> open_;
    std::optional<bytes> binding_;
    time_point binding_at_;
};

} // namespace arbutusport::emulator
