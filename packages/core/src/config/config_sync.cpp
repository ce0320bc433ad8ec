// Handles the start-up window and the adoption of new generations.

#include "config_sync_impl.hpp"

#include <arbutusport/records/parse.hpp>

#include <algorithm>

namespace arbutusport::config {

namespace {

// Peers to query in each start-up round: a sample of a large fleet, all of a
// small one. Each query costs one short message.
constexpr std::size_t startup_peers = 16;
// Outlines to keep. They cover a burst of changes while a peer is unavailable.
// An outline takes about 25 kB at the target sizes.
constexpr std::size_t max_history = 32;
constexpr std::size_t max_refused = 16;
// A longer gap between ticks means that this process was suspended; peers may
// have a newer set by then.
constexpr duration pause_threshold = std::chrono::seconds(2);

} // namespace

duration config_sync::impl::jitter(duration limit) {
    const auto n = static_cast<std::uint64_t>(limit.count());
    return duration(static_cast<duration::rep>(n ? random_() % n : 0));
}

void config_sync::impl::start(time_point now) {
    if (std::exchange(is_started_, true))
        return;
    window_end_ = now + options_.startup_window;
    next_direct_read_ = now + options_.direct_read_after +
                        jitter(options_.direct_read_after / 2);
    backoff_ = options_.round_interval;
    // A random delay keeps a fleet whose processes start together within the
    // call rate of the platform. A seed reads as soon as the other seeds had
    // time to answer, because new processes get their set from seeds alone.
    next_read_ = now;
    if (options_.is_seed)
        next_read_ += options_.round_interval / 2;
    else if (!options_.seeds.empty())
        next_read_ += jitter(options_.startup_window);
    next_round_ = now;
}

void config_sync::impl::on_tick(time_point now, sync_actions& out) {
    start(now);
    const bool paused = last_tick_ && now - *last_tick_ > pause_threshold;
    last_tick_ = now;
    expire_requests(now, out);
    if (!current_)
        startup_tick(now, out);
    else if (now >= next_round_) {
        next_round_ = std::max(next_round_ + options_.round_interval,
                               now + options_.round_interval / 2);
        round(paused ? options_.push_peers : 1, now, out);
    }
    platform_tick(now, out);
}

void config_sync::impl::startup_tick(time_point now, sync_actions& out) {
    if (now >= next_round_) {
        next_round_ = now + options_.round_interval;
        // Without a candidate by the end of the window, the same peers are
        // queried until one of them or the platform answers. With a candidate,
        // no further peers are queried: in a large fleet some are always down,
        // and their time-outs would delay the end of the window forever.
        if (!candidate_ && now >= window_end_)
            asked_.clear();
        if (!candidate_ || now < window_end_)
            ask_everyone(now, out);
    }
    try_to_serve(now, out);
}

void config_sync::impl::ask_everyone(time_point now, sync_actions& out) {
    std::size_t n = 0;
    for (const endpoint& it : peers_.everyone(random_)) {
        if (n >= startup_peers)
            return;
        if (waiting_.contains(it) || !asked_.insert(it).second)
            continue;
        ask(it, false, now, out);
        ++n;
    }
}

// The start-up window ends early if all peers were queried and the platform
// answered.
bool config_sync::impl::may_end_window(time_point now) {
    if (reading_ == read_state::records)
        return false;
    if (now >= window_end_)
        return true;
    const bool all_asked =
        std::ranges::all_of(peers_.everyone(random_), [&](const auto& it) {
            return asked_.contains(it);
        });
    return all_asked && platform_answered_ && reading_ == read_state::idle &&
           (!target_ || target_->gen <= candidate_->gen);
}

// Puts the candidate in force when every queried peer has answered or timed out
// and none of them claims a newer set. The peers that answered are queried a
// second time, because one of them may have adopted a newer set since. Peers
// that did not answer are skipped: by the end of their time-out, the second
// answers of the others would be stale too.
void config_sync::impl::try_to_serve(time_point now, sync_actions& out) {
    if (current_ || !candidate_ || !waiting_.empty())
        return;
    std::erase_if(claims_, [&](const auto& it) {
        return it.second.gen <= candidate_->gen;
    });
    if (!claims_.empty())
        return pull(claims_.begin()->first, now, out);
    if (!may_end_window(now))
        return;
    if (!std::exchange(is_confirming_, true)) {
        for (const endpoint& it : answered_)
            ask(it, false, now, out);
        if (!answered_.empty())
            return;
    }
    put_current(std::exchange(candidate_, nullptr), out);
    next_round_ = now + jitter(options_.round_interval);
    asked_.clear();
    answered_.clear();
    if (target_)
        reread_ = target_->gen > current_->gen;
    target_.reset();
}

void config_sync::impl::accept(records::snapshot_ptr it, time_point now,
                               sync_actions& out) {
    if (it->gen <= base_gen())
        return;
    peers_.follow(*it);
    keys_ = wire::make_keyring(it->keys);
    base_digest_ = records::digest_of(it->raw);
    history_.push_back(records::make_outline(*it));
    if (history_.size() > max_history)
        history_.pop_front();
    if (current_) {
        put_current(std::move(it), out);
        round(options_.push_peers, now, out);
        return;
    }
    candidate_ = std::move(it);
    is_confirming_ = false;
    // Only the records that differ from this set remain to be read, so there is
    // no need for a delay.
    first_fetch_ = now;
    // The set may list peers that are not among the seeds.
    ask_everyone(now, out);
    try_to_serve(now, out);
}

void config_sync::impl::put_current(records::snapshot_ptr it,
                                    sync_actions& out) {
    current_ = std::move(it);
    std::erase_if(claims_, [&](const auto& claim) {
        return claim.second.gen <= current_->gen;
    });
    out.push_back(put_in_force{current_});
}

void config_sync::impl::refuse(generation gen, std::uint64_t digest,
                               const failure& why, sync_actions& out) {
    const bool is_known = std::ranges::any_of(
        refused_, [&](const auto& it) { return it.first == gen; });
    refused_.emplace_back(gen, digest);
    if (refused_.size() > max_refused)
        refused_.pop_front();
    if (!is_known)
        out.push_back(refused{gen, why});
}

bool config_sync::impl::is_refused(generation gen, std::uint64_t digest) const {
    return std::ranges::any_of(refused_, [&](const auto& it) {
        return it.first == gen && it.second == digest;
    });
}

bool config_sync::impl::build(generation gen,
                              std::vector<records::raw_record> set,
                              time_point now, sync_actions& out) {
    const auto digest = records::digest_of(set);
    const auto it = handle_failure(
        [&]() -> result<records::snapshot_ptr> {
            return records::build_snapshot(gen, std::move(set), base());
        },
        [&](const failure& why) -> records::snapshot_ptr {
            refuse(gen, digest, why, out);
            return nullptr;
        });
    if (it)
        accept(it, now, out);
    return it != nullptr;
}

config_sync::config_sync(sync_options options)
    : impl_(std::make_unique<impl>(std::move(options))) {}
config_sync::~config_sync() = default;

sync_actions config_sync::on_tick(time_point now) {
    sync_actions out;
    impl_->on_tick(now, out);
    return out;
}
sync_actions config_sync::on_head(const head& it, time_point now) {
    sync_actions out;
    impl_->on_head(it, now, out);
    return out;
}
sync_actions
config_sync::on_records(const std::vector<records::raw_record>& read,
                        time_point now) {
    sync_actions out;
    impl_->on_records(read, now, out);
    return out;
}
sync_actions config_sync::on_platform_error(time_point now) {
    sync_actions out;
    impl_->on_platform_error(now, out);
    return out;
}
config_sync::sync_answer config_sync::on_request(byte_view request,
                                                 time_point now) {
    sync_answer it;
    it.reply = impl_->on_request(request, now, it.actions);
    return it;
}
sync_actions config_sync::on_reply(const endpoint& peer, byte_view reply,
                                   time_point now) {
    sync_actions out;
    impl_->on_reply(peer, reply, now, out);
    return out;
}
sync_actions config_sync::on_peer_error(const endpoint& peer, time_point now) {
    sync_actions out;
    impl_->on_peer_error(peer, now, out);
    return out;
}
records::snapshot_ptr config_sync::current() const {
    return impl_->current();
}
bool config_sync::is_reader(time_point) const {
    return impl_->is_reader();
}

} // namespace arbutusport::config
