// Checks that a read barrier covers a time only if a read of the store started
// after it, whoever made the read, and that an entry does not depend on a
// reader that has ended, is suspended or runs an earlier build.

#include <arbutusport/relay/read_barrier.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace arbutusport::relay {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start{seconds(100)};
const machine_address reader(0x0a000001);
const machine_address follower(0x0a000002);
const machine_address other_follower(0x0a000003);

// A directory as of the revision, with one route.
directory make_directory(std::uint64_t number) {
    directory out;
    out.adopt_listing(revision(number),
                      {{revision(2), routing_document{.version = 1}}}, start);
    return out;
}

struct fixture {
    std::vector<std::pair<machine_address, message>> sent;
    std::vector<std::uint64_t> reads;
    directory known = make_directory(5);
    read_barrier barrier{
        {},
        {.send = [this](machine_address to,
                        const message& it) { sent.emplace_back(to, it); },
         .read = [this](std::uint64_t id) { reads.push_back(id); }}};

    std::uint64_t last_request() const {
        return std::get<barrier_request>(sent.back().second).id;
    }
    barrier_reply reply_as_of(std::uint64_t number) const {
        const directory it = make_directory(number);
        return {
            .id = last_request(), .as_of = it.as_of(), .digest = it.digest()};
    }
};

} // namespace

