// Determines the next call to the store and its delay: first a complete
// listing, then watches from its revision, and a new listing when the history
// is lost.
#pragma once

#include <arbutusport/base/time.hpp>
#include <arbutusport/relay/directory.hpp>

#include <cstdint>

namespace arbutusport::relay {

struct store_reader_options {
    /// Duration of a watch. A lost answer is detected after this wait, and a
    /// change has to take effect within 3 s of its end.
    duration watch_wait = std::chrono::milliseconds(3000);
    /// Delay of the next call after an error; doubles up to the maximum.
    /// Rejected calls also count against the store's rate limit.
    duration first_backoff = std::chrono::milliseconds(100);
    duration max_backoff = std::chrono::milliseconds(1000);
};

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
/// result functions.
class store_reader {
public:
    explicit store_reader(store_reader_options options, std::uint64_t seed)
        : options_(options), random_(seed | 1) {}

    store_call next();
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

    store_reader_options options_;
    std::uint64_t random_;
    revision after_;
    bool listed_ = false;
    duration backoff_{};
};

} // namespace arbutusport::relay
