// Burn rates of a service's error budget over two pairs of windows.
// Source: "The Site Reliability Workbook", chapter 5 (multiwindow,
// multi-burn-rate alerts).
#pragma once

#include <arbutusport/base/time.hpp>
#include <arbutusport/records/records.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace arbutusport::telemetry {

enum class objective : std::uint8_t {
    flows_kept,
    requests_served,
    requests_in_time,
};

inline constexpr std::size_t objective_count = 3;

const char* to_string(objective it);

/// @brief Good and bad events per minute over the last six hours.
class event_ring {
public:
    struct totals {
        std::uint64_t good = 0;
        std::uint64_t bad = 0;

        double bad_ratio() const;
    };

    void add(std::uint64_t good, std::uint64_t bad, time_point now);
    /// @brief Sums the events of the last `window`, which includes the minute
    /// of `now` and is at most six hours.
    totals sum(duration window, time_point now) const;

private:
    static constexpr std::size_t minutes = 6 * 60;

    struct bucket {
        // Minute number on the monotonic clock. If it is not the requested
        // minute, the counts are outdated.
        std::int64_t minute = -1;
        totals counts;
    };

    std::array<bucket, minutes> buckets_{};
};

/// @brief Burn rates of one objective. A rate of 1 consumes exactly the budget
/// within its period.
struct burn_rates {
    double over_5_min = 0;
    double over_1_h = 0;
    double over_30_min = 0;
    double over_6_h = 0;

    /// 2% of a 30-day budget in one hour, and still burning.
    bool fast() const { return over_5_min > 14.4 && over_1_h > 14.4; }
    /// 5% of a 30-day budget in six hours, and still burning.
    bool slow() const { return over_30_min > 6 && over_6_h > 6; }
};

/// @brief Event counts and burn rates by service. Not thread-safe. Memory is
/// bounded by the number of published services.
class slo_burn {
public:
    /// @brief Takes the objectives from a snapshot. Services that are no longer
    /// published are removed together with their counts.
    void set_snapshot(const records::snapshot& it);

    /// @brief Counts events of a published service; others are ignored.
    void add(const std::string& service, objective which, std::uint64_t good,
             std::uint64_t bad, time_point now);

    burn_rates rates(const std::string& service, objective which,
                     time_point now) const;

    /// @brief Returns a JSON text of this form:
    /// {"services":[{"name":..,"objectives":[{"name":..,"target":..,
    /// "counts":{"5m":{"good":..,"bad":..},..},"burn":{"5m":..,..},
    /// "alert":"none|slow|fast"}]}]}
    std::string to_json(time_point now) const;

private:
    struct service_events {
        std::array<double, objective_count> targets{};
        std::array<event_ring, objective_count> events{};
    };

    std::map<std::string, service_events> services_;
};

} // namespace arbutusport::telemetry
