// The queue and its thread.

#include <arbutusport/adapters/line_writer.hpp>

#include <cerrno>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>

#include <poll.h>
#include <unistd.h>

namespace arbutusport::adapters {

namespace {

constexpr duration last_flush = std::chrono::milliseconds(200);
constexpr int no_time_limit = -1;

// Lines that cannot be written are dropped: nobody could be told.
void write_all(int descriptor, const std::string& text) {
    std::size_t done = 0;
    while (done < text.size()) {
        const auto n =
            ::write(descriptor, text.data() + done, text.size() - done);
        if (n > 0) {
            done += static_cast<std::size_t>(n);
        } else if (n < 0 && errno == EAGAIN) {
            pollfd one{.fd = descriptor, .events = POLLOUT, .revents = 0};
            ::poll(&one, 1, no_time_limit);
        } else if (n == 0 || errno != EINTR) {
            return;
        }
    }
}

} // namespace

struct line_writer::impl {
    line_writer_options options;
    mutable std::mutex mutex;
    std::condition_variable wake;
    std::condition_variable written;
    std::deque<std::string> lines;
    std::size_t waiting_bytes = 0;
    std::uint64_t lost = 0;
    std::uint64_t lost_reported = 0;
    bool is_writing = false;
    bool stopping = false;

    explicit impl(line_writer_options from) : options(std::move(from)) {}

    // One write for all that waits.
    std::string take_all() {
        std::string out;
        out.reserve(waiting_bytes);
        for (const std::string& it : lines)
            out += it + '\n';
        lines.clear();
        waiting_bytes = 0;
        if (const auto n = lost - std::exchange(lost_reported, lost); n > 0)
            out += options.prefix + "event=log_lines_lost reason=" +
                   "\"the reader is slow\" value=" + std::to_string(n) + '\n';
        return out;
    }

    void run() {
        std::unique_lock lock(mutex);
        while (true) {
            wake.wait(lock, [&] { return stopping || !lines.empty(); });
            if (lines.empty())
                return;
            const std::string text = take_all();
            is_writing = true;
            lock.unlock();
            write_all(options.descriptor, text);
            lock.lock();
            is_writing = false;
            written.notify_all();
        }
    }
};

line_writer::line_writer(line_writer_options options)
    : impl_(std::make_shared<impl>(std::move(options))) {
    std::thread([it = impl_] { it->run(); }).detach();
}

line_writer::~line_writer() {
    flush(last_flush);
    const std::lock_guard lock(impl_->mutex);
    impl_->stopping = true;
    impl_->lines.clear();
    impl_->wake.notify_all();
}

bool line_writer::write(std::string line) {
    const std::lock_guard lock(impl_->mutex);
    impl& it = *impl_;
    if (it.waiting_bytes + line.size() + 1 > it.options.max_waiting_bytes) {
        ++it.lost;
        return false;
    }
    it.waiting_bytes += line.size() + 1;
    it.lines.push_back(std::move(line));
    it.wake.notify_one();
    return true;
}

void line_writer::flush(duration at_most) {
    std::unique_lock lock(impl_->mutex);
    impl_->written.wait_for(lock, at_most, [&] {
        return impl_->lines.empty() && !impl_->is_writing;
    });
}

std::uint64_t line_writer::lost() const {
    const std::lock_guard lock(impl_->mutex);
    return impl_->lost;
}

} // namespace arbutusport::adapters
