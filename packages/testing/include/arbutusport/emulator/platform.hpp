// Emulates the platform's configuration service, with a read and watch port for
// arbutusport and an administration port for tests.
#pragma once

#include <arbutusport/emulator/http.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace arbutusport::emulator {

struct platform_options {
    /// Directory of <kind>.<name>.json files; empty for none.
    std::string records;
    /// Further calls in the same second are rejected with status 429.
    std::uint32_t max_calls_per_s = 2000;
};

/// @brief Thread-safe. The mode decides how it answers readers:
/// - up: immediately;
/// - down: with status 503;
/// - hang: only after the mode changes;
/// - stale: with the records at the time the mode was set;
/// - slow: after 2 s.
class platform {
public:
    /// @brief Throws std::runtime_error if a record file is unreadable.
    explicit platform(platform_options options);
    ~platform();

    /// @brief The port for arbutusport (design 4.6).
    http_answer on_read(const http_call& call);
    /// @brief The port for tests: POST and DELETE
    /// /admin/records/<kind>/<name>, POST /admin/mode {"mode":...,
    /// "data_centre":... (optional)}, POST /admin/instances, and
    /// GET /admin/calls.
    http_answer on_admin(const http_call& call);

    /// @brief Ends all blocked calls, so that the servers can stop.
    void stop();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace arbutusport::emulator
