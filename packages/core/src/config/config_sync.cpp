// Handles the start-up window and the adoption of new generations.

#include "config_sync_impl.hpp"

#include <arbutusport/records/parse.hpp>

#include <algorithm>

namespace arbutusport::config {

namespace {

// Peers to query in each start-up round: a sample of a large fleet, all of a
// small one. Each query costs one short message.
constexpr std::size_t peers_per_startup_round = 16;
// Outlines to keep. They cover a burst of changes while a peer is unavailable.
// An outline takes about 25 kB at the target sizes.
constexpr std::size_t max_outlines = 32;
constexpr std::size_t max_refused_sets = 16;
// A longer gap between ticks means that this process was suspended; peers may
// have a newer set by then.
constexpr duration pause_threshold = std::chrono::seconds(2);

} // namespace

duration config_sync::impl::jitter(duration limit) {
    const auto n = static_cast<std::uint64_t>(limit.count());
    return duration(static_cast<duration::rep>(n ? random_() % n : 0));
}

void config_sync::impl::begin_startup(time_point now) {
    if (std::exchange(is_started_, true))
        return;
    window_end_ = now + options_.startup_window;
    next_direct_read_at_ = now + options_.direct_read_after +
                           jitter(options_.direct_read_after / 2);
    backoff_ = options_.round_interval;
    // A random delay keeps a fleet whose processes start together within the
    // call rate of the platform. A seed reads as soon as the other seeds had
    // time to answer, because new processes get their set from seeds alone.
    next_read_at_ = now;
    if (options_.is_seed)
        next_read_at_ += options_.round_interval / 2;
    else if (!options_.seeds.empty())
        next_read_at_ += jitter(options_.startup_window);
    next_round_at_ = now;
}

void config_sync::impl::on_tick(time_point now, sync_actions& out) {
    begin_startup(now);
    const bool paused = last_tick_ && now - *last_tick_ > pause_threshold;
    last_tick_ = now;
    expire_requests(now, out);
    if (!current_)
        startup_tick(now, out);
    else if (now >= next_round_at_) {
        next_round_at_ = std::max(next_round_at_ + options_.round_interval,
                                  now + options_.round_interval / 2);
        run_gossip_round(paused ? options_.push_peer_count : 1, now, out);
    }
    platform_tick(now, out);
}

void config_sync::impl::startup_tick(time_point now, sync_actions& out) {
    if (now >= next_round_at_) {
        next_round_at_ = now + options_.round_interval;
        // Without a candidate by the end of the window, the same peers are
        // queried until one of them or the platform answers. With a candidate,
        // no further peers are queried: in a large fleet some are always down,
        // and their time-outs would delay the end of the window forever.
        if (!candidate_ && now >= window_end_)
            queried_peers_.clear();
        if (!candidate_ || now < window_end_)
            query_startup_peers(now, out);
    }
    try_adopt_candidate(now, out);
}

void config_sync::impl::query_startup_peers(time_point now, sync_actions& out) {
    std::size_t n = 0;
    for (const endpoint& it : peers_.startup_order(random_)) {
        if (n >= peers_per_startup_round)
            return;
        if (outstanding_requests_.contains(it) ||
            !queried_peers_.insert(it).second)
            continue;
        request_sync(it, false, now, out);
        ++n;
    }
}

// The start-up window ends early if all peers were queried and the platform
// answered.
bool config_sync::impl::can_end_startup_window(time_point now) {
    if (read_state_ == read_state::records)
        return false;
    if (now >= window_end_)
        return true;
    const bool all_asked =
        std::ranges::all_of(peers_.startup_order(random_), [&](const auto& it) {
            return queried_peers_.contains(it);
        });
    return all_asked && platform_answered_ && read_state_ == read_state::idle &&
           (!pending_head_ || pending_head_->gen <= candidate_->gen);
}

// Puts the candidate in force when every queried peer has answered or timed out
// and none of them claims a newer set. The peers that answered are queried a
// second time, because one of them may have adopted a newer set since. Peers
// that did not answer are skipped: by the end of their time-out, the second
// answers of the others would be stale too.
void config_sync::impl::try_adopt_candidate(time_point now, sync_actions& out) {
    if (current_ || !candidate_ || !outstanding_requests_.empty())
        return;
    std::erase_if(claims_, [&](const auto& it) {
        return it.second.gen <= candidate_->gen;
    });
    if (!claims_.empty())
        return pull_from(claims_.begin()->first, now, out);
    if (!can_end_startup_window(now))
        return;
    if (!std::exchange(is_confirming_, true)) {
        for (const endpoint& it : replied_peers_)
            request_sync(it, false, now, out);
        if (!replied_peers_.empty())
            return;
    }
    set_current(std::exchange(candidate_, nullptr), out);
    next_round_at_ = now + jitter(options_.round_interval);
    queried_peers_.clear();
    replied_peers_.clear();
    if (pending_head_)
        must_reread_head_ = pending_head_->gen > current_->gen;
    pending_head_.reset();
}

void config_sync::impl::adopt(records::snapshot_ptr snapshot, time_point now,
                              sync_actions& out) {
    if (snapshot->gen <= base_gen())
        return;
    peers_.update(*snapshot);
    keyring_ = wire::make_keyring(snapshot->keys);
    base_digest_ = records::compute_digest(snapshot->raw_records);
    outlines_.push_back(records::make_outline(*snapshot));
    if (outlines_.size() > max_outlines)
        outlines_.pop_front();
    if (current_) {
        set_current(std::move(snapshot), out);
        run_gossip_round(options_.push_peer_count, now, out);
        return;
    }
    candidate_ = std::move(snapshot);
    is_confirming_ = false;
    // Only the records that differ from this set remain to be read, so there is
    // no need for a delay.
    first_fetch_at_ = now;
    // The set may list peers that are not among the seeds.
    query_startup_peers(now, out);
    try_adopt_candidate(now, out);
}

void config_sync::impl::set_current(records::snapshot_ptr snapshot,
                                    sync_actions& out) {
    current_ = std::move(snapshot);
    std::erase_if(claims_, [&](const auto& claim) {
        return claim.second.gen <= current_->gen;
    });
    out.push_back(configuration_in_force{current_});
}

void config_sync::impl::mark_refused(generation gen, std::uint64_t digest,
                                     const failure& why, sync_actions& out) {
    const bool is_known = std::ranges::any_of(
        refused_sets_, [&](const auto& it) { return it.first == gen; });
    refused_sets_.emplace_back(gen, digest);
    if (refused_sets_.size() > max_refused_sets)
        refused_sets_.pop_front();
    if (!is_known)
        out.push_back(generation_refused{gen, why});
}

bool config_sync::impl::is_refused(generation gen, std::uint64_t digest) const {
    return std::ranges::any_of(refused_sets_, [&](const auto& it) {
        return it.first == gen && it.second == digest;
    });
}

bool config_sync::impl::build_and_adopt(generation gen,
                                        std::vector<records::raw_record> set,
                                        time_point now, sync_actions& out) {
    const auto digest = records::compute_digest(set);
    const auto snapshot = handle_failure(
        [&]() -> result<records::snapshot_ptr> {
            return records::build_snapshot(gen, std::move(set), base());
        },
        [&](const failure& why) -> records::snapshot_ptr {
            mark_refused(gen, digest, why, out);
            return nullptr;
        });
    if (snapshot)
        adopt(snapshot, now, out);
    return snapshot != nullptr;
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
