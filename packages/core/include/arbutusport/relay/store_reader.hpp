// Determines the next call to the store and its delay: first a complete
// listing, then watches from its revision, and a new listing when the history
// is lost.
#pragma once

#include <arbutusport/base/time.hpp>
#include <arbutusport/relay/directory.hpp>

#include <cstdint>
#include <random>

namespace arbutusport::relay {

struct store_reader_options {
    /// Duration of a watch. A connection that has gone silent is noticed after
    /// it.
    duration watch_wait = std::chrono::milliseconds(3000);
    /// Watches that may follow one another without a pause, and the interval
    /// at which further ones may start. Each watch that returns changes is a
    /// billed call; while hosts are replaced one after the other, several
    /// changes share one.
    std::uint32_t watch_burst = 5;
    duration watch_interval = std::chrono::milliseconds(700);
    /// Delay of the first watch after a listing. Longer than the time for
    /// which an entry that has just started waits for its peers' hellos,
    /// because most entries then stop reading.
    duration first_watch_delay = std::chrono::milliseconds(150);
    /// Delay of the next call after an error; doubles up to the maximum.
    /// Rejected calls also count against the store's rate limit.
    duration first_backoff = std::chrono::milliseconds(100);
    duration max_backoff = std::chrono::milliseconds(1000);
};

/// @brief The longest watch with which a change that is not answered, because
/// the connection has gone silent, is in force within `bound` of its
/// acknowledgement: 1 to 3 s; 3 s if the bound is 0.
duration watch_wait_within(duration bound);

struct store_call {
    enum class kind : std::uint8_t { listing, watch };

    kind what = kind::listing;
    /// Watch: changes after this revision.
    revision after;
    duration wait{};
    /// Delay before the call.
    duration pause{};
};

/// @brief Not thread-safe. Each next() must be followed by exactly one of the
/// result functions, unless the call is not made.
class store_reader {
public:
    explicit store_reader(store_reader_options options, std::uint64_t seed)
        : options_(options), random_(seed), watches_left_(options.watch_burst) {
    }

    store_call next(time_point now);
    void on_listing(revision as_of);
    void on_changes(revision as_of);
    void on_history_lost();
    void on_error();
    /// @brief Makes the next call a listing, regardless of earlier results.
    void restart();
    /// @brief Continues after `after`, up to which other processes have read
    /// in the meantime.
    void resume(revision after);

private:
    duration jittered(duration it);
    duration take_watch_pause(time_point now);

    store_reader_options options_;
    std::mt19937_64 random_;
    revision after_;
    bool listed_ = false;
    bool is_first_watch_ = false;
    // Watches that may start without a pause, as of `counted_at_`.
    std::uint32_t watches_left_;
    time_point counted_at_;
    duration backoff_{};
};

} // namespace arbutusport::relay
