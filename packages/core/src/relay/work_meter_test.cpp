// Checks what is learned from the packet times of a modelled host, for each
// pattern of load that it answers.

#include <arbutusport/relay/work_meter.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <random>

namespace arbutusport::relay {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start{seconds(100)};
constexpr milliseconds usual{30};
constexpr std::uint32_t slots = 2;
const endpoint feed_route{0xc6120001, 443};
const endpoint upload_route{0xc6120002, 443};

flow_key make_flow(std::uint32_t number, const endpoint& route = feed_route) {
    return {{0x64400000 + number, 40001}, route};
}

// A host with a queue. Requests arrive with exponential gaps.
class modelled_host {
public:
    struct request {
        endpoint route = feed_route;
        duration work = usual;
    };
    using source = std::function<request(std::mt19937&)>;

    explicit modelled_host(work_meter& it) : meter(it) {}

    // `observe` is called before each arrival.
    void run(
        duration length, double per_second, const source& next,
        const std::function<void()>& observe = [] {}) {
        std::exponential_distribution<double> gap(per_second);
        for (const time_point end = now + length;;) {
            const time_point at =
                now + duration(static_cast<duration::rep>(1e6 * gap(random_)));
            if (at >= end) {
                answer_until(end);
                return;
            }
            answer_until(at);
            observe();
            offer(next(random_));
        }
    }

    duration work_left() const {
        duration left{};
        for (const time_point it : free_at_)
            left += std::max(it - now, duration());
        return left / slots;
    }

    work_meter& meter;
    time_point now = start;
    // Time until a request beyond the queue is refused.
    duration refusal = milliseconds(1);
    std::size_t queue_limit = 1000;

private:
    void offer(const request& it) {
        const flow_key flow = make_flow(number_++, it.route);
        meter.on_request(flow, it.route, now);
        if (answers_.size() >= slots + queue_limit) {
            answers_.emplace(now + refusal, flow);
            return;
        }
        auto& slot = *std::ranges::min_element(free_at_);
        slot = std::max(slot, now) + it.work;
        answers_.emplace(slot, flow);
    }

    void answer_until(time_point until) {
        while (!answers_.empty() && answers_.begin()->first <= until) {
            const auto first = answers_.begin();
            meter.on_answer(first->second, first->first);
            answers_.erase(first);
        }
        now = until;
    }

    std::mt19937 random_{5};
    std::uint32_t number_ = 0;
    std::array<time_point, slots> free_at_{};
    std::multimap<time_point, flow_key> answers_;
};

modelled_host::source constant(duration work) {
    return
        [work](std::mt19937&) { return modelled_host::request{.work = work}; };
}

modelled_host::request draw_mixture(std::mt19937& random) {
    return {.work = random() % 100 < 3 ? 7 * usual : usual};
}

void assert_near(duration expected, duration actual, double share) {
    const auto wanted = static_cast<double>(expected.count());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(wanted, static_cast<double>(actual.count()),
                                 wanted * share);
}

} // namespace

