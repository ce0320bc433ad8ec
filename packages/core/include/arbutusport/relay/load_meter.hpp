// Mean number of requests at a host over about the last second.
#pragma once

#include <arbutusport/base/time.hpp>

#include <cstdint>

namespace arbutusport::relay {

/// @brief Exponentially weighted by time. Not thread-safe.
class load_meter {
public:
    explicit load_meter(duration window = std::chrono::seconds(1))
        : window_(window) {}

    void set(std::uint32_t outstanding, time_point now);
    std::uint32_t outstanding() const { return outstanding_; }
    double mean(time_point now);

private:
    void advance(time_point now);

    duration window_;
    std::uint32_t outstanding_ = 0;
    double mean_ = 0;
    time_point updated_at_;
};

} // namespace arbutusport::relay
