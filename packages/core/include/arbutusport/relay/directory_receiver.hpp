// Receiving side of whole directories: collects their parts, and requests those
// that do not arrive.
#pragma once

#include <arbutusport/relay/directory.hpp>
#include <arbutusport/relay/events.hpp>
#include <arbutusport/relay/messages.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <optional>

namespace arbutusport::relay {

struct directory_receiver_options {
    /// When no part has arrived for this long, the missing ones are requested:
    /// longer than the interval in which a sender with a narrow link sends.
    duration part_timeout = std::chrono::milliseconds(60);
    duration request_interval = std::chrono::milliseconds(100);
    /// After this many requests in a row that brought no part, the directory is
    /// given up: its sender has ended, or runs a build that drops them.
    std::size_t max_unanswered = 4;
};

/// @brief Not thread-safe.
class directory_receiver {
public:
    using send_function = std::function<void(machine_address, const message&)>;

    directory_receiver(directory_receiver_options options,
                       send_function send_message,
                       std::function<void(const event&)> report)
        : options_(options), send_(std::move(send_message)),
          report_(std::move(report)) {}

    /// @brief Returns the directory once its last part has arrived.
    std::optional<directory_view>
    on_part(machine_address from, const directory_part& part, time_point now);
    /// @brief Requests missing parts; gives up what the directory has by now.
    void on_tick(const directory& known, time_point now);
    /// @brief True while parts arrive or are requested.
    bool is_receiving() const;
    void forget(machine_address machine) { transfers_.erase(machine); }

private:
    struct transfer {
        // Without its content.
        directory_part header;
        // Empty if there is no transfer.
        std::map<std::uint16_t, bytes> parts;
        time_point began_at;
        time_point part_at;
        time_point requested_at;
        std::size_t requests = 0;
        // Since the last part.
        std::size_t unanswered = 0;
        // Of the last complete directory, copies of whose parts are ignored.
        directory_part complete;
    };

    void request_missing(machine_address from, transfer& it, time_point now);
    void report_incomplete(machine_address from, const transfer& it,
                           time_point now) const;

    directory_receiver_options options_;
    send_function send_;
    std::function<void(const event&)> report_;
    std::map<machine_address, transfer> transfers_;
};

} // namespace arbutusport::relay
