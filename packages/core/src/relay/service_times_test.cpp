// Checks the learned distribution of service times against known ones.

#include <arbutusport/relay/service_times.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <cstdint>
#include <random>

namespace arbutusport::relay {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const time_point start{seconds(100)};
constexpr milliseconds usual{30};
// Interval of samples: a host with two busy slots.
constexpr milliseconds interval{15};

// Adds samples at a constant rate until `until`.
template <class Sampler>
void feed(service_times& it, time_point from, time_point until,
          Sampler&& sample) {
    for (time_point now = from; now < until; now += interval)
        it.add(sample(), now);
}

auto constant(duration it) {
    return [it] { return it; };
}

// 97% of the samples are `usual`, 3% seven times that.
auto mixture() {
    return [random = std::mt19937(7)]() mutable -> duration {
        return random() % 100 < 3 ? 7 * usual : usual;
    };
}

void assert_near(duration expected, duration actual, double share) {
    const auto wanted = static_cast<double>(expected.count());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(wanted, static_cast<double>(actual.count()),
                                 wanted * share);
}

} // namespace

class service_times_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(service_times_test);
    CPPUNIT_TEST(without_samples_everything_is_zero);
    CPPUNIT_TEST(a_constant_time_is_learned);
    CPPUNIT_TEST(an_exponential_distribution_has_no_memory);
    CPPUNIT_TEST(a_long_request_of_a_mixture_is_expected_to_run_on);
    CPPUNIT_TEST(beyond_all_samples_the_rest_grows_with_the_time_elapsed);
    CPPUNIT_TEST(a_slowdown_shows_within_two_seconds);
    CPPUNIT_TEST(values_from_a_minute_ago_are_replaced);
    CPPUNIT_TEST(a_clock_that_does_not_advance_or_steps_back_is_accepted);
    CPPUNIT_TEST(extreme_samples_stay_within_the_histogram);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a division by the weight 0.
    void without_samples_everything_is_zero() {
        const service_times it;
        CPPUNIT_ASSERT(it.empty());
        CPPUNIT_ASSERT(it.mean() == duration());
        CPPUNIT_ASSERT(it.quantile(0.95) == duration());
        CPPUNIT_ASSERT(it.expected_rest(seconds(1)) == duration());
    }

    void a_constant_time_is_learned() {
        service_times it;
        feed(it, start, start + seconds(10), constant(usual));
        assert_near(usual, it.mean(), 0.01);
        // The width of a bucket.
        assert_near(usual, it.quantile(0.5), 0.25);
        assert_near(usual, it.quantile(0.95), 0.25);
        assert_near(usual, it.expected_rest({}), 0.01);
        assert_near(usual / 2, it.expected_rest(usual / 2), 0.05);
    }

    // Guards against errors of the conditional mean: the rest of an exponential
    // distribution does not depend on the time elapsed.
    void an_exponential_distribution_has_no_memory() {
        service_times it;
        // Evenly spaced quantiles in a fixed permuted order, without sampling
        // noise.
        std::uint32_t n = 0;
        feed(it, start, start + seconds(30), [&]() -> duration {
            n = (n + 389) % 1000;
            return duration(static_cast<duration::rep>(
                -std::log((n + 0.5) / 1000) * duration(usual).count()));
        });
        assert_near(usual, it.mean(), 0.15);
        assert_near(it.mean(), it.expected_rest(usual / 2), 0.15);
        assert_near(it.mean(), it.expected_rest(usual), 0.15);
        assert_near(it.mean(), it.expected_rest(2 * usual), 0.15);
        const duration high(static_cast<duration::rep>(
            std::log(20) * static_cast<double>(it.mean().count())));
        assert_near(high, it.quantile(0.95), 0.25);
    }

    // Guards against the assumption that a request which has run for longer
    // than the mean is about to end (3% of the requests cost seven times as
    // much).
    void a_long_request_of_a_mixture_is_expected_to_run_on() {
        service_times it;
        feed(it, start, start + seconds(30), mixture());
        assert_near(usual * 118 / 100, it.mean(), 0.25);
        CPPUNIT_ASSERT(it.quantile(0.95) < 2 * usual);
        CPPUNIT_ASSERT(it.quantile(0.99) > 4 * usual);
        assert_near(5 * usual, it.expected_rest(2 * usual), 0.25);
        CPPUNIT_ASSERT(it.expected_rest(2 * usual) > 3 * it.mean());
    }

    void beyond_all_samples_the_rest_grows_with_the_time_elapsed() {
        service_times it;
        feed(it, start, start + seconds(10), constant(usual));
        assert_near(seconds(1), it.expected_rest(seconds(1)), 0.01);
        assert_near(seconds(60), it.expected_rest(seconds(60)), 0.01);
    }

    // Guards against placement at a host that has just slowed down five times,
    // and against the return of old values afterwards.
    void a_slowdown_shows_within_two_seconds() {
        service_times it;
        feed(it, start, start + seconds(30), constant(usual));
        const time_point slow = start + seconds(30);
        // The slots finish five times fewer requests.
        for (time_point now = slow; now < slow + seconds(2);
             now += 5 * interval)
            it.add(5 * usual, now);
        CPPUNIT_ASSERT(it.mean() > 3 * usual);
        CPPUNIT_ASSERT(it.expected_rest({}) > 3 * usual);
        for (time_point now = slow + seconds(2); now < slow + seconds(5);
             now += 5 * interval)
            it.add(5 * usual, now);
        CPPUNIT_ASSERT(it.mean() > 4 * usual);
    }

    // Guards against learned costs that no longer hold.
    void values_from_a_minute_ago_are_replaced() {
        service_times it;
        feed(it, start, start + seconds(30), constant(10 * usual));
        const time_point later = start + minutes(1);
        assert_near(10 * usual, it.mean(), 0.01);
        feed(it, later, later + seconds(1), constant(usual));
        CPPUNIT_ASSERT(it.mean() < 2 * usual);
        // Also after a pause so long that weights would round to 0.
        feed(it, later + minutes(600), later + minutes(600) + seconds(1),
             constant(5 * usual));
        assert_near(5 * usual, it.mean(), 0.1);
    }

    void a_clock_that_does_not_advance_or_steps_back_is_accepted() {
        service_times it;
        for (int i = 0; i < 1000; ++i)
            it.add(usual, start);
        assert_near(usual, it.mean(), 0.01);
        it.add(usual, start - seconds(50));
        assert_near(usual, it.mean(), 0.01);
        assert_near(usual, it.quantile(0.95), 0.25);
    }

    void extreme_samples_stay_within_the_histogram() {
        service_times it;
        it.add(seconds(-1), start);
        it.add(minutes(10), start);
        CPPUNIT_ASSERT(it.quantile(1) >= seconds(28));
        CPPUNIT_ASSERT(it.expected_rest(minutes(20)) > duration());
        CPPUNIT_ASSERT(it.expected_rest(seconds(40)) > duration());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(service_times_test);

} // namespace arbutusport::relay
