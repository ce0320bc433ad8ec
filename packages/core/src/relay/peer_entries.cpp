// Hellos between entries.

#include <arbutusport/relay/peer_entries.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace arbutusport::relay {

namespace {

// Entries listed in one hello; more would not speed up discovery.
constexpr std::size_t max_listed_entries = 8;
// Only entries heard within this time are listed, so that entries do not keep
// naming one that has ended to each other.
constexpr duration listing_age = std::chrono::seconds(1);
// Delay with which a busy process may send a hello.
constexpr duration hello_delay = std::chrono::milliseconds(150);
// Hellos of an earlier run of a process arrive late by at most this time. A run
// may have a lower number than the one before it after a step of the clock.
constexpr duration earlier_run_timeout = std::chrono::seconds(2);

} // namespace

peer_entries::peer_entries(peer_entry_options options,
                           send_function send_message,
                           std::function<void(const event&)> report)
    : options_(std::move(options)), send_(std::move(send_message)),
      report_(std::move(report)),
      election_({.self = options_.self,
                 .announce_interval = options_.hello_interval,
                 .announce_delay = hello_delay}),
      sender_(options_.sending, send_, report_),
      receiver_(options_.receiving, send_, report_) {}

void peer_entries::on_tick(const local_status& own, time_point now) {
    if (own.known.as_of() != own_as_of_) {
        own_as_of_ = own.known.as_of();
        own_changed_at_ = now;
    }
    receiver_.on_tick(own.known, now);
    sender_.on_tick(now);
    request_directory(own, now);
    if (!started_at_)
        started_at_ = now;
    announce_reading(own, now);
    if (!own.reads_store)
        if (const auto reader = election_.query_due(own_standing(now), now))
            send_hello(*reader, peers_[*reader], make_hello(own, false, now));
    if (now - last_round_at_ < options_.hello_interval) {
        repeat_initial_hellos(own, now);
        return;
    }
    last_round_at_ = now;
    ++announcements_;
    run_round(own, now);
}

// If the first hello is lost, this process must still receive the state of the
// other entries.
void peer_entries::repeat_initial_hellos(const local_status& own,
                                         time_point now) {
    if (now - *started_at_ > options_.initial_hello_period ||
        now - std::max(initial_hello_at_, last_round_at_) <
            options_.initial_hello_interval)
        return;
    initial_hello_at_ = now;
    const peer_hello hello = make_hello(own, false, now);
    std::size_t sent = 0;
    for (auto& [machine, it] : peers_)
        if (!it.answered && sent++ < options_.max_initial_hellos)
            send_hello(machine, it, hello);
}

peer_entries::answer_count peer_entries::count_answers() const {
    answer_count out{.known = peers_.size()};
    for (const auto& [machine, it] : peers_) {
        out.answered += it.answered ? 1 : 0;
        out.knowing_departed += it.answered && it.knows_departed ? 1 : 0;
    }
    return out;
}

std::vector<machine_address> peer_entries::near_entries() const {
    std::vector<machine_address> out;
    for (const auto& [machine, it] : peers_)
        if (is_near(it))
            out.push_back(machine);
    return out;
}

data_centre_id peer_entries::data_centre_of(machine_address machine) const {
    const auto it = peers_.find(machine);
    return it == peers_.end() ? data_centre_id() : it->second.data_centre;
}

reader_election::standing peer_entries::own_standing(time_point now) const {
    reader_election::standing out;
    const auto& reader = election_.reader();
    const auto own_rank = reader_election::rank(options_.self);
    for (const auto& [machine, it] : peers_) {
        if (!is_live(it, now))
            continue;
        ++out.members;
        if (reader_election::rank(machine) > own_rank &&
            (!reader || reader->announcement.reader != machine))
            ++out.position;
    }
    return out;
}

// The peers that succeed this process as the reader.
std::vector<machine_address> peer_entries::successors(time_point now) const {
    std::vector<std::pair<std::uint64_t, machine_address>> ranked;
    for (const auto& [machine, it] : peers_)
        if (is_live(it, now))
            ranked.emplace_back(reader_election::rank(machine), machine);
    const auto n = std::min(ranked.size(), election_.successor_count());
    std::ranges::partial_sort(ranked,
                              ranked.begin() + static_cast<std::ptrdiff_t>(n),
                              std::greater());
    std::vector<machine_address> out;
    for (std::size_t i = 0; i < n; ++i)
        out.push_back(ranked[i].second);
    return out;
}

