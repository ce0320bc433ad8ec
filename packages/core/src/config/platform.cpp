// Watches the platform's head and reads records from the platform.

#include "config_sync_impl.hpp"

#include <algorithm>
#include <cmath>

namespace arbutusport::config {

namespace {

// A watch without a response for this long beyond its wait time has failed.
constexpr duration watch_grace = std::chrono::seconds(5);
constexpr duration fetch_limit = std::chrono::seconds(10);
// Readers detect a platform that is available again within this time and its
// jitter.
constexpr duration max_backoff = std::chrono::seconds(5);
// The first read of a whole set costs one call a record. It is delayed in
// proportion to the size of the set, so that in a fleet whose processes start
// together the seeds read it and the others receive it from them.
constexpr duration fetch_delay_per_record = std::chrono::milliseconds(25);
constexpr duration max_fetch_delay = std::chrono::seconds(10);

} // namespace

bool config_sync::impl::wants_read(time_point now) const {
    if (!current_)
        return !target_ && (!platform_answered_ || now >= window_end_);
    return reread_ || now >= next_direct_read_ || is_reader();
}

void config_sync::impl::platform_tick(time_point now, sync_actions& out) {
    if (reading_ != read_state::idle) {
        if (now - read_since_ >= read_limit_)
            on_platform_error(now, out);
        return;
    }
    if (!current_ && target_ && now >= first_fetch_) {
        if (target_->gen > base_gen())
            return fetch(*target_, now, out);
        target_.reset();
    }
    if (now < next_read_ || !wants_read(now))
        return;
    // Only readers wait at the platform for a change; other reads return at
    // once.
    const bool waits = is_reader() && !reread_;
    next_direct_read_ = now + options_.direct_read_after +
                        jitter(options_.direct_read_after / 2);
    read_head(waits ? options_.watch_wait : duration(0), now, out);
}

void config_sync::impl::read_head(duration wait, time_point now,
                                  sync_actions& out) {
    generation after = base_gen();
    // Watches for a head newer than the refused generations too: otherwise a
    // refused generation would end every watch immediately.
    for (const auto& [gen, digest] : refused_)
        if (digest == 0)
            after = std::max(after, gen);
    reading_ = read_state::head;
    read_since_ = now;
    read_limit_ = wait + watch_grace;
    reread_ = false;
    target_.reset();
    out.push_back(watch_head{after, wait});
}

void config_sync::impl::on_platform_error(time_point now, sync_actions& out) {
    reading_ = read_state::idle;
    platform_answered_ = true;
    target_.reset();
    next_read_ = now + backoff_ / 2 + jitter(backoff_);
    backoff_ = std::min(2 * backoff_, max_backoff);
    try_to_serve(now, out);
}

void config_sync::impl::on_head(const head& it, time_point now,
                                sync_actions& out) {
    if (reading_ != read_state::head)
        return;
    reading_ = read_state::idle;
    platform_answered_ = true;
    backoff_ = options_.round_interval;
    // Limits the rate to one read per round (one a second by default) if the
    // platform answers immediately without a newer head.
    next_read_ = std::max(now, read_since_ + options_.round_interval);
    if (it.gen > base_gen() && !is_refused(it.gen, 0)) {
        if (current_)
            return fetch(it, now, out);
        target_ = it;
        schedule_first_fetch(now);
    }
    try_to_serve(now, out);
}

void config_sync::impl::schedule_first_fetch(time_point now) {
    const auto n = static_cast<duration::rep>(target_->records.size());
    const duration limit =
        std::min(n * fetch_delay_per_record, max_fetch_delay);
    // The fourth root makes short delays rare: in a large fleet few processes
    // draw one, and they finish before most of the others begin.
    const double u = std::generate_canonical<double, 53>(random_);
    const duration delay(static_cast<duration::rep>(
        static_cast<double>(limit.count()) * std::pow(u, 0.25)));
    const bool at_once =
        options_.seeds.empty() || options_.is_seed || candidate_;
    first_fetch_ = at_once ? now : std::max(now, window_end_) + delay;
}

void config_sync::impl::fetch(const head& it, time_point now,
                              sync_actions& out) {
    std::map<std::string, std::uint64_t> known;
    if (base() && base()->gen.epoch == it.gen.epoch)
        for (const records::raw_record& record : base()->raw)
            known.emplace(record.key, record.revision);
    std::vector<std::string> keys;
    for (const head_record& record : it.records) {
        const auto found = known.find(record.key);
        if (found == known.end() || found->second != record.revision)
            keys.push_back(record.key);
    }
    target_ = it;
    reading_ = read_state::records;
    read_since_ = now;
    read_limit_ = fetch_limit;
    if (keys.empty())
        return on_records({}, now, out);
    out.push_back(fetch_records{std::move(keys)});
}

// Returns the set that the head lists, or nothing if a record is missing or has
// another revision. Sets `is_newer` if a record is newer than the head lists.
std::optional<std::vector<records::raw_record>>
config_sync::impl::assemble(const std::vector<records::raw_record>& read,
                            bool& is_newer) {
    std::map<std::string, const records::raw_record*> found;
    if (base() && base()->gen.epoch == target_->gen.epoch)
        for (const records::raw_record& it : base()->raw)
            found[it.key] = &it;
    for (const records::raw_record& it : read)
        found[it.key] = &it;
    std::vector<records::raw_record> set;
    bool is_complete = true;
    for (const head_record& it : target_->records) {
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
    if (reading_ != read_state::records || !target_)
        return;
    reading_ = read_state::idle;
    bool is_newer = false;
    auto set = assemble(read, is_newer);
    const generation gen = target_->gen;
    target_.reset();
    if (!set && is_newer)
        return read_head(duration(0), now, out);
    if (!set) {
        // A replica of the store lags behind the head, so the read is retried.
        reread_ = true;
        next_read_ =
            now + options_.round_interval / 2 + jitter(options_.round_interval);
        return;
    }
    if (!build(gen, std::move(*set), now, out))
        refused_.emplace_back(gen, 0);
    try_to_serve(now, out);
}

} // namespace arbutusport::config
