// What to ask the store next, and when: a complete listing first, then a
// watch from its revision, and a listing again when the history is lost.
#pragma once

#include <arbutusport/base/time.hpp>
#include <arbutusport/relay/directory.hpp>

#include <cstdint>

namespace arbutusport::relay {

struct store_reader_options {
    /// A watch waits this long. An answer that gets lost is noticed after
    /// the wait, and a change has to be in force within 3 s of its end.
    duration watch_wait = std::chrono::milliseconds(3000);
    /// Pause before the next call after an error; doubles up to the limit.
    /// Refused calls count against the store's limit as well.
    duration first_backoff = std::chrono::milliseconds(100);
    duration max_backoff = std::chrono::milliseconds(1000);
};

struct store_call {
    enum class kind : std::uint8_t { listing, watch };

    kind what = kind::listing;
    /// Watch: changes after this revision.
    revision after;
    duration wait{};
    /// Before the call is made.
    duration pause{};
};

/// @brief Not thread-safe. next() and exactly one of the results take turns.
class store_reader {
public:
    explicit store_reader(store_reader_options options, std::uint64_t seed)
        : options_(options), random_(seed | 1) {}

    store_call next();
    void on_listing(revision as_of);
    void on_changes(revision as_of);
    void on_history_lost();
    void on_error();
    /// @brief A new listing is due, whatever was read before.
    void restart();
    /// @brief Others have read up to `after` meanwhile.
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