// Returns the next `count` peers of the own data centre, or all others, after
// `cursor` and advances it.
std::vector<machine_address> peer_entries::next_peers(bool near,
                                                      machine_address& cursor,
                                                      std::size_t count) const {
    std::vector<machine_address> out;
    auto it = peers_.upper_bound(cursor);
    for (std::size_t n = peers_.size(); n > 0 && out.size() < count; --n) {
        if (it == peers_.end())
            it = peers_.begin();
        if (is_near(it->second) == near)
            out.push_back(it->first);
        ++it;
    }
    if (!out.empty())
        cursor = out.back();
    return out;
}

void peer_entries::run_round(const local_status& own, time_point now) {
    for (const machine_address seed : options_.seeds)
        if (seed != options_.self)
            peers_.try_emplace(seed, peer{.known_since = now});
    forget_lost(now);
    std::vector<machine_address> receivers;
    if (own.reads_store)
        receivers = successors(now);
    for (const machine_address it :
         next_peers(true, next_near_, options_.near_hellos))
        receivers.push_back(it);
    for (const machine_address it :
         next_peers(false, next_remote_, options_.remote_hellos))
        receivers.push_back(it);
    std::ranges::sort(receivers);
    receivers.erase(std::unique(receivers.begin(), receivers.end()),
                    receivers.end());
    const peer_hello hello = make_hello(own, false, now);
    for (const machine_address it : receivers)
        send_hello(it, peers_.at(it), hello);
    round_receivers_ = std::move(receivers);
}

void peer_entries::forget_lost(time_point now) {
    std::erase_if(peers_, [&](const auto& it) {
        const bool is_seed =
            std::ranges::find(options_.seeds, it.first) != options_.seeds.end();
        const bool is_lost = !is_seed && now - std::max(it.second.seen_at,
                                                        it.second.known_since) >
                                             options_.retention_time;
        if (is_lost) {
            sender_.forget(it.first);
            receiver_.forget(it.first);
        }
        return is_lost;
    });
}

void peer_entries::send_hello(machine_address to, peer& receiver,
                              peer_hello hello) {
    if (receiver.predates_announcements)
        hello.reader.reset();
    if (!hello.is_reply &&
        ++receiver.unanswered_hellos == options_.silent_after_hellos &&
        receiver.answered && !receiver.silent) {
        receiver.silent = true;
        report_({.severity = event::level::info,
                 .name = "peer_silent",
                 .machine = to,
                 .value = receiver.unanswered_hellos});
    }
    send_(to, hello);
}

// The entries of the data centre learn at once that this process reads the
// store, or no longer does.
void peer_entries::announce_reading(const local_status& own, time_point now) {
    if (std::exchange(announced_reading_, own.reads_store) == own.reads_store)
        return;
    ++announcements_;
    const peer_hello hello = make_hello(own, true, now);
    for (auto& [machine, it] : peers_)
        if (is_near(it))
            send_hello(machine, it, hello);
}

void peer_entries::on_hello(machine_address from, const peer_hello& hello,
                            const local_status& own, time_point now) {
    for (const machine_address it : hello.entries)
        add_entry(it, now);
    peer& sender = peers_[from];
    if (sender.answered && now - sender.heard_at < earlier_run_timeout &&
        (hello.run < sender.run ||
         (hello.run == sender.run && hello.as_of < sender.as_of)))
        return;
    report_back(from, sender, now);
    sender.answered = true;
    sender.heard_at = now;
    sender.seen_at = now;
    sender.run = hello.run;
    sender.data_centre = hello.data_centre;
    sender.as_of = hello.as_of;
    sender.digest = hello.digest;
    sender.version = hello.version;
    sender.reads_store = hello.reads_store;
    sender.predates_announcements = !hello.reader;
    sender.knows_departed = hello.knows_departed;
    sender.unanswered_hellos = 0;
    if (hello.data_centre == options_.data_centre)
        on_reader_state(from, hello, own, now);
    if (is_near(sender) && hello.reads_store && !own.reads_store &&
        std::exchange(sender.informed_run, hello.run) != hello.run)
        send_position(from, own.known);
    if (!hello.is_reply)
        send_hello(from, sender, make_hello(own, true, now));
    request_directory(own, now);
}

