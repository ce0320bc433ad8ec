// Decaying histogram, its quantiles and its conditional means.

#include <arbutusport/relay/service_times.hpp>

#include <algorithm>
#include <cmath>

namespace arbutusport::relay {

namespace {

constexpr double first_bound_us = 1000;
constexpr double bucket_ratio = 1.25;
// A tail of a few hundredths needs a few hundred samples, which a host serves
// in some seconds.
constexpr duration shape_half_life = std::chrono::seconds(5);
// At 30 requests a second some 40 samples count: the mean varies by 15% if 3%
// of the requests take seven times as long as the others, and a host that slows
// down shows it within two seconds.
constexpr duration recent_half_life = std::chrono::milliseconds(500);
// Samples of the histogram's mean that the recent mean includes, so that a
// single long request after a pause does not stand for the host's speed.
constexpr double prior_weight = 4;
// Weight, in samples, of the assumption that a request which has run for some
// time needs as long again. It decides where no samples are left.
constexpr double tail_weight = 0.05;
// A pause must not erase the only values; a first sample after it outweighs
// them anyway.
constexpr float min_decay = 1.0F / 1024;
// Smaller weights are set to zero, because denormal numbers are slow.
constexpr float min_weight = 1e-9F;

float decay_factor(duration passed, duration half_life) {
    const double ratio = std::chrono::duration<double>(passed) /
                         std::chrono::duration<double>(half_life);
    return std::max(static_cast<float>(std::exp2(-ratio)), min_decay);
}

duration to_duration(double us) {
    return duration(static_cast<duration::rep>(us));
}

} // namespace

void service_times::total::add(double sample) {
    weight += 1;
    sum += static_cast<float>(sample);
}

void service_times::total::decay(float factor) {
    weight *= factor;
    sum *= factor;
    if (weight < min_weight)
        *this = {};
}

double service_times::total::mean() const {
    return weight > 0 ? static_cast<double>(sum) / weight : 0;
}

std::size_t service_times::bucket_of(double sample) {
    if (sample < first_bound_us)
        return 0;
    const double n = std::log(sample / first_bound_us) / std::log(bucket_ratio);
    return std::min(bucket_count - 1, static_cast<std::size_t>(n) + 1);
}

double service_times::lower_bound(std::size_t bucket) {
    static const auto bounds = [] {
        std::array<double, bucket_count + 1> out{};
        for (std::size_t i = 1; i < out.size(); ++i)
            out[i] = first_bound_us *
                     std::pow(bucket_ratio, static_cast<int>(i) - 1);
        return out;
    }();
    return bounds[bucket];
}

void service_times::add(duration sample, time_point now) {
    if (now > updated_at_) {
        const duration passed = now - updated_at_;
        const float factor = decay_factor(passed, shape_half_life);
        shape_ = {};
        for (total& it : buckets_) {
            it.decay(factor);
            shape_.weight += it.weight;
            shape_.sum += it.sum;
        }
        recent_.decay(decay_factor(passed, recent_half_life));
        updated_at_ = now;
    }
    const auto us =
        static_cast<double>(std::max(sample, duration::zero()).count());
    buckets_[bucket_of(us)].add(us);
    shape_.add(us);
    recent_.add(us);
}

duration service_times::mean() const {
    if (empty())
        return {};
    return to_duration((recent_.sum + prior_weight * shape_.mean()) /
                       (recent_.weight + prior_weight));
}

double service_times::speed_scale() const {
    const double usual = shape_.mean();
    const auto recent = static_cast<double>(mean().count());
    return usual > 0 && recent > 0 ? recent / usual : 1;
}

duration service_times::quantile(double share) const {
    if (empty())
        return {};
    double left = share * shape_.weight;
    std::size_t last = 0;
    for (std::size_t i = 0; i < bucket_count; ++i) {
        const double weight = buckets_[i].weight;
        if (weight <= 0)
            continue;
        last = i;
        if (left > weight) {
            left -= weight;
            continue;
        }
        const double low = lower_bound(i);
        const double width = lower_bound(i + 1) - low;
        return to_duration((low + width * left / weight) * speed_scale());
    }
    // Rounding has left a rest beyond the last sample.
    return to_duration(lower_bound(last + 1) * speed_scale());
}

duration service_times::expected_rest(duration elapsed) const {
    if (empty())
        return {};
    if (elapsed <= duration::zero())
        return mean();
    const double scale = speed_scale();
    const double age = static_cast<double>(elapsed.count()) / scale;
    double weight = tail_weight;
    double sum = tail_weight * age;
    for (std::size_t i = bucket_of(age); i < bucket_count; ++i) {
        const total& it = buckets_[i];
        const double low = lower_bound(i);
        const double high = lower_bound(i + 1);
        if (low >= age) {
            weight += it.weight;
            sum += it.sum - it.weight * age;
        } else if (high > age) {
            // Samples are assumed to be even within a bucket.
            const double part = it.weight * (high - age) / (high - low);
            weight += part;
            sum += part * (high - age) / 2;
        }
    }
    return to_duration(sum / weight * scale);
}

} // namespace arbutusport::relay
