// Watches the platform's head and reads records from the platform.

#include "config_sync_impl.hpp"

#include <algorithm>
#include <cmath>

namespace arbutusport::config {

namespace {

// A watch without a response for this long beyond its wait time has failed.
constexpr duration watch_grace = std::chrono::seconds(5);
constexpr duration fetch_timeout = std::chrono::seconds(10);
// Readers detect a platform that is available again within this time and its
// jitter.
constexpr duration max_backoff = std::chrono::seconds(5);
// The first read of a whole set costs one call a record. It is delayed in
// proportion to the size of the set, so that in a fleet whose processes start
// together the seeds read it and the others receive it from them.
constexpr duration fetch_delay_per_record = std::chrono::milliseconds(25);
constexpr duration max_fetch_delay = std::chrono::seconds(10);

} // namespace

bool config_sync::impl::should_read_head(time_point now) const {
    if (!current_)
        return !pending_head_ && (!platform_answered_ || now >= window_end_);
    return must_reread_head_ || now >= next_direct_read_at_ || is_reader();
}

void config_sync::impl::platform_tick(time_point now, sync_actions& out) {
    if (read_state_ != read_state::idle) {
        if (now - read_started_at_ >= read_timeout_)
            on_platform_error(now, out);
        return;
    }
    if (!current_ && pending_head_ && now >= first_fetch_at_) {
        if (pending_head_->gen > base_gen())
            return fetch(*pending_head_, now, out);
        pending_head_.reset();
    }
    if (now < next_read_at_ || !should_read_head(now))
        return;
    // Only readers wait at the platform for a change; other reads return at
    // once.
    const bool is_watch = is_reader() && !must_reread_head_;
    next_direct_read_at_ = now + options_.direct_read_after +
                           jitter(options_.direct_read_after / 2);
    read_head(is_watch ? options_.watch_wait : duration(0), now, out);
}

void config_sync::impl::read_head(duration wait, time_point now,
                                  sync_actions& out) {
    generation after = base_gen();
    // Watches for a head newer than the refused generations too: otherwise a
    // refused generation would end every watch immediately.
    for (const auto& [gen, digest] : refused_sets_)
        if (digest == 0)
            after = std::max(after, gen);
    read_state_ = read_state::head;
    read_started_at_ = now;
    read_timeout_ = wait + watch_grace;
    must_reread_head_ = false;
    pending_head_.reset();
    out.push_back(watch_head{after, wait});
}

void config_sync::impl::on_platform_error(time_point now, sync_actions& out) {
    read_state_ = read_state::idle;
    platform_answered_ = true;
    pending_head_.reset();
    next_read_at_ = now + backoff_ / 2 + jitter(backoff_);
    backoff_ = std::min(2 * backoff_, max_backoff);
    try_adopt_candidate(now, out);
}

void config_sync::impl::on_head(const head& listed, time_point now,
                                sync_actions& out) {
    if (read_state_ != read_state::head)
        return;
    read_state_ = read_state::idle;
    platform_answered_ = true;
    backoff_ = options_.round_interval;
    // Limits the rate to one read per round (one a second by default) if the
    // platform answers immediately without a newer head.
    next_read_at_ = std::max(now, read_started_at_ + options_.round_interval);
    if (listed.gen > base_gen() && !is_refused(listed.gen, 0)) {
        if (current_)
            return fetch(listed, now, out);
        pending_head_ = listed;
        schedule_first_fetch(now);
    }
    try_adopt_candidate(now, out);
}

void config_sync::impl::schedule_first_fetch(time_point now) {
    const auto record_count =
        static_cast<duration::rep>(pending_head_->records.size());
    const duration limit =
        std::min(record_count * fetch_delay_per_record, max_fetch_delay);
    // The fourth root makes short delays rare: in a large fleet few processes
    // draw one, and they finish before most of the others begin.
    const double uniform = std::generate_canonical<double, 53>(random_);
    const duration delay(static_cast<duration::rep>(
        static_cast<double>(limit.count()) * std::pow(uniform, 0.25)));
    const bool is_immediate =
        options_.seeds.empty() || options_.is_seed || candidate_;
    first_fetch_at_ = is_immediate ? now : std::max(now, window_end_) + delay;
}

void config_sync::impl::fetch(const head& listed, time_point now,
                              sync_actions& out) {
    std::map<std::string, std::uint64_t> known;
    if (base() && base()->gen.epoch == listed.gen.epoch)
        for (const records::raw_record& record : base()->raw_records)
            known.emplace(record.key, record.revision);
    std::vector<std::string> keys;
    for (const head_record& record : listed.records) {
        const auto found = known.find(record.key);
        if (found == known.end() || found->second != record.revision)
            keys.push_back(record.key);
    }
    pending_head_ = listed;
    read_state_ = read_state::records;
    read_started_at_ = now;
    read_timeout_ = fetch_timeout;
    if (keys.empty())
        return on_records({}, now, out);
    out.push_back(fetch_records{std::move(keys)});
}

// Returns the set that the head lists, or nothing if a record is missing or has
// another revision. Sets `is_newer` if a record is newer than the head lists.
std::optional<std::vector<records::raw_record>>
config_sync::impl::assemble_set(const std::vector<records::raw_record>& read,
                                bool& is_newer) {
    std::map<std::string, const records::raw_record*> found;
    if (base() && base()->gen.epoch == pending_head_->gen.epoch)
        for (const records::raw_record& it : base()->raw_records)
            found[it.key] = &it;
    for (const records::raw_record& it : read)
        found[it.key] = &it;
    std::vector<records::raw_record> set;
    bool is_complete = true;
    for (const head_record& it : pending_head_->records) {
        const auto record = found.find(it.key);
        if (record == found.end() || record->second->revision != it.revision) {
            is_complete = false;
            is_newer |=
                record != found.end() && record->second->revision > it.revision;
            continue;
        }
        set.push_back(*record->second);
    }
    return is_complete ? std::optional(std::move(set)) : std::nullopt;
}

void config_sync::impl::on_records(const std::vector<records::raw_record>& read,
                                   time_point now, sync_actions& out) {
    if (read_state_ != read_state::records || !pending_head_)
        return;
    read_state_ = read_state::idle;
    bool is_newer = false;
    auto set = assemble_set(read, is_newer);
    const generation gen = pending_head_->gen;
    pending_head_.reset();
    if (!set && is_newer)
        return read_head(duration(0), now, out);
    if (!set) {
        // A replica of the store lags behind the head, so the read is retried.
        must_reread_head_ = true;
        next_read_at_ =
            now + options_.round_interval / 2 + jitter(options_.round_interval);
        return;
    }
    if (!build_and_adopt(gen, std::move(*set), now, out))
        refused_sets_.emplace_back(gen, 0);
    try_adopt_candidate(now, out);
}

} // namespace arbutusport::config
