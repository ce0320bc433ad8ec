// Queue of log lines and the thread that writes them.

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

constexpr duration final_flush_timeout = std::chrono::milliseconds(200);
constexpr int no_poll_timeout = -1;

// Lines that cannot be written are dropped: there is no other output to report
// the error to.
void write_all(int descriptor, const std::string& text) {
    std::size_t done = 0;
    while (done < text.size()) {
        const auto n =
            ::write(descriptor, text.data() + done, text.size() - done);
        if (n > 0) {
            done += static_cast<std::size_t>(n);
        } else if (n < 0 && errno == EAGAIN) {
            pollfd one{.fd = descriptor, .events = POLLOUT, .revents = 0};
            ::poll(&one, 1, no_poll_timeout);
        } else if (n == 0 || errno != EINTR) {
            return;
        }
    }
}

} // namespace

struct line_writer::impl {
    line_writer_options options;
    mutable std::mutex mutex;
    std::condition_variable lines_queued;
    std::condition_variable lines_written;
    std::deque<std::string> lines;
    std::size_t waiting_bytes = 0;
    std::uint64_t lost = 0;
    std::uint64_t lost_reported = 0;
    bool is_writing = false;
    bool stopping = false;

    explicit impl(line_writer_options from) : options(std::move(from)) {}

    // Joins all queued lines for a single write.
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
            lines_queued.wait(lock, [&] { return stopping || !lines.empty(); });
            if (lines.empty())
                return;
            const std::string text = take_all();
            is_writing = true;
            lock.unlock();
            write_all(options.descriptor, text);
            lock.lock();
            is_writing = false;
            lines_written.notify_all();
        }
    }
};

line_writer::line_writer(line_writer_options options)
    : impl_(std::make_shared<impl>(std::move(options))) {
    std::thread([it = impl_] { it->run(); }).detach();
}

line_writer::~line_writer() {
    flush(final_flush_timeout);
    const std::lock_guard lock(impl_->mutex);
    impl_->stopping = true;
    impl_->lines.clear();
    impl_->lines_queued.notify_all();
}

bool line_writer::write(std::string line) {
    const std::lock_guard lock(impl_->mutex);
    impl& state = *impl_;
    if (state.waiting_bytes + line.size() + 1 >
        state.options.max_waiting_bytes) {
        ++state.lost;
        return false;
    }
    state.waiting_bytes += line.size() + 1;
    state.lines.push_back(std::move(line));
    state.lines_queued.notify_one();
    return true;
}

void line_writer::flush(duration at_most) {
    std::unique_lock lock(impl_->mutex);
    impl_->lines_written.wait_for(lock, at_most, [&] {
        return impl_->lines.empty() && !impl_->is_writing;
    });
}

std::uint64_t line_writer::lost_lines() const {
    const std::lock_guard lock(impl_->mutex);
    return impl_->lost;
}

} // namespace arbutusport::adapters
