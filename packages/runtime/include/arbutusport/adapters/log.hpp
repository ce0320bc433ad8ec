// Structured logging on glog: one key=value line per event, written by a
// line_writer.
#pragma once

#include <arbutusport/base/time.hpp>

#include <cstdint>
#include <mutex>
#include <sstream>
#include <string>
#include <string_view>

namespace arbutusport::adapters {

enum class severity : std::uint8_t { debug, info, warning, error };

struct log_options {
    /// Events below this severity are dropped.
    severity minimum_severity = severity::info;
    /// Name of the process, added to each line.
    std::string process;
    /// File descriptor to write to; standard error by default.
    int descriptor = 2;
};

/// @brief Must be called once, before any thread starts.
void start_log(const log_options& options);

/// @brief Waits until all lines are written, for at most 200 ms because the
/// reader may have stalled. For exits that run no destructors.
void flush_log();

/// @brief One log event, written when the object is destroyed.
///
///     log_event(severity::info, "peer_down").field("peer", name);
class log_event {
public:
    log_event(severity level, std::string_view event);
    ~log_event();
    log_event(const log_event&) = delete;
    log_event& operator=(const log_event&) = delete;

    /// @brief Quotes the value if it contains spaces, quotes or control bytes.
    log_event& field(std::string_view key, std::string_view value);

    template <class Number>
    requires std::is_arithmetic_v<Number> log_event& field(std::string_view key,
                                                           Number value) {
        return field(key, std::string_view(std::to_string(value)));
    }

private:
    severity level_;
    std::ostringstream line_;
};

/// @brief Formats a value for a key=value line, in quotes if necessary.
std::string quote_value(std::string_view value);

/// @brief Limits the log lines per second of packet paths and counts the
/// suppressed ones. Thread-safe.
class log_limiter {
public:
    explicit log_limiter(std::uint32_t lines_per_second)
        : lines_per_second_(lines_per_second) {}

    bool allow(time_point now);
    /// @brief Returns the number of suppressed lines since the last call.
    std::uint64_t take_suppressed();

private:
    std::uint32_t lines_per_second_;
    std::mutex mutex_;
    time_point window_start_;
    std::uint32_t lines_ = 0;
    std::uint64_t suppressed_ = 0;
};

} // namespace arbutusport::adapters