void peer_entries::report_back(machine_address from, peer& sender,
                               time_point now) {
    if (std::exchange(sender.silent, false))
        report_(
            {.severity = event::level::info,
             .name = "peer_back",
             .machine = from,
             .inputs = {{{"silent_ms", (now - sender.heard_at) /
                                           std::chrono::milliseconds(1)}}}});
}

void peer_entries::on_reader_state(machine_address from,
                                   const peer_hello& hello,
                                   const local_status& own, time_point now) {
    // Nobody can follow a reader that has not noticed a restore, as processes
    // of builds that know no eras never do.
    if (hello.as_of.era() < own.known.as_of().era()) {
        election_.on_withdrawn(from, now);
        return;
    }
    if (hello.reads_store) {
        const bool has_own = hello.reader && hello.reader->reader == from;
        election_.on_announced(has_own ? *hello.reader
                                       : reader_announcement{from, hello.run},
                               true, now);
        return;
    }
    election_.on_withdrawn(from, now);
    if (hello.reader && hello.reader->reader != machine_address())
        election_.on_announced(*hello.reader, false, now);
}

bool peer_entries::should_read(bool reads, bool prefers_others,
                               time_point now) {
    return election_.should_read(reads, prefers_others, own_standing(now), now);
}

std::optional<machine_address> peer_entries::reader() const {
    const auto& known = election_.reader();
    return known ? std::optional(known->announcement.reader) : std::nullopt;
}

void peer_entries::add_entry(machine_address machine, time_point now) {
    if (machine == options_.self || machine == machine_address())
        return;
    const auto known = peers_.find(machine);
    if (known != peers_.end()) {
        if (known->second.answered)
            known->second.seen_at = now;
        return;
    }
    const auto remote = std::ranges::count_if(
        peers_, [&](const auto& it) { return !is_near(it.second); });
    if (static_cast<std::size_t>(remote) < options_.max_remote_peers)
        peers_.emplace(machine, peer{.known_since = now});
}

void peer_entries::add_near_entry(machine_address machine, time_point now) {
    if (machine == options_.self || machine == machine_address())
        return;
    peer& it =
        peers_.try_emplace(machine, peer{.known_since = now}).first->second;
    it.seen_at = now;
    if (!it.answered)
        it.data_centre = options_.data_centre;
}

std::vector<machine_address>
peer_entries::recently_heard(time_point now) const {
    std::vector<machine_address> out;
    // Starts at the peer that receives the next hello, so that the list
    // changes from round to round.
    auto it = peers_.upper_bound(next_near_);
    for (std::size_t n = peers_.size();
         n > 0 && out.size() < max_listed_entries; --n) {
        if (it == peers_.end())
            it = peers_.begin();
        if (it->second.answered && now - it->second.heard_at <= listing_age)
            out.push_back(it->first);
        ++it;
    }
    return out;
}

peer_hello peer_entries::make_hello(const local_status& own, bool is_reply,
                                    time_point now) const {
    peer_hello hello{.run = options_.run,
                     .data_centre = options_.data_centre,
                     .as_of = own.known.as_of(),
                     .digest = own.known.digest(),
                     .reads_store = own.reads_store && !own.store_lost,
                     .is_reply = is_reply,
                     .entries = recently_heard(now),
                     .departed = own.departed,
                     .reader = reader_announcement{},
                     .knows_departed = own.knows_departed,
                     .version = own.known.as_of().era() == first_era
                                    ? 0
                                    : own.known.version()};
    if (hello.reads_store)
        hello.reader = {options_.self, options_.run, announcements_};
    else if (election_.has_reader(own_standing(now), now))
        hello.reader = election_.reader()->announcement;
    return hello;
}

} // namespace arbutusport::relay
