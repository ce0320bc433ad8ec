// An upstream in virtual time: it runs requests in slots, sheds, answers
// late, twice or never, and records what it ran.
#pragma once

#include <arbutusport/base/bytes.hpp>
#include <arbutusport/emulator/history.hpp>
#include <arbutusport/emulator/simulation.hpp>
#include <arbutusport/requests/coap_message.hpp>

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace arbutusport::emulator {

struct upstream_faults {
    double shed = 0;
    double late = 0;
    double silent = 0;
    double answer_twice = 0;
    /// Share of answers that come in a message of their own.
    double separate = 0;
    /// Share of runs after which the large content has another version.
    double new_version = 0;
};

struct upstream_options {
    std::string host;
    std::string service = "participa";
    std::size_t slots = 2;
    duration min_service = std::chrono::milliseconds(5);
    duration max_service = std::chrono::milliseconds(35);
    duration max_lateness = std::chrono::seconds(400);
    std::size_t body_size = 64;
    upstream_faults faults;
    /// A queue of any length, as a server without admission control has it.
    bool unbounded_queue = true;
};

class virtual_upstream {
public:
    using sender = std::function<void(bytes)>;

    /// @brief `events` may be null, and outlives the upstream.
    virtual_upstream(simulation& time, upstream_options options,
                     history* events, sender send);

    void on_datagram(byte_view datagram);
    upstream_faults& faults() { return options_.faults; }

    /// @brief Requests that arrived, shed ones included, copies apart.
    std::size_t tries() const { return tries_; }

private:
    using message = requests::coap_message;
    using copy_key = std::pair<std::uint16_t, bytes>;

    struct known_request {
        time_point at;
        bool cancelled = false;
        // Empty until answered.
        bytes answer;
    };

    void on_request(message request);
    void start(message request);
    void finish(const message& request);
    message make_answer(const message& request);
    void answer(const message& request, message response);
    void forget_old();

    simulation& time_;
    upstream_options options_;
    history* events_;
    sender send_;
    // Copies of a request are told by message id and token (RFC 7252).
    std::map<copy_key, known_request> known_;
    time_point forget_at_;
    std::deque<message> waiting_;
    std::size_t busy_ = 0;
    std::size_t tries_ = 0;
    std::uint64_t version_ = 1;
    std::uint16_t last_message_id_ = 0;
};

} // namespace arbutusport::emulator