class read_barrier_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(read_barrier_test);
    CPPUNIT_TEST(a_reader_covers_the_start_of_its_read);
    CPPUNIT_TEST(a_read_that_started_earlier_does_not_count);
    CPPUNIT_TEST(a_late_result_of_an_expired_read_does_not_count);
    CPPUNIT_TEST(a_late_reply_does_not_count);
    CPPUNIT_TEST(a_follower_does_not_wait_for_one_reply_before_it_asks_again);
    CPPUNIT_TEST(a_follower_waits_for_the_contents_that_the_reply_names);
    CPPUNIT_TEST(a_follower_reads_itself_if_the_reader_does_not_answer);
    CPPUNIT_TEST(a_reader_answers_after_a_read_that_starts_later);
    CPPUNIT_TEST(one_read_answers_all_followers);
    CPPUNIT_TEST(calls_do_not_grow_with_the_conclusions);
    CPPUNIT_TEST(a_failed_read_covers_nothing_and_is_repeated);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_reader_covers_the_start_of_its_read() {
        fixture it;
        it.barrier.advance(it.known, std::nullopt, start);
        CPPUNIT_ASSERT(it.reads.empty());
        it.barrier.require(start);
        it.barrier.advance(it.known, std::nullopt, start + milliseconds(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.reads.size());
        CPPUNIT_ASSERT(it.barrier.covered_until() < start);
        it.barrier.on_read(it.reads[0], it.known);
        CPPUNIT_ASSERT(it.barrier.covered_until() == start + milliseconds(3));
    }

    // Guards against the reset of an open flow: its host registered after the
    // read that was in progress when its packet arrived.
    void a_read_that_started_earlier_does_not_count() {
        fixture it;
        it.barrier.require(start);
        it.barrier.advance(it.known, std::nullopt, start);
        const time_point arrival = start + milliseconds(2);
        it.barrier.require(arrival);
        it.barrier.on_read(it.reads[0], it.known);
        CPPUNIT_ASSERT(it.barrier.covered_until() < arrival);
        it.barrier.advance(it.known, std::nullopt, start + milliseconds(60));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.reads.size());
        it.barrier.on_read(it.reads[1], it.known);
        CPPUNIT_ASSERT(it.barrier.covered_until() >= arrival);
    }

    void a_late_result_of_an_expired_read_does_not_count() {
        fixture it;
        it.barrier.require(start);
        it.barrier.advance(it.known, std::nullopt, start);
        it.barrier.advance(it.known, std::nullopt, start + seconds(2));
        const time_point arrival = start + seconds(3);
        it.barrier.require(arrival);
        it.barrier.advance(it.known, std::nullopt, arrival);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.reads.size());
        it.barrier.on_read(it.reads[0], it.known);
        CPPUNIT_ASSERT(it.barrier.covered_until() < start);
    }

    // Guards against a reader that has been suspended and answers, with its old
    // view, requests that no longer wait.
    void a_late_reply_does_not_count() {
        fixture it;
        it.barrier.require(start);
        it.barrier.advance(it.known, reader, start);
        const auto old_reply = it.reply_as_of(5);
        it.barrier.advance(it.known, reader, start + milliseconds(130));
        it.barrier.on_reply(reader, old_reply, it.known);
        CPPUNIT_ASSERT(it.barrier.covered_until() < start);
        it.barrier.on_read(it.reads.at(0), it.known);
        it.barrier.require(start + seconds(5));
        it.barrier.advance(it.known, reader, start + seconds(5));
        it.barrier.on_reply(reader, old_reply, it.known);
        it.barrier.on_reply(other_follower, it.reply_as_of(5), it.known);
        CPPUNIT_ASSERT(it.barrier.covered_until() < start + seconds(5));
        it.barrier.on_reply(reader, it.reply_as_of(5), it.known);
        CPPUNIT_ASSERT(it.barrier.covered_until() == start + seconds(5));
    }

    // Guards against late resets after a loss of power, when packets of lost
    // flows arrive all the time.
    void a_follower_does_not_wait_for_one_reply_before_it_asks_again() {
        fixture it;
        it.barrier.require(start);
        it.barrier.advance(it.known, reader, start);
        const auto first = it.reply_as_of(5);
        const time_point later = start + milliseconds(11);
        it.barrier.require(later);
        it.barrier.advance(it.known, reader, later);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.sent.size());
        it.barrier.on_reply(reader, first, it.known);
        CPPUNIT_ASSERT(it.barrier.covered_until() == start);
        it.barrier.on_reply(reader, it.reply_as_of(5), it.known);
        CPPUNIT_ASSERT(it.barrier.covered_until() == later);
    }

    void a_follower_waits_for_the_contents_that_the_reply_names() {
        fixture it;
        it.barrier.require(start);
        it.barrier.advance(it.known, reader, start);
        directory newer = make_directory(8);
        newer.apply({revision(9), host_record{.key = host_key(1)}}, start);
        it.barrier.on_reply(reader,
                            {.id = it.last_request(),
                             .as_of = newer.as_of(),
                             .digest = newer.digest()},
                            it.known);
        it.barrier.advance(it.known, reader, start + milliseconds(10));
        CPPUNIT_ASSERT(it.barrier.covered_until() < start);
        it.barrier.advance(newer, reader, start + milliseconds(20));
        CPPUNIT_ASSERT(it.barrier.covered_until() == start);
    }

    void a_follower_reads_itself_if_the_reader_does_not_answer() {
        fixture it;
        it.barrier.require(start);
        it.barrier.advance(it.known, reader, start);
        it.barrier.advance(it.known, reader, start + milliseconds(100));
        CPPUNIT_ASSERT(it.reads.empty());
        it.barrier.advance(it.known, reader, start + milliseconds(120));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.reads.size());
        it.barrier.on_read(it.reads[0], it.known);
        // Later conclusions do not wait for the silent reader again.
        const time_point later = start + milliseconds(400);
        it.barrier.require(later);
        it.barrier.advance(it.known, reader, later);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.reads.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.sent.size());
    }

    void a_reader_answers_after_a_read_that_starts_later() {
        fixture it;
        it.barrier.require(start);
        it.barrier.advance(it.known, std::nullopt, start);
        it.barrier.on_request(follower, {7}, start + milliseconds(1));
        it.barrier.on_read(it.reads[0], it.known);
        CPPUNIT_ASSERT(it.sent.empty());
        it.barrier.advance(it.known, std::nullopt, start + milliseconds(50));
        it.barrier.on_read(it.reads.at(1), it.known);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.sent.size());
        CPPUNIT_ASSERT(it.sent[0].first == follower);
        const auto& reply = std::get<barrier_reply>(it.sent[0].second);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, reply.id);
        CPPUNIT_ASSERT(reply.as_of == it.known.as_of());
        CPPUNIT_ASSERT_EQUAL(it.known.digest(), reply.digest);
    }

    void one_read_answers_all_followers() {
        fixture it;
        for (std::uint32_t i = 0; i < 100; ++i)
            it.barrier.on_request(machine_address(0x0a000100 + i), {i}, start);
        it.barrier.advance(it.known, std::nullopt, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.reads.size());
        it.barrier.on_read(it.reads[0], it.known);
        CPPUNIT_ASSERT_EQUAL(std::size_t{100}, it.sent.size());
    }

    // After a loss of power thousands of flows are lost within seconds.
    void calls_do_not_grow_with_the_conclusions() {
        fixture it;
        for (int ms = 0; ms < 1000; ++ms) {
            const time_point now = start + milliseconds(ms);
            it.barrier.require(now);
            it.barrier.advance(it.known, std::nullopt, now);
            if (ms % 10 == 9)
                it.barrier.on_read(it.reads.back(), it.known);
        }
        CPPUNIT_ASSERT(it.reads.size() <= 40);
    }

    void a_failed_read_covers_nothing_and_is_repeated() {
        fixture it;
        it.barrier.require(start);
        it.barrier.advance(it.known, std::nullopt, start);
        it.barrier.on_request(follower, {7}, start);
        it.barrier.on_read_failed(it.reads[0], start + milliseconds(5));
        CPPUNIT_ASSERT(it.barrier.covered_until() < start);
        CPPUNIT_ASSERT(it.sent.empty());
        it.barrier.require(start);
        it.barrier.advance(it.known, std::nullopt, start + milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.reads.size());
        it.barrier.advance(it.known, std::nullopt, start + milliseconds(205));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.reads.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(read_barrier_test);

} // namespace arbutusport::relay
