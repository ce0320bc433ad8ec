// Writes log lines from a thread of its own, so that a reader that has stopped
// never blocks those who log: lines wait in a bounded queue, and those that do
// not fit are counted and reported when there is room again.
#pragma once

#include <arbutusport/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace arbutusport::adapters {

struct line_writer_options {
    /// File descriptor; it stays open.
    int descriptor = 2;
    /// Bytes that may wait: some thousands of lines, a small share of the 79 MB
    /// of the smallest machines.
    std::size_t max_waiting_bytes = 512U * 1024U;
    /// Added to the line that reports lost ones.
    std::string prefix;
};

/// @brief Thread-safe.
class line_writer {
public:
    explicit line_writer(line_writer_options options = {});
    /// @brief Writes what waits, for at most 200 ms.
    ~line_writer();
    line_writer(const line_writer&) = delete;
    line_writer& operator=(const line_writer&) = delete;

    /// @brief Never blocks. False if the line did not fit in.
    bool write(std::string line);
    /// @brief Waits until all lines were written or the time is over.
    void flush(duration at_most);
    /// @brief Lines that did not fit in since the start.
    std::uint64_t lost() const;

private:
    struct impl;
    // The thread shares it, because it may hang in a write for ever.
    std::shared_ptr<impl> impl_;
};

} // namespace arbutusport::adapters
