// The event loop thread of a process. It handles readable sockets, posted tasks
// and a periodic tick, one at a time.
#pragma once

#include <arbutusport/base/time.hpp>

#include <atomic>
#include <cstddef>
#include <deque>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace arbutusport::daemon {

class event_loop {
public:
    using task = std::function<void()>;

    /// Size limit of the task queue, so that a flood of control packets cannot
    /// exhaust memory.
    static constexpr std::size_t max_tasks = 4096;

    event_loop();
    /// @brief Stops the thread. Queued tasks are discarded.
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// @brief Calls `on_readable` when the descriptor is readable. Must be
    /// called before start().
    void watch(int descriptor, task on_readable);
    void start(duration tick_interval, task on_tick);
    void stop();

    /// @brief Queues `it` for the loop's thread; false if the queue is full.
    /// Thread-safe.
    bool post(task it);

    /// @brief Runs `body` on the loop's thread and waits for its result;
    /// empty after `timeout`. Must not be called on the loop's thread.
    template <class Value>
    std::optional<Value> call(std::function<Value()> body, duration timeout) {
        const auto promise = std::make_shared<std::promise<Value>>();
        auto result = promise->get_future();
        if (!post([promise, body = std::move(body)] {
                promise->set_value(body());
            }))
            return std::nullopt;
        if (result.wait_for(timeout) != std::future_status::ready)
            return std::nullopt;
        return result.get();
    }

private:
    struct watched {
        int descriptor;
        task on_readable;
    };

    void run(duration tick_interval, const task& on_tick);
    void wait_until(time_point due);
    void run_tasks();

    std::vector<watched> watched_;
    std::mutex mutex_;
    std::deque<task> tasks_;
    // An eventfd that wakes the thread when a task is queued or stop() is
    // called.
    int wake_ = -1;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

} // namespace arbutusport::daemon
