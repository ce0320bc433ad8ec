// Guards against a stalled reader of the log that blocks the process: threads
// that log must not wait for it, and lost lines must be counted.

#include <arbutusport/adapters/clock.hpp>
#include <arbutusport/adapters/line_writer.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <functional>
#include <string_view>

#include <fcntl.h>
#include <unistd.h>

namespace arbutusport::adapters {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct pipe_ends {
    std::array<int, 2> ends{};

    pipe_ends() { CPPUNIT_ASSERT_EQUAL(0, ::pipe(ends.data())); }
    ~pipe_ends() {
        ::close(ends[0]);
        ::close(ends[1]);
    }
    pipe_ends(const pipe_ends&) = delete;
    pipe_ends& operator=(const pipe_ends&) = delete;

    // Returns the bytes written so far.
    std::string read_available() const {
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
        std::string out;
        std::array<char, 4096> buf{};
        while (true) {
            const auto n = ::read(ends[0], buf.data(), buf.size());
            if (n <= 0)
                return out;
            out.append(buf.data(), static_cast<std::size_t>(n));
        }
    }
};

constexpr std::string_view loss_report =
    "event=log_lines_lost reason=\"the reader is slow\" value=";

std::uint64_t count_matches(std::string_view text, std::string_view pattern) {
    std::uint64_t n = 0;
    for (auto at = text.find(pattern); at != std::string_view::npos;
         at = text.find(pattern, at + pattern.size()))
        ++n;
    return n;
}

std::uint64_t sum_of_reported_losses(const std::string& text) {
    std::uint64_t sum = 0;
    for (auto at = text.find(loss_report); at != std::string::npos;
         at = text.find(loss_report, at + 1)) {
        const auto value_at = at + loss_report.size();
        // A report whose end has not been read yet is left out.
        const auto end = text.find('\n', value_at);
        if (end != std::string::npos)
            sum += std::stoull(text.substr(value_at, end - value_at));
    }
    return sum;
}

// Reads until `is_complete` returns true, for at most 5 s.
std::string
read_until(const pipe_ends& pipe, line_writer& writer,
           const std::function<bool(const std::string&)>& is_complete) {
    const auto limit = now() + seconds(5);
    std::string text;
    while (!is_complete(text) && now() < limit) {
        text += pipe.read_available();
        writer.flush(milliseconds(1));
    }
    // Anything that arrives after completion is an error that the caller's
    // checks must see.
    writer.flush(milliseconds(100));
    return text + pipe.read_available();
}

} // namespace

class line_writer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(line_writer_test);
    CPPUNIT_TEST(writes_lines_in_order);
    CPPUNIT_TEST(stalled_reader_does_not_block_writers);
    CPPUNIT_TEST(destructor_does_not_wait_for_stalled_reader);
    CPPUNIT_TEST(closed_reader_does_not_stop_the_writer);
    CPPUNIT_TEST_SUITE_END();

public:
    // The programs ignore SIGPIPE as well.
    void setUp() override { std::signal(SIGPIPE, SIG_IGN); }

    void writes_lines_in_order() {
        const pipe_ends pipe;
        line_writer it({.descriptor = pipe.ends[1]});
        CPPUNIT_ASSERT(it.write("one"));
        CPPUNIT_ASSERT(it.write("two"));
        it.flush(seconds(5));
        CPPUNIT_ASSERT_EQUAL(std::string("one\ntwo\n"), pipe.read_available());
    }

    void stalled_reader_does_not_block_writers() {
        constexpr std::uint64_t lines = 200'000;
        const pipe_ends pipe;
        line_writer it({.descriptor = pipe.ends[1]});
        const auto started_at = now();
        std::uint64_t accepted = 0;
        for (std::uint64_t i = 0; i < lines; ++i)
            accepted +=
                it.write("event=flood value=" + std::to_string(i)) ? 1 : 0;
        // One second for 200,000 lines is 5 us per line.
        CPPUNIT_ASSERT(now() - started_at < seconds(1));
        CPPUNIT_ASSERT_EQUAL(lines - accepted, it.lost_lines());
        CPPUNIT_ASSERT(accepted < lines);
        // The reader resumes: every accepted line arrives, and the loss is
        // reported, possibly in several parts.
        const std::string text = read_until(pipe, it, [&](const auto& so_far) {
            return count_matches(so_far, "event=flood ") == accepted &&
                   sum_of_reported_losses(so_far) == it.lost_lines();
        });
        CPPUNIT_ASSERT_EQUAL(accepted, count_matches(text, "event=flood "));
        CPPUNIT_ASSERT_EQUAL(it.lost_lines(), sum_of_reported_losses(text));
        CPPUNIT_ASSERT_EQUAL(accepted + count_matches(text, loss_report),
                             count_matches(text, "\n"));
    }

    void destructor_does_not_wait_for_stalled_reader() {
        const pipe_ends pipe;
        const auto started_at = now();
        {
            line_writer it({.descriptor = pipe.ends[1]});
            for (int i = 0; i < 100'000; ++i)
                it.write("event=flood");
        }
        CPPUNIT_ASSERT(now() - started_at < seconds(2));
    }

    void closed_reader_does_not_stop_the_writer() {
        std::array<int, 2> ends{};
        CPPUNIT_ASSERT_EQUAL(0, ::pipe(ends.data()));
        ::close(ends[0]);
        line_writer it({.descriptor = ends[1]});
        it.write("event=reader_closed");
        it.flush(seconds(5));
        CPPUNIT_ASSERT(it.write("event=still_there"));
        it.flush(seconds(5));
        ::close(ends[1]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(line_writer_test);

} // namespace arbutusport::adapters
