// Speed, work left and load of the hosts of a service.

#include <arbutusport/relay/expected_completion.hpp>

#include <algorithm>
#include <cmath>
#include <vector>

namespace arbutusport::relay {

namespace {

// A mean over about a hundred requests with heavy tails is off by a tenth.
// Ratios up to the first bound count as equal speed; from the second on they
// count in full, so that no small change of the mean moves a host's rank much.
constexpr double equal_speed_ratio = 1.15;
constexpr double full_speed_ratio = 1.3;
// Bounds on what a wrong mean may do. Hosts of one service differ less.
constexpr double min_speed = 0.2;
constexpr double max_speed = 4.0;
// Assumed of a host that rejects what it gets: few flows, yet enough to show
// that it serves again. Its requests cause no queue, which at other hosts is
// about as much again as the requests in progress.
constexpr double rejecting_speed = 0.5;

double seconds(double microseconds) {
    return microseconds / 1e6;
}

bool is_measured(const candidate& it) {
    return it.work && it.work->service_us > 0;
}

// Median of the hosts' service times; a host that answers errors within no time
// does not shift it. 0 if fewer than two are measured.
double usual_service_s(std::span<const candidate> hosts) {
    std::vector<std::uint32_t> times;
    times.reserve(hosts.size());
    for (const candidate& it : hosts)
        if (is_measured(it))
            times.push_back(it.work->service_us);
    if (times.size() < 2)
        return 0;
    const auto middle =
        times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::ranges::nth_element(times, middle);
    if (times.size() % 2 != 0)
        return seconds(*middle);
    return seconds(
        (*middle + double(*std::max_element(times.begin(), middle))) / 2);
}

// Measured speed without differences that are within the noise.
double without_noise(double speed) {
    static const double equal = std::log(equal_speed_ratio);
    static const double full = std::log(full_speed_ratio);
    const double size = std::abs(std::log(speed));
    if (size >= full)
        return speed;
    const double kept = std::max(size - equal, 0.0) * full / (full - equal);
    return std::exp(speed < 1 ? -kept : kept);
}

// Requests that wait for a slot, as far as the report shows them.
double waiting_requests(const candidate& it) {
    return it.outstanding > it.slots ? it.outstanding - it.slots : 0;
}

} // namespace

completion_estimator::completion_estimator(std::span<const candidate> hosts,
                                           const placement_options& options)
    : options_(options), usual_service_s_(usual_service_s(hosts)) {
    double busy = 0;
    double flows = 0;
    for (const candidate& it : hosts) {
        busy += it.busy * (usual_service_s_ > 0 ? speed_of(it) : 1);
        flows += it.flows;
    }
    flow_load_ =
        std::max(flows > 0 ? busy / flows : 0, options.default_flow_load);
}

// A host of many times the usual speed does not serve its requests but rejects
// them.
bool completion_estimator::is_implausible(const candidate& it) const {
    return is_measured(it) &&
           seconds(it.work->service_us) * max_speed < usual_service_s_;
}

double completion_estimator::speed_of(const candidate& it) const {
    if (!is_measured(it))
        return 1;
    if (is_implausible(it))
        return rejecting_speed;
    return without_noise(std::clamp(
        usual_service_s_ / seconds(it.work->service_us), min_speed, max_speed));
}

// Mean number of requests in progress; rejected requests count as if they had
// been served.
double completion_estimator::requests_of(const candidate& it) const {
    if (!is_implausible(it))
        return it.busy;
    return std::max(it.busy, it.work->requests_milli_per_second / 1000.0 *
                                 usual_service_s_ / rejecting_speed);
}

// The slots that are idle on average work off what was reported. What was
// placed since counts until the next report: its requests arrive over that
// time, and so the entries do not all choose the host that was idle when it
// reported.
double completion_estimator::work_left_s(const candidate& it,
                                         double service_s) const {
    const double slots = std::max<double>(it.slots, 1);
    const double idle = 1 - std::min(it.busy / slots, 1.0);
    const double age = std::chrono::duration<double>(it.report_age).count();
    // Without samples the reported backlog is 0, which means unknown.
    const double reported =
        is_measured(it) && !is_implausible(it)
            ? seconds(it.work->backlog_us)
            : std::max<double>(requests_of(it), it.outstanding) * service_s /
                  slots;
    const double placed =
        (it.placed_since + it.opened_since) * service_s / slots;
    return std::max(reported - age * idle, 0.0) + placed;
}

// Requests of the flows placed since the report. Hosts of earlier builds report
// no work, and their flows count by their share of requests, as before.
double completion_estimator::placed_requests(const candidate& it) const {
    return it.work ? it.placed_since + it.opened_since
                   : flow_load_ * it.placed_since;
}

// Where openings count as requests, one of them at a local host must not send
// the next flow to another data centre.
double completion_estimator::distance(const candidate& it, double slots) const {
    if (it.local)
        return 0;
    return options_.remote_penalty + (it.work ? 1 / slots : 0);
}

completion_estimate completion_estimator::estimate(const candidate& it) const {
    const double slots = std::max<double>(it.slots, 1);
    const double penalties =
        distance(it, slots) + options_.unanswered_penalty * it.unanswered;
    if (usual_service_s_ <= 0) {
        // Half of the weight is on the number of flows, because flows that are
        // idle now send requests to the host later.
        const double requests =
            0.5 * it.busy + 0.5 * flow_load_ * it.flows + placed_requests(it);
        const double factor = it.warming_up ? options_.warmup_factor : 1;
        return {.load =
                    factor * (requests + 0.5 * waiting_requests(it)) / slots +
                    penalties};
    }
    double speed = speed_of(it);
    // The mean of a host that has just started may be from before it was warm.
    if (it.warming_up)
        speed = std::min(speed, 1 / options_.warmup_factor);
    const double service_s = usual_service_s_ / speed;
    const double busy = requests_of(it);
    const double work_s = work_left_s(it, service_s);
    // A slow host is busy for longer with the same requests, so the speed
    // counts for the requests that are still to come only. Waiting requests
    // count by number as well, because hosts reject by number.
    const double requests = 0.5 * busy + 0.5 * flow_load_ * it.flows / speed +
                            0.5 * waiting_requests(it);
    return {.load = requests / slots + work_s / usual_service_s_ +
                    options_.service_weight * (1 / speed - 1) + penalties,
            .speed = speed,
            .completion = duration(
                static_cast<duration::rep>(1e6 * (work_s + service_s)))};
}

} // namespace arbutusport::relay
