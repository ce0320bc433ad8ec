// The thread that owns a process's decisions: readable sockets, posted tasks
// and a regular tick, one at a time.
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

    /// Tasks that wait at most; a flood of control packets must not grow
    /// without bound.
    static constexpr std::size_t max_tasks = 4096;

    event_loop();
    /// @brief Stops the thread. Tasks that still wait are dropped.
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// @brief Call before start().
    void watch(int descriptor, task on_readable);
    void start(duration tick_interval, task on_tick);
    void stop();

    /// @brief Runs `it` on the loop's thread; false if too many wait.
    /// Thread-safe.
    bool post(task it);

    /// @brief Runs `body` on the loop's thread and waits for its result;
    /// empty after `timeout`. Not to be called on the loop's thread.
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
    // eventfd: readable while tasks wait.
    int wake_ = -1;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

} // namespace arbutusport::daemon
