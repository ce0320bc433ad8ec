// Simulated CoAP client in virtual time. It retransmits, keeps its binding,
// uses block-wise transfer, and records its requests and their outcomes.
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

struct request_client_options {
    std::string name;
    std::string service = "participa";
    /// A new request uses no binding older than this; less than the 300 s for
    /// which hosts accept a binding.
    duration max_binding_age = std::chrono::seconds(240);
    /// Fraction of writes that carry a Request-Tag.
    double request_tag_rate = 0.5;
};

class request_client {
public:
    using sender = std::function<void(bytes)>;

    /// @brief `events` must outlive the client.
    request_client(simulation& time, request_client_options options,
                   history& events, sender send);

    /// @brief Starts a request with `budget` as its deadline.
    void start(request_kind kind, duration budget);
    void on_datagram(byte_view datagram);
    /// @brief Stops the client as if its process ended; open requests are
    /// recorded as time-outs.
    void stop();

private:
    using message = requests::coap_message;

    struct request {
        request_kind kind = request_kind::read;
        message sent;
        std::uint32_t transmissions = 0;
        duration retransmit_after{};
        // Incremented with each new message, so that old timers have no effect.
        std::uint64_t message_number = 0;
        // Limits how often answers 4.01 and 4.08 restart a request.
        std::uint32_t restarts_left = 3;
        bool bound = false;
        // For a transfer: the blocks received so far and their common ETag.
        std::string body;
        bytes etag;
    };

    void send_new_message(const std::string& name, request& it);
    void transmit(const std::string& name, std::uint64_t message_number);
    void on_response(const std::string& name, request& it,
                     const message& response);
    void on_block(const std::string& name, request& it,
                  const message& response);
    void restart_transfer(const std::string& name, request& it);
    void record_outcome(const std::string& name, outcome result,
                        const std::string& body = {});

    simulation& time_;
    request_client_options options_;
    history& events_;
    sender send_;
    bool stopped_ = false;
    std::uint64_t started_ = 0;
    std::uint16_t last_message_id_ = 0;
    // Requests without an outcome, by name.
    std::map<std::string, request> open_requests_;
    std::optional<bytes> binding_;
    time_point binding_at_;
};

} // namespace arbutusport::emulator
