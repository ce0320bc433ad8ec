// Guards against a stalled reader of the log that blocks the process: threads
// that log must not wait for it, and lost lines must be counted.

#include <arbutusport/adapters/clock.hpp>
#include <arbutusport/adapters/line_writer.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <csignal>

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

std::uint64_t count_lines(const std::string& text) {
    return static_cast<std::uint64_t>(std::ranges::count(text, '\n'));
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
        // The reader resumes: accepted lines arrive, and the loss is reported.
        std::string text;
        const auto limit = now() + seconds(5);
        while (text.find("log_lines_lost") == std::string::npos &&
               now() < limit) {
            text += pipe.read_available();
            it.flush(milliseconds(1));
        }
        it.flush(seconds(1));
        text += pipe.read_available();
        CPPUNIT_ASSERT_EQUAL(accepted + 1, count_lines(text));
        CPPUNIT_ASSERT(
            text.find("event=log_lines_lost reason=\"the reader is slow\" "
                      "value=" +
                      std::to_string(it.lost_lines())) != std::string::npos);
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
