// Simulated upstream in virtual time. It runs requests in slots, sheds load,
// answers late, twice or not at all, and records each request that it ran.
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
    /// Fraction of answers that are sent as separate responses.
    double separate = 0;
    /// Fraction of requests that change the version of the large content.
    double new_version = 0;
};

struct virtual_upstream_options {
    std::string host;
    std::string service = "participa";
    std::size_t slots = 2;
    duration min_service = std::chrono::milliseconds(5);
    duration max_service = std::chrono::milliseconds(35);
    duration max_lateness = std::chrono::seconds(400);
    std::size_t body_size = 64;
    upstream_faults faults;
    /// Unbounded queue, as in a server without admission control.
    bool unbounded_queue = true;
};

class virtual_upstream {
public:
    using sender = std::function<void(bytes)>;

    /// @brief `events` may be null and must outlive the upstream.
    virtual_upstream(simulation& time, virtual_upstream_options options,
                     history* events, sender send);

    void on_datagram(byte_view datagram);
    upstream_faults& faults() { return options_.faults; }

    /// @brief Number of requests received, including shed ones but not
    /// retransmissions.
    std::size_t request_count() const { return request_count_; }

private:
    using message = requests::coap_message;
    using request_key = std::pair<std::uint16_t, bytes>;

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
    void remove_expired_requests();

    simulation& time_;
    virtual_upstream_options options_;
    history* events_;
    sender send_;
    // Retransmissions are detected by message id and token (RFC 7252).
    std::map<request_key, known_request> known_requests_;
    time_point next_cleanup_;
    std::deque<message> queue_;
    std::size_t busy_slots_ = 0;
    std::size_t request_count_ = 0;
    std::uint64_t version_ = 1;
    std::uint16_t last_message_id_ = 0;
};

} // namespace arbutusport::emulator