class work_meter_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(work_meter_test);
    CPPUNIT_TEST(steady_load);
    CPPUNIT_TEST(heavy_tail);
    CPPUNIT_TEST(two_routes_of_different_cost);
    CPPUNIT_TEST(a_host_that_slows_down_five_times);
    CPPUNIT_TEST(overload_with_refusals);
    CPPUNIT_TEST(a_host_that_answers_fast_errors);
    CPPUNIT_TEST(a_silent_host);
    CPPUNIT_TEST(a_lost_request_does_not_hold_its_slot);
    CPPUNIT_TEST(a_lost_request_does_not_hold_the_slot_of_a_faster_host);
    CPPUNIT_TEST(a_restarted_process);
    CPPUNIT_TEST(many_idle_flows_and_routes);
    CPPUNIT_TEST(uploads_of_many_packets);
    CPPUNIT_TEST(unknown_slots);
    CPPUNIT_TEST(ended_flows_and_hosts);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { meter_.set_slots(slots, start); }

    // Guards against waiting that counts as service: the slots are busy for 80%
    // of the time, so most requests wait.
    void steady_load() {
        compare_backlog(constant(usual), 53, 0.1);
        assert_near(usual, meter_.mean_service(), 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(53, meter_.request_rate(host_.now), 16);
    }

    // Guards against a backlog that ignores requests of seven times the usual
    // work, which hold a slot for long.
    void heavy_tail() {
        compare_backlog(draw_mixture, 45, 0.2);
        assert_near(usual * 118 / 100, meter_.mean_service(), 0.3);
        CPPUNIT_ASSERT(meter_.high_service() < 3 * usual);
    }

    // Guards against one value for all routes of a host.
    void two_routes_of_different_cost() {
        host_.run(seconds(20), 40, [](std::mt19937& random) {
            return random() % 4 == 0
                       ? modelled_host::request{upload_route, milliseconds(4)}
                       : modelled_host::request{feed_route, milliseconds(50)};
        });
        assert_near(milliseconds(4), meter_.mean_service(upload_route), 0.05);
        assert_near(milliseconds(50), meter_.mean_service(feed_route), 0.05);
        // A route that was not seen has the mean over all.
        const duration unseen = meter_.mean_service({0xc6120003, 443});
        CPPUNIT_ASSERT(unseen == meter_.mean_service());
        CPPUNIT_ASSERT(unseen > milliseconds(20) && unseen < milliseconds(50));
    }

    // Guards against new flows at a host that has slowed down under flows which
    // cannot move. The target is that it shows within two seconds.
    void a_host_that_slows_down_five_times() {
        host_.run(seconds(20), 40, constant(usual));
        const duration before = meter_.backlog(host_.now);
        host_.run(milliseconds(500), 40, constant(5 * usual));
        CPPUNIT_ASSERT(meter_.backlog(host_.now) > before + 3 * usual);
        host_.run(milliseconds(1500), 40, constant(5 * usual));
        CPPUNIT_ASSERT(meter_.mean_service() > 3 * usual);
        host_.run(seconds(2), 40, constant(5 * usual));
        CPPUNIT_ASSERT(meter_.mean_service() > 4 * usual);
    }

    // Guards against an overloaded host that looks fast because it refuses most
    // requests at once.
    void overload_with_refusals() {
        host_.queue_limit = 2;
        host_.run(seconds(20), 200, constant(usual));
        assert_near(usual, meter_.mean_service(), 0.02);
        CPPUNIT_ASSERT(meter_.backlog(host_.now) > usual / 2);
    }

    // Guards against a faulty host that attracts all new flows, because it
    // answers errors in less time than a request takes.
    void a_host_that_answers_fast_errors() {
        host_.run(seconds(10), 30, constant(usual));
        host_.run(seconds(9), 30, constant(milliseconds(2)));
        assert_near(usual, meter_.mean_service(), 0.02);
        // A part of the requests fails.
        host_.run(seconds(20), 30, [](std::mt19937& random) {
            return modelled_host::request{
                .work = random() % 2 == 0 ? duration(milliseconds(2))
                                          : duration(usual)};
        });
        assert_near(usual, meter_.mean_service(), 0.02);
        // What was learned holds for at most ten seconds without confirmation.
        host_.run(seconds(15), 30, constant(milliseconds(2)));
        CPPUNIT_ASSERT(meter_.mean_service() < milliseconds(5));
    }

    // Guards against work left that grows without bound when a host answers
    // nothing.
    void a_silent_host() {
        host_.run(seconds(5), 30, constant(usual));
        time_point now = host_.now;
        duration longest{};
        for (std::uint32_t i = 0; i < 900; ++i, now += milliseconds(100)) {
            meter_.on_request(make_flow(100'000 + i), feed_route, now);
            const duration backlog = meter_.backlog(now);
            CPPUNIT_ASSERT(i < 50 || backlog > seconds(1));
            longest = std::max(longest, backlog);
            CPPUNIT_ASSERT(meter_.requests() <= 301 + slots);
        }
        // Two requests in service with at most 30 s each, 300 that wait.
        CPPUNIT_ASSERT(longest <= seconds(30) + 300 * usual / slots);
        meter_.on_request(make_flow(1), feed_route, now + seconds(31));
        CPPUNIT_ASSERT(meter_.requests() <= 1 + slots);
        CPPUNIT_ASSERT(meter_.backlog(now + seconds(120)) <= usual);
    }

    // Guards against a slot that counts as taken for 30 s because of a lost
    // packet, during which nothing is learned.
    void a_lost_request_does_not_hold_its_slot() {
        host_.run(seconds(5), 30, constant(usual));
        for (std::uint32_t i = 0; i < slots; ++i)
            meter_.on_request(make_flow(100'000 + i), feed_route, host_.now);
        host_.run(seconds(2), 30, constant(2 * usual));
        CPPUNIT_ASSERT(meter_.mean_service() > usual * 3 / 2);
        CPPUNIT_ASSERT(meter_.backlog(host_.now) < 10 * usual);
    }

    // The mean is from when the host was slower, as after its warm-up.
    void a_lost_request_does_not_hold_the_slot_of_a_faster_host() {
        host_.run(seconds(5), 30, constant(usual));
        for (std::uint32_t i = 0; i < slots; ++i)
            meter_.on_request(make_flow(100'000 + i), feed_route, host_.now);
        host_.run(seconds(2), 30, constant(usual / 2));
        CPPUNIT_ASSERT(meter_.mean_service() < usual * 3 / 4);
        CPPUNIT_ASSERT(meter_.requests() < slots);
    }

    // A new process learns within two seconds while the host is busy.
    void a_restarted_process() {
        work_meter first;
        modelled_host host(first);
        host.run(seconds(10), 45, draw_mixture);
        first = work_meter();
        first.set_slots(slots, host.now);
        CPPUNIT_ASSERT(first.mean_service() == duration());
        host.run(seconds(2), 45, draw_mixture);
        assert_near(usual * 118 / 100, first.mean_service(), 0.35);
    }

    // Guards against state that grows with flows or routes.
    void many_idle_flows_and_routes() {
        time_point now = start;
        for (std::uint32_t i = 0; i < 20'000; ++i, now += usual) {
            const endpoint route{0xc6120000 + i % 500, 443};
            meter_.on_request(make_flow(i, route), route, now);
            meter_.on_answer(make_flow(i, route), now + usual);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, meter_.requests());
        CPPUNIT_ASSERT_EQUAL(std::size_t{64}, meter_.routes());
        CPPUNIT_ASSERT(meter_.backlog(now) == duration());
        assert_near(usual, meter_.mean_service(), 0.01);
        // Requests in progress on more routes than the limit, and more of them
        // than are tracked.
        for (std::uint32_t i = 0; i < 10'000; ++i) {
            const endpoint route{0xc6130000 + i % 100, 443};
            meter_.on_request(make_flow(i, route), route, now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4096}, meter_.requests());
        CPPUNIT_ASSERT_EQUAL(std::size_t{64}, meter_.routes());
        assert_near(4096 * usual / slots, meter_.backlog(now), 0.01);
    }

    // Guards against uploads that count as work while their packets still
    // arrive, and that keep other requests from being measured.
    void uploads_of_many_packets() {
        time_point now = start;
        const flow_key upload = make_flow(1, upload_route);
        const flow_key other = make_flow(2, upload_route);
        for (std::uint32_t i = 0; i < 400; ++i) {
            // Both slots seem to be taken by uploads.
            meter_.on_request(other, upload_route, now);
            for (int packet = 0; packet < 20; ++packet)
                meter_.on_request(upload, upload_route,
                                  now + packet * milliseconds(5));
            // A complete request waits for them according to the model.
            const flow_key complete = make_flow(3);
            meter_.on_request(complete, feed_route, now + milliseconds(95));
            meter_.on_request(other, upload_route, now + milliseconds(98));
            meter_.on_answer(upload, now + milliseconds(100));
            meter_.on_answer(other, now + milliseconds(105));
            meter_.on_answer(complete, now + milliseconds(125));
            now += milliseconds(200);
        }
        assert_near(milliseconds(5), meter_.mean_service(upload_route), 0.1);
        assert_near(usual, meter_.mean_service(feed_route), 0.05);
    }

    void unknown_slots() {
        meter_.set_slots(0, start);
        meter_.on_request(make_flow(1), feed_route, start);
        meter_.on_request(make_flow(2), feed_route, start);
        meter_.on_answer(make_flow(1), start + usual);
        meter_.on_answer(make_flow(2), start + 2 * usual);
        // The total time, with waiting.
        assert_near(usual * 3 / 2, meter_.mean_service(), 0.01);
        meter_.on_request(make_flow(3), feed_route, start + 3 * usual);
        meter_.on_request(make_flow(4), feed_route, start + 3 * usual);
        assert_near(usual * 3 / 2, meter_.backlog(start + 3 * usual), 0.05);
        meter_.set_slots(slots, start + 3 * usual);
        meter_.on_answer(make_flow(3), start + 4 * usual);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, meter_.requests());
    }

    // Guards against work left of requests whose flow or host has ended.
    void ended_flows_and_hosts() {
        host_.run(seconds(1), 30, constant(usual));
        meter_.clear();
        for (std::uint32_t i = 0; i < 5; ++i)
            meter_.on_request(make_flow(i), feed_route, host_.now);
        assert_near(usual * 5 / 2, meter_.backlog(host_.now), 0.01);
        // One has a slot, one waits.
        meter_.on_flow_end(make_flow(0), host_.now);
        meter_.on_flow_end(make_flow(4), host_.now);
        assert_near(usual * 3 / 2, meter_.backlog(host_.now), 0.01);
        meter_.clear();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, meter_.requests());
        CPPUNIT_ASSERT(meter_.backlog(host_.now) == duration());
        assert_near(usual, meter_.mean_service(), 0.01);
        meter_.on_answer(make_flow(1), host_.now);
    }

private:
    // Compares the mean backlog over 60 s with the work that is really left.
    void compare_backlog(const modelled_host::source& next, double per_second,
                         double tolerance) {
        host_.run(seconds(5), per_second, next);
        duration expected{};
        duration actual{};
        host_.run(seconds(60), per_second, next, [&] {
            expected += host_.work_left();
            actual += meter_.backlog(host_.now);
        });
        assert_near(expected, actual, tolerance);
    }

    work_meter meter_;
    modelled_host host_{meter_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(work_meter_test);

} // namespace arbutusport::relay
