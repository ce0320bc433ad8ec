// Requests to the reader, reads of the store, and their time limits.

#include <arbutusport/relay/read_barrier.hpp>

#include <algorithm>

namespace arbutusport::relay {

void read_barrier::require(time_point since) {
    required_ = std::max(required_, since);
}

void read_barrier::advance(const directory& known,
                           std::optional<machine_address> reader,
                           time_point now) {
    adopt_positions(known);
    expire(now);
    if (required_ > std::max(covered_until_, started_until_) &&
        now >= next_start_)
        start(reader, now);
}

// Gives up what has been waited for too long; the requirements remain.
void read_barrier::expire(time_point now) {
    const bool is_reader_silent =
        (!requests_.empty() &&
         now - requests_.front().sent_at >= options_.reader_timeout) ||
        (!positions_.empty() &&
         now - positions_.front().since >= options_.reader_timeout);
    if (is_reader_silent) {
        requests_.clear();
        positions_.clear();
        reads_itself_until_ = now + options_.reader_retry_time;
        started_until_ = covered_until_;
    }
    if (read_ && now - read_->started_at >= options_.read_timeout)
        fail_read(now);
}

void read_barrier::start(std::optional<machine_address> reader,
                         time_point now) {
    if (reader && now >= reads_itself_until_) {
        ask(*reader, now);
    } else if (!read_) {
        read_ = {++id_, now};
        next_start_ = now + options_.read_interval;
        started_until_ = now;
        hooks_.read(id_);
    }
}

void read_barrier::ask(machine_address reader, time_point now) {
    if (reader != asked_) {
        requests_.clear();
        asked_ = reader;
    }
    requests_.push_back({++id_, now});
    next_start_ = now + options_.request_interval;
    started_until_ = now;
    hooks_.send(reader, barrier_request{id_});
}

void read_barrier::cover(time_point until, const directory& known) {
    covered_until_ = std::max(covered_until_, until);
    while (!waiting_.empty() && waiting_.front().arrived_at <= covered_until_) {
        hooks_.send(waiting_.front().from,
                    barrier_reply{.id = waiting_.front().id,
                                  .as_of = known.as_of(),
                                  .digest = known.digest()});
        waiting_.pop_front();
    }
}

void read_barrier::on_read(std::uint64_t id, const directory& known) {
    if (!read_ || read_->id != id)
        return;
    const time_point started_at = read_->started_at;
    read_.reset();
    cover(started_at, known);
}

void read_barrier::on_read_failed(std::uint64_t id, time_point now) {
    if (read_ && read_->id == id)
        fail_read(now);
}

// The entries whose requests wait read the store themselves.
void read_barrier::fail_read(time_point now) {
    read_.reset();
    required_ = covered_until_;
    started_until_ = covered_until_;
    next_start_ = now + options_.failure_backoff;
    waiting_.clear();
}

void read_barrier::on_request(machine_address from, const barrier_request& it,
                              time_point now) {
    if (waiting_.size() >= options_.max_waiting)
        return;
    waiting_.push_back({from, it.id, now});
    require(now);
}

void read_barrier::on_reply(machine_address from, const barrier_reply& it,
                            const directory& known) {
    const auto found = std::ranges::find(requests_, it.id, &request::id);
    if (from != asked_ || found == requests_.end())
        return;
    positions_.push_back({found->sent_at, it.as_of, it.digest});
    // The answer to an earlier request may have been lost.
    requests_.erase(requests_.begin(), found + 1);
    adopt_positions(known);
}

void read_barrier::adopt_positions(const directory& known) {
    const auto is_contained = [&](const position& it) {
        return known.as_of().era() == it.as_of.era() &&
               (known.digest() == it.digest || known.as_of() >= it.as_of);
    };
    const auto newest =
        std::find_if(positions_.rbegin(), positions_.rend(), is_contained);
    if (newest == positions_.rend())
        return;
    const time_point since = newest->since;
    positions_.erase(positions_.begin(), newest.base());
    cover(since, known);
}

} // namespace arbutusport::relay
