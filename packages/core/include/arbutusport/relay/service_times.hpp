// Distribution of the service times of a host's recent requests, learned from
// samples.
#pragma once

#include <arbutusport/base/time.hpp>

#include <array>
#include <cstddef>

namespace arbutusport::relay {

/// @brief Histogram with logarithmic buckets whose weights decay with time,
/// and a mean that follows within about a second. The state does not grow;
/// add() takes O(buckets). Without newer samples the last values stay.
///
/// A host's speed changes faster than the shape of the distribution can be
/// learned again, so the shape is scaled by the ratio of the recent mean to the
/// mean of the histogram. Not thread-safe.
class service_times {
public:
    void add(duration sample, time_point now);

    bool empty() const { return shape_.weight <= 0; }
    /// @brief 0 without samples, like the functions below.
    duration mean() const;
    /// @param share Between 0 and 1.
    duration quantile(double share) const;
    /// @brief Mean of what is left of a request that has run for `elapsed`.
    /// Beyond the longest sample it is as long again as the time elapsed.
    duration expected_rest(duration elapsed) const;

private:
    // Ratio 1.25 from 1 ms: the last bucket starts at 28.6 s.
    static constexpr std::size_t bucket_count = 48;

    // Weight, and sum of weight * sample in microseconds.
    struct total {
        float weight = 0;
        float sum = 0;

        void add(double sample);
        void decay(float factor);
        double mean() const;
    };

    static std::size_t bucket_of(double sample);
    static double lower_bound(std::size_t bucket);
    double speed_scale() const;

    std::array<total, bucket_count> buckets_;
    // Sum of `buckets_`.
    total shape_;
    total recent_;
    time_point updated_at_;
};

} // namespace arbutusport::relay
