// Election of the entry that reads the store for its data centre. A reader
// announces itself to a few successors in each interval; all entries pass on
// its newest announcement in their hellos. Time limits are derived from the
// announcement interval and the number of entries, so that a healthy reader is
// not replaced, whatever the size of the fleet.
#pragma once

#include <arbutusport/relay/messages.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace arbutusport::relay {

struct reader_election_options {
    machine_address self;
    /// Interval at which a reader announces itself to its successors, and at
    /// which all entries pass on its newest announcement.
    duration announce_interval = std::chrono::milliseconds(500);
    /// Delay with which a busy process sends an announcement.
    duration announce_delay = std::chrono::milliseconds(150);
    /// Entries that receive every announcement of a reader; the first of them
    /// in the order of succession replaces it.
    std::size_t successors = 4;
    /// An entry queries the reader directly this long before it would replace
    /// it.
    duration query_time = std::chrono::milliseconds(300);
    duration query_interval = std::chrono::milliseconds(100);
    /// Each successor waits this much longer than the one before it.
    duration succession_step = std::chrono::milliseconds(150);
    /// The step of all other entries. In an outage of the store it limits the
    /// number of entries that try to read.
    duration late_succession_step = std::chrono::milliseconds(500);
    /// For this long an entry that has just started only continues what it
    /// does, so that the hellos of its peers can arrive.
    duration settle_time = std::chrono::milliseconds(100);
};

/// @brief Not thread-safe.
class reader_election {
public:
    /// @brief This entry's place among the live entries of its data centre.
    struct standing {
        /// Number of live entries that precede this one in the order of
        /// succession, without the present reader.
        std::size_t position = 0;
        /// Number of live entries, including this one.
        std::size_t members = 1;
    };

    explicit reader_election(reader_election_options options)
        : options_(options) {}

    /// @brief Order of succession; an entry with a higher rank comes first.
    static std::uint64_t rank(machine_address entry);

    /// @brief Handles an announcement that the reader itself sent, or that
    /// another entry passed on.
    void on_announced(const reader_announcement& it, bool is_direct,
                      time_point now);
    /// @brief The entry itself announced that it does not read the store.
    void on_withdrawn(machine_address reader, time_point now);
    /// @brief Restarts all time limits after this process was suspended.
    void on_resumed(time_point now);

    /// @brief Whether this entry should read the store. An elected reader
    /// continues until another one is found: `prefers_others` is set after the
    /// store rejected this entry, and then any other reader replaces it,
    /// otherwise only one of higher rank.
    bool should_read(bool reads, bool prefers_others, standing own,
                     time_point now);
    /// @brief True if the last should_read() was true and the settle time has
    /// passed, so that this entry may announce itself.
    bool is_elected() const { return elected_; }
    /// @brief The reader that should be queried now, if any.
    std::optional<machine_address> query_due(standing own, time_point now);

    std::size_t successor_count() const { return options_.successors; }

    struct known_reader {
        reader_announcement announcement;
        /// When the announcement arrived first.
        time_point heard_at;
    };
    /// @brief The newest announcement, of any age.
    const std::optional<known_reader>& reader() const { return reader_; }
    /// @brief True unless the reader counts as failed.
    bool has_reader(standing own, time_point now) const {
        return reader_ && now - reader_->heard_at <= failure_timeout(own);
    }

    /// @brief Age at which the reader counts as failed. Successors receive
    /// every announcement; to other entries it is passed on in a number of
    /// rounds that grows with the logarithm of the number of entries.
    duration failure_timeout(standing own) const;

private:
    duration succession_delay(std::size_t position) const;

    reader_election_options options_;
    std::optional<known_reader> reader_;
    // The entry that last withdrew, and when. Announcements that others still
    // pass on are older.
    machine_address withdrawn_;
    time_point withdrawn_at_;
    // Live entries of the data centre at the last should_read().
    std::size_t members_ = 1;
    // Since when no reader has been known.
    std::optional<time_point> absent_since_;
    std::optional<time_point> started_at_;
    bool elected_ = false;
    time_point queried_at_;
};

} // namespace arbutusport::relay
