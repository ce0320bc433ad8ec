// Evidence for conclusions from the absence of a record. That no host owns a
// flow, or that no route exists, follows from the directory only if it contains
// every change that the store had acknowledged when the packet arrived. A read
// barrier obtains this evidence by a read of the store that starts after the
// arrival. An entry that follows a reader sends its request to the reader, so
// that one call serves all entries of the data centre, and reads the store
// itself if the reader does not answer. No earlier message counts: its sender
// may have ended or be suspended.
#pragma once

#include <arbutusport/relay/directory.hpp>
#include <arbutusport/relay/messages.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>

namespace arbutusport::relay {

struct read_barrier_options {
    /// Minimum time between the starts of two reads, which limits the calls to
    /// the store while many conclusions are pending.
    duration read_interval = std::chrono::milliseconds(25);
    /// Minimum time between two requests to the reader.
    duration request_interval = std::chrono::milliseconds(10);
    /// A reader that has not answered for this long has ended, is suspended or
    /// runs a build without barriers. Covers its interval and one read.
    duration reader_timeout = std::chrono::milliseconds(120);
    /// After that, this process reads the store itself for this long before it
    /// asks the reader again.
    duration reader_retry_time = std::chrono::seconds(1);
    /// A read without a result counts as failed.
    duration read_timeout = std::chrono::seconds(2);
    /// Delay of the next read after one that failed.
    duration failure_backoff = std::chrono::milliseconds(200);
    /// Requests of other entries that wait for a read at the same time.
    std::size_t max_waiting = 2048;
};

struct read_barrier_hooks {
    std::function<void(machine_address, const message&)> send;
    /// Reads the changes of the store that the directory lacks. Must be
    /// answered by on_read() or on_read_failed() with the same number.
    std::function<void(std::uint64_t id)> read;
};

/// @brief Not thread-safe.
class read_barrier {
public:
    read_barrier(read_barrier_options options, read_barrier_hooks hooks)
        : options_(options), hooks_(std::move(hooks)) {}

    /// @brief Every change that the store had acknowledged at this time is in
    /// the directory.
    time_point covered_until() const { return covered_until_; }
    /// @brief Requests evidence for `since`. Lapses when an attempt fails, so
    /// it must be repeated while the evidence is needed.
    void require(time_point since);
    /// @brief Starts a barrier if one is required and due, and ends one whose
    /// time has expired. `reader` is empty if this process reads the store for
    /// its data centre, or no process does. Must be called after each batch of
    /// packets or messages and at each tick.
    void advance(const directory& known, std::optional<machine_address> reader,
                 time_point now);

    /// @brief The directory contains the result of the read. Results of
    /// earlier reads than the last one are ignored.
    void on_read(std::uint64_t id, const directory& known);
    void on_read_failed(std::uint64_t id, time_point now);
    /// @brief Handles the request of another entry.
    void on_request(machine_address from, const barrier_request& it,
                    time_point now);
    void on_reply(machine_address from, const barrier_reply& it,
                  const directory& known);

private:
    // A request to the reader.
    struct request {
        std::uint64_t id = 0;
        time_point sent_at;
    };
    // The reader's directory after a read that started after `since`.
    struct position {
        time_point since;
        revision as_of;
        std::uint64_t digest = 0;
    };
    struct read_in_progress {
        std::uint64_t id = 0;
        time_point started_at;
    };
    struct waiting_request {
        machine_address from;
        std::uint64_t id = 0;
        time_point arrived_at;
    };

    void expire(time_point now);
    void start(std::optional<machine_address> reader, time_point now);
    void ask(machine_address reader, time_point now);
    void cover(time_point until, const directory& known);
    void adopt_positions(const directory& known);
    void fail_read(time_point now);

    read_barrier_options options_;
    read_barrier_hooks hooks_;
    // Never decreases.
    time_point covered_until_ = time_point::min();
    time_point required_ = time_point::min();
    // Requirements up to this time are the subject of a request or a read.
    time_point started_until_ = time_point::min();
    time_point next_start_ = time_point::min();
    // Number of the last request or read.
    std::uint64_t id_ = 0;
    // Unanswered requests to `asked_`, by their time.
    machine_address asked_;
    std::deque<request> requests_;
    // Answers whose contents have not arrived here yet, by their time.
    std::deque<position> positions_;
    std::optional<read_in_progress> read_;
    // Until then no reader is asked.
    time_point reads_itself_until_ = time_point::min();
    // By their arrival.
    std::deque<waiting_request> waiting_;
};

} // namespace arbutusport::relay
