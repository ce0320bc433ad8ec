// Event loop with poll() on sockets and an eventfd.

#include <arbutusport/daemon/event_loop.hpp>

#include <arbutusport/adapters/clock.hpp>

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>

namespace arbutusport::daemon {

event_loop::event_loop() : wake_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}

event_loop::~event_loop() {
    stop();
    ::close(wake_);
}

void event_loop::watch(int descriptor, task on_readable) {
    watched_.push_back({descriptor, std::move(on_readable)});
}

void event_loop::start(duration tick_interval, task on_tick) {
    thread_ = std::thread([this, tick_interval, on_tick = std::move(on_tick)] {
        run(tick_interval, on_tick);
    });
}

void event_loop::stop() {
    stopping_ = true;
    ::eventfd_write(wake_, 1);
    if (thread_.joinable())
        thread_.join();
}

bool event_loop::post(task it) {
    {
        const std::lock_guard lock(mutex_);
        if (tasks_.size() >= max_tasks)
            return false;
        tasks_.push_back(std::move(it));
    }
    ::eventfd_write(wake_, 1);
    return true;
}

void event_loop::run(duration tick_interval, const task& on_tick) {
    time_point due = adapters::now();
    while (!stopping_) {
        wait_until(due);
        run_tasks();
        if (const auto now = adapters::now(); now >= due) {
            on_tick();
            // Missed ticks are skipped, not repeated.
            due = std::max(due, now - tick_interval) + tick_interval;
        }
    }
}

void event_loop::wait_until(time_point due) {
    std::vector<pollfd> waiting{{wake_, POLLIN, 0}};
    for (const watched& it : watched_)
        waiting.push_back({it.descriptor, POLLIN, 0});
    const auto rest = std::chrono::ceil<std::chrono::milliseconds>(
        std::max(due - adapters::now(), duration::zero()));
    const int n =
        ::poll(waiting.data(), waiting.size(), static_cast<int>(rest.count()));
    if (n <= 0)
        return;
    if (waiting[0].revents != 0) {
        eventfd_t count = 0;
        ::eventfd_read(wake_, &count);
    }
    for (std::size_t i = 0; i < watched_.size(); ++i)
        if (waiting[i + 1].revents != 0)
            watched_[i].on_readable();
}

void event_loop::run_tasks() {
    std::deque<task> ready;
    {
        const std::lock_guard lock(mutex_);
        ready.swap(tasks_);
    }
    for (const task& it : ready)
        it();
}

} // namespace arbutusport::daemon
