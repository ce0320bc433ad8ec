// Guards against a session that fills the queue and starves the others, and
// against a queue that exceeds its limit or serves requests out of order.

#include <arbutusport/requests/admission_queue.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace arbutusport::requests {

namespace {

queued_request make_queued_request(std::uint64_t job, std::uint64_t source,
                                   int deadline_s) {
    return {job, source, time_point(std::chrono::seconds(deadline_s))};
}

} // namespace

class admission_queue_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(admission_queue_test);
    CPPUNIT_TEST(serves_the_earliest_deadline_first);
    CPPUNIT_TEST(serves_sources_round_robin);
    CPPUNIT_TEST(rejects_latest_request_of_largest_source);
    CPPUNIT_TEST(mean_service_time_covers_only_recent_requests);
    CPPUNIT_TEST_SUITE_END();

public:
    void serves_the_earliest_deadline_first() {
        admission_queue queue(4);
        queue.push(make_queued_request(1, 1, 30));
        queue.push(make_queued_request(2, 2, 10));
        queue.push(make_queued_request(3, 3, 20));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1},
            queue.count_ahead_of(make_queued_request(4, 4, 15)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, queue.pop()->job);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, queue.pop()->job);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, queue.pop()->job);
        CPPUNIT_ASSERT(!queue.pop());
    }

    void serves_sources_round_robin() {
        admission_queue queue(4);
        queue.push(make_queued_request(1, 1, 10));
        queue.push(make_queued_request(2, 1, 11));
        queue.push(make_queued_request(3, 1, 12));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1},
            queue.count_ahead_of(make_queued_request(4, 2, 40)));
        queue.push(make_queued_request(4, 2, 40));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, queue.pop()->job);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, queue.pop()->job);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, queue.pop()->job);
    }

    void rejects_latest_request_of_largest_source() {
        admission_queue queue(2);
        CPPUNIT_ASSERT(!queue.push(make_queued_request(1, 1, 10)));
        CPPUNIT_ASSERT(!queue.push(make_queued_request(2, 1, 20)));
        CPPUNIT_ASSERT(queue.push(make_queued_request(3, 1, 5)) ==
                       std::uint64_t{3});
        CPPUNIT_ASSERT(queue.push(make_queued_request(4, 2, 30)) ==
                       std::uint64_t{2});
        CPPUNIT_ASSERT(queue.push(make_queued_request(5, 3, 30)) ==
                       std::uint64_t{5});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, queue.size());
    }

    void mean_service_time_covers_only_recent_requests() {
        service_time it;
        CPPUNIT_ASSERT(it.mean() == duration::zero());
        for (int i = 0; i < 200; ++i)
            it.record(std::chrono::milliseconds(i < 100 ? 500 : 20));
        CPPUNIT_ASSERT(it.mean() == std::chrono::milliseconds(20));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_queue_test);

} // namespace arbutusport::requests
