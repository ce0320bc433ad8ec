// Which types of hello an entry sends to one host process. Builds that predate
// load_report::work drop hellos that request it, so a process gets both types
// until its build is known.
#pragma once

#include <arbutusport/base/ids.hpp>

namespace arbutusport::relay {

struct hello_kinds {
    bool plain = true;
    /// With hello::wants_work.
    bool with_work = true;
};

/// @brief Not thread-safe.
class hello_choice {
public:
    /// New-type hellos that one run of a process may leave unanswered. Covers
    /// two lost ones.
    static constexpr unsigned max_unanswered = 3;
    /// After that one of this many hellos is sent in both types, in case all of
    /// the first were lost.
    static constexpr unsigned retry_interval = 10;

    /// @brief The kinds of the next hello. `is_silent`: the process has not
    /// answered the last ones; an earlier build may have replaced it.
    hello_kinds next(bool is_silent) {
        if (understands_work_)
            return {.plain = is_silent, .with_work = true};
        const unsigned n = sent_++;
        return {.plain = true,
                .with_work = n < max_unanswered || n % retry_interval == 0};
    }

    /// @brief Must be called with each report of the process.
    void on_report(incarnation run, bool has_work) {
        if (run != run_ && run_ != incarnation()) {
            understands_work_ = false;
            sent_ = 0;
        }
        run_ = run;
        understands_work_ = understands_work_ || has_work;
    }

    bool understands_work() const { return understands_work_; }

private:
    // Of the last report; 0 before the first.
    incarnation run_;
    bool understands_work_ = false;
    // Hellos sent to this run since it is not known to understand the new type.
    unsigned sent_ = 0;
};

} // namespace arbutusport::relay
