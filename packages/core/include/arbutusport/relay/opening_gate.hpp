// The last check of opening packets, beside the host: whether it drains,
// whether its data centre is evacuated, and how many a cold host bears. Entries
// state this with their hellos; entries that lag or run an earlier build need
// not keep to it.
#pragma once

#include <arbutusport/relay/messages.hpp>
#include <arbutusport/relay/opening_limiter.hpp>

#include <cstdint>
#include <optional>

namespace arbutusport::relay {

/// @brief How far the opening packets of one second may exceed the stated rate
/// of a cold host.
struct warmup_bounds {
    double overage = 1;
    double slack = 0;
};

struct opening_gate_options {
    /// The deployment bounds the time in which a draining host gets new flows.
    bool returns_draining = false;
    /// A drain that no entry has confirmed for this long no longer counts.
    /// Covers six hellos from another data centre.
    duration drain_timeout = std::chrono::seconds(5);
    /// Empty if the deployment limits no cold host.
    std::optional<warmup_bounds> warmup;
    /// An evacuation that no entry has confirmed for this long no longer
    /// counts: nobody who knows of it reaches the host. Covers six hellos from
    /// another data centre.
    duration evacuation_timeout = std::chrono::seconds(5);
    /// After the start of the process or the host, how long opening packets
    /// are returned until an entry says whether the host is cold. Entries of
    /// earlier builds never say it.
    duration max_unknown_time = std::chrono::seconds(1);
    /// A higher rate replaces a lower one that no entry has repeated for this
    /// long: two hellos from another data centre.
    duration rate_timeout = std::chrono::seconds(2);
};

enum class opening_verdict : std::uint8_t {
    deliver,
    draining,
    evacuated,
    cold,
};

/// @brief Reason of the event that reports a returned packet.
const char* to_string(opening_verdict it);

/// @brief Not thread-safe. Times are of a clock that is never stepped.
class opening_gate {
public:
    opening_gate(opening_gate_options options, time_point process_started)
        : options_(options), process_started_(process_started),
          unknown_since_(process_started) {}

    /// @brief Adopts what the hello states about the host.
    void on_hello(const hello& it, time_point now);
    /// @brief Must be called when the host has started anew beside this
    /// process. Until an entry knows its new registration, it counts as cold
    /// for as long as earlier hosts of the service.
    void on_host_started(time_point now);

    /// @brief Decides about the opening packet of a new flow, and counts it if
    /// it is to be delivered.
    opening_verdict admit(time_point now);
    /// @brief Number of opening packets that would be delivered at once;
    /// host_work::unlimited_room if there is no limit.
    std::uint16_t room(time_point now) const;

    bool is_draining(time_point now) const;
    bool is_evacuated(time_point now) const;
    bool is_cold(time_point now) const;
    /// @brief Position of the newest request or removal of an evacuation.
    revision evacuation_position() const { return evacuation_at_; }

private:
    void adopt_registration(const hello& it, time_point now);
    void adopt_evacuation(const host_directive& it, time_point now);
    void adopt_rate(double rate, duration cold_left, bool knows_host,
                    time_point now);
    bool awaits_word(time_point now) const;
    std::size_t limit() const;

    opening_gate_options options_;
    time_point process_started_;
    opening_limiter delivered_;

    // The newest start of a registered host that an entry has stated, and the
    // start of the host that drains, if any. Drains are final, so entries that
    // state the same start as ready lag.
    unix_milliseconds registered_start_{};
    std::optional<unix_milliseconds> draining_start_;
    time_point drain_confirmed_at_;
    // The host that drained before the present one started.
    std::optional<unix_milliseconds> departed_start_;

    bool evacuated_ = false;
    revision evacuation_at_;
    time_point evacuation_confirmed_at_;

    // 0 until an entry has stated one.
    double rate_ = 0;
    time_point rate_confirmed_at_;
    time_point cold_until_;
    // The longest stated remaining time: about the whole warm-up time of a
    // host of the service.
    duration warmup_{};
    // Set until an entry has said whether the host is cold since its start.
    std::optional<time_point> unknown_since_;
    // The newest start time of the host that an entry has stated, and the one
    // before the host started anew. Entries that state no newer one do not know
    // the present host, so they cannot end its cold time. If the host's clock
    // was set back, that time ends by itself.
    unix_milliseconds newest_start_{};
    unix_milliseconds previous_start_{};
    // `cold_until_` follows from an earlier host's warm-up time.
    bool cold_is_assumed_ = false;
};

} // namespace arbutusport::relay
