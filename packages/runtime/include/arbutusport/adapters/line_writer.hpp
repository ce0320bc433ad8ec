// Writes log lines on a separate thread, so that a stalled reader never blocks
// the threads that log. Lines wait in a bounded queue; lines that do not fit
// are counted, and the count is logged when there is room again.
#pragma once

#include <arbutusport/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace arbutusport::adapters {

struct line_writer_options {
    /// File descriptor to write to; the writer does not close it.
    int descriptor = 2;
    /// Size limit of the queue: several thousand lines, a small share of the
    /// 79 MB of memory of the smallest machines.
    std::size_t max_waiting_bytes = 512U * 1024U;
    /// Prefix of the line that reports lost lines.
    std::string prefix;
};

/// @brief Thread-safe.
class line_writer {
public:
    explicit line_writer(line_writer_options options = {});
    /// @brief Flushes the queue for at most 200 ms.
    ~line_writer();
    line_writer(const line_writer&) = delete;
    line_writer& operator=(const line_writer&) = delete;

    /// @brief Queues a line without blocking; false if the queue is full.
    bool write(std::string line);
    /// @brief Waits until all lines are written or `at_most` has elapsed.
    void flush(duration at_most);
    /// @brief Number of lines lost so far because the queue was full.
    std::uint64_t lost_lines() const;

private:
    struct impl;
    // Shared with the thread, which may block in write() indefinitely.
    std::shared_ptr<impl> impl_;
};

} // namespace arbutusport::adapters
