// Announcements of the reader and the order of succession.

#include <arbutusport/base/hash.hpp>
#include <arbutusport/relay/reader_election.hpp>

#include <algorithm>
#include <bit>

namespace arbutusport::relay {

namespace {

// Makes the rank of readers independent of other ranks.
constexpr std::uint64_t reader_seed = 0x72656164;
// Two announcements may be lost before the reader counts as failed.
constexpr int missed_announcements = 2;

} // namespace

std::uint64_t reader_election::rank(machine_address entry) {
    return hash_combine(entry.value(), reader_seed);
}

void reader_election::on_announced(const reader_announcement& it,
                                   bool is_direct, time_point now) {
    if (it.reader == options_.self)
        return;
    if (it.reader == withdrawn_) {
        // Entries that missed the withdrawal pass on older announcements until
        // the reader counts as failed.
        if (!is_direct && now - withdrawn_at_ <
                              failure_timeout({options_.successors, members_}))
            return;
        withdrawn_ = {};
    }
    if (reader_ && reader_->announcement.reader == it.reader) {
        // An entry that passes on an old announcement does not prove that the
        // reader still lives. A restarted reader may count from a lower number.
        if (is_direct || it.is_newer_than(reader_->announcement))
            reader_ = {it, now};
        return;
    }
    // If two entries read, all others follow the one of higher rank.
    const duration recent = missed_announcements * options_.announce_interval +
                            options_.announce_delay;
    if (!reader_ || now - reader_->heard_at > recent ||
        rank(it.reader) > rank(reader_->announcement.reader))
        reader_ = {it, now};
}

void reader_election::on_withdrawn(machine_address reader, time_point now) {
    if (!reader_ || reader_->announcement.reader != reader)
        return;
    withdrawn_ = reader;
    withdrawn_at_ = now;
    reader_.reset();
}

void reader_election::on_resumed(time_point now) {
    if (reader_)
        reader_->heard_at = now;
    absent_since_.reset();
}

duration reader_election::failure_timeout(standing own) const {
    const int rounds = own.position < options_.successors
                           ? 0
                           : static_cast<int>(std::bit_width(own.members));
    return (missed_announcements + rounds) * options_.announce_interval +
           options_.announce_delay;
}

duration reader_election::succession_delay(std::size_t position) const {
    const auto early = std::min(position, options_.successors);
    return static_cast<int>(early) * options_.succession_step +
           static_cast<int>(position - early) * options_.late_succession_step;
}

bool reader_election::should_read(bool reads, bool prefers_others, standing own,
                                  time_point now) {
    members_ = own.members;
    if (!started_at_)
        started_at_ = now;
    if (now - *started_at_ < options_.settle_time)
        return reads;
    // A reader hears from other readers as one of their successors does.
    const standing place = elected_ ? standing{0, own.members} : own;
    if (has_reader(place, now)) {
        absent_since_.reset();
        elected_ = elected_ && reads && !prefers_others &&
                   rank(options_.self) > rank(reader_->announcement.reader);
        return elected_;
    }
    if (!absent_since_)
        absent_since_ = now;
    elected_ = (elected_ && reads) ||
               now - *absent_since_ >= succession_delay(own.position);
    return elected_;
}

std::optional<machine_address> reader_election::query_due(standing own,
                                                          time_point now) {
    if (!reader_)
        return std::nullopt;
    const duration age = now - reader_->heard_at;
    const duration limit = failure_timeout(own);
    if (age < limit - options_.query_time || age > limit ||
        now - queried_at_ < options_.query_interval)
        return std::nullopt;
    queried_at_ = now;
    return reader_->announcement.reader;
}

} // namespace arbutusport::relay
