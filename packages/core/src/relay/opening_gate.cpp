// Decisions about opening packets beside the host.

#include <arbutusport/relay/opening_gate.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace arbutusport::relay {

const char* to_string(opening_verdict it) {
    switch (it) {
    case opening_verdict::draining:
        return "host_draining";
    case opening_verdict::evacuated:
        return "evacuated";
    case opening_verdict::cold:
        return "host_cold";
    case opening_verdict::deliver:
        break;
    }
    return "delivered";
}

void opening_gate::on_hello(const hello& it, time_point now) {
    if (options_.returns_draining)
        adopt_registration(it, now);
    if (it.directive)
        adopt_evacuation(*it.directive, now);
    // Entries of earlier builds do not know whether the host is cold.
    if (!options_.warmup || !it.wants_work)
        return;
    newest_start_ = std::max(newest_start_, it.host_started);
    const bool knows_host = it.host_started > previous_start_;
    const duration cold_left =
        it.directive ? it.directive->cold_left : duration::zero();
    // Kept for a host that starts anew before entries know of it.
    if (it.directive && it.directive->openings_per_second > 0) {
        if (!is_cold(now))
            rate_ = it.directive->openings_per_second;
        warmup_ = std::max(warmup_, it.directive->warmup);
    }
    // A rate of 0: the sender does not know the limits yet.
    if (cold_left > duration::zero()) {
        if (it.directive->openings_per_second > 0)
            adopt_rate(it.directive->openings_per_second, cold_left, knows_host,
                       now);
        return;
    }
    const bool is_registered = it.registered == registration::ready ||
                               it.registered == registration::draining;
    if (!is_registered ||
        (previous_start_ != unix_milliseconds() && !knows_host))
        return;
    if (std::exchange(cold_is_assumed_, false))
        cold_until_ = now;
    unknown_since_.reset();
}

void opening_gate::adopt_registration(const hello& it, time_point now) {
    if (it.registered == registration::absent) {
        // The host has drained and left.
        if (draining_start_)
            drain_confirmed_at_ = now;
        return;
    }
    if (it.registered == registration::unknown ||
        it.host_started < registered_start_)
        return;
    if (it.registered == registration::draining) {
        if (it.host_started == departed_start_)
            return;
        draining_start_ = it.host_started;
        drain_confirmed_at_ = now;
    } else if (draining_start_ && it.host_started > *draining_start_) {
        draining_start_.reset();
    }
    registered_start_ = it.host_started;
}

// The position orders requests and removals; an equal one confirms.
void opening_gate::adopt_evacuation(const host_directive& it, time_point now) {
    if (it.as_of < evacuation_at_)
        return;
    if (it.as_of > evacuation_at_) {
        evacuation_at_ = it.as_of;
        evacuated_ = it.evacuated;
    }
    if (evacuated_ && it.evacuated)
        evacuation_confirmed_at_ = now;
}

// Entries with different configurations or an older state of the host may state
// different values. The stricter ones count, since the host must not get too
// much.
void opening_gate::adopt_rate(double rate, duration cold_left, bool knows_host,
                              time_point now) {
    if (rate_ == 0 || rate <= rate_ || !is_cold(now) ||
        now - rate_confirmed_at_ > options_.rate_timeout) {
        rate_ = rate;
        rate_confirmed_at_ = now;
    }
    if (knows_host && std::exchange(cold_is_assumed_, false))
        cold_until_ = now;
    cold_until_ = std::max(cold_until_, now + cold_left);
    warmup_ = std::max(warmup_, cold_left);
    unknown_since_.reset();
}

void opening_gate::on_host_started(time_point now) {
    if (draining_start_)
        departed_start_ = std::exchange(draining_start_, std::nullopt);
    if (!options_.warmup)
        return;
    previous_start_ = newest_start_;
    unknown_since_.reset();
    if (rate_ > 0) {
        cold_is_assumed_ = true;
        cold_until_ = now + warmup_;
    } else {
        unknown_since_ = now;
    }
}

opening_verdict opening_gate::admit(time_point now) {
    if (is_draining(now))
        return opening_verdict::draining;
    if (is_evacuated(now))
        return opening_verdict::evacuated;
    if (room(now) == 0)
        return opening_verdict::cold;
    // Also counted while the host is not known to be cold: the directive may
    // arrive later.
    if (options_.warmup)
        delivered_.add(now);
    return opening_verdict::deliver;
}

std::uint16_t opening_gate::room(time_point now) const {
    if (is_draining(now) || is_evacuated(now) || awaits_word(now))
        return 0;
    if (!is_cold(now))
        return host_work::unlimited_room;
    // What an earlier process delivered is not known.
    if (now - process_started_ <= opening_limiter::span)
        return 0;
    const auto used = delivered_.count(now);
    return static_cast<std::uint16_t>(limit() - std::min(limit(), used));
}

bool opening_gate::is_draining(time_point now) const {
    return draining_start_ &&
           now - drain_confirmed_at_ <= options_.drain_timeout;
}

bool opening_gate::is_evacuated(time_point now) const {
    return evacuated_ &&
           now - evacuation_confirmed_at_ <= options_.evacuation_timeout;
}

bool opening_gate::is_cold(time_point now) const {
    return rate_ > 0 && now < cold_until_;
}

bool opening_gate::awaits_word(time_point now) const {
    return options_.warmup && unknown_since_ &&
           now - *unknown_since_ <= options_.max_unknown_time;
}

std::size_t opening_gate::limit() const {
    const double exact =
        rate_ * options_.warmup->overage + options_.warmup->slack;
    return static_cast<std::size_t>(
        std::clamp(std::floor(exact), 0.0, double{opening_limiter::max_limit}));
}

} // namespace arbutusport::relay
