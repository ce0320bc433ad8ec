// Hellos between entries, and the transfer of a newer directory.

#include <arbutusport/base/hash.hpp>
#include <arbutusport/relay/peer_entries.hpp>

#include <algorithm>

namespace arbutusport::relay {

namespace {

// Entries listed in one hello; more would not speed up discovery.
constexpr std::size_t max_listed_entries = 16;
// A larger directory would exceed the memory of a process.
constexpr std::uint16_t max_parts = 4096;
// A peer that has been silent for longer receives no directory request.
constexpr duration source_timeout = std::chrono::seconds(2);

// Delay with which a busy process may send a hello.
constexpr duration hello_delay = std::chrono::milliseconds(150);
// Makes the rank of readers independent of other ranks.
constexpr std::uint64_t reader_seed = 0x72656164;

} // namespace

peer_entries::peer_entries(peer_entry_options options,
                           send_function send_message,
                           std::function<void(const event&)> report)
    : options_(std::move(options)), send_(std::move(send_message)),
      report_(std::move(report)) {}

void peer_entries::on_tick(const local_status& own, time_point now) {
    if (own.known.as_of() != own_as_of_) {
        own_as_of_ = own.known.as_of();
        own_changed_at_ = now;
    }
    request_directory(own, now);
    if (!started_at_)
        started_at_ = now;
    if (now - last_round_at_ < options_.hello_interval) {
        repeat_initial_hellos(own, now);
        return;
    }
    last_round_at_ = now;
    report_silent(now);
    send_hellos(own, now);
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
    const message hello = make_hello(own, false, now);
    for (const auto& [machine, it] : peers_)
        if (!it.answered)
            send_(machine, hello);
}

bool peer_entries::all_answered() const {
    return std::ranges::all_of(
        peers_, [](const auto& it) { return it.second.answered; });
}

void peer_entries::report_silent(time_point now) {
    for (auto& [machine, it] : peers_) {
        if (it.silent || !it.answered ||
            now - it.heard_at <= options_.peer_silence_timeout)
            continue;
        it.silent = true;
        report_(
            {.severity = event::level::info,
             .name = "peer_silent",
             .machine = machine,
             .inputs = {{{"silent_ms", (now - it.heard_at) /
                                           std::chrono::milliseconds(1)}}}});
    }
}

void peer_entries::send_hellos(const local_status& own, time_point now) {
    for (const machine_address seed : options_.seeds)
        if (seed != options_.self)
            peers_.try_emplace(seed);
    std::erase_if(peers_, [&](const auto& it) {
        const bool is_seed =
            std::ranges::find(options_.seeds, it.first) != options_.seeds.end();
        return !is_seed && now - it.second.heard_at > options_.retention_time;
    });
    const message hello = make_hello(own, false, now);
    auto it = peers_.lower_bound(next_);
    for (std::size_t n = std::min(peers_.size(), options_.max_hellos); n > 0;
         --n) {
        if (it == peers_.end())
            it = peers_.begin();
        send_(it->first, hello);
        ++it;
    }
    next_ = it == peers_.end() ? machine_address() : it->first;
}

void peer_entries::on_hello(machine_address from, const peer_hello& hello,
                            const local_status& own, time_point now) {
    for (const machine_address it : hello.entries)
        add_entry(it, now);
    peer& sender = peers_[from];
    if (std::exchange(sender.silent, false))
        report_(
            {.severity = event::level::info,
             .name = "peer_back",
             .machine = from,
             .inputs = {{{"silent_ms", (now - sender.heard_at) /
                                           std::chrono::milliseconds(1)}}}});
    sender.answered = true;
    sender.heard_at = now;
    sender.data_centre = hello.data_centre;
    sender.as_of = hello.as_of;
    sender.digest = hello.digest;
    sender.reads_store = hello.reads_store;
    if (!hello.is_reply)
        send_(from, make_hello(own, true, now));
    request_directory(own, now);
}

// Sends the request to one peer at a time; views from all peers at once would
// congest a slow link.
void peer_entries::request_directory(const local_status& own, time_point now) {
    const auto source = newer_peer(own.known, now);
    if (!source) {
        behind_since_.reset();
        request_pause_ = options_.request_interval;
        return;
    }
    if (!behind_since_)
        behind_since_ = now;
    const bool needs = !own.known.is_ready() || own.store_lost;
    if ((!needs && now - *behind_since_ < options_.behind_timeout) ||
        now < request_due_)
        return;
    request_due_ = now + request_pause_;
    request_pause_ =
        std::min(2 * request_pause_, options_.max_request_interval);
    send_(*source, directory_request{});
}

// Returns the peer with the newest directory, preferring those in the own data
// centre.
std::optional<machine_address> peer_entries::newer_peer(const directory& known,
                                                        time_point now) const {
    std::optional<machine_address> best;
    const peer* found = nullptr;
    for (const auto& [machine, it] : peers_) {
        if (it.as_of <= known.as_of() || it.digest == known.digest() ||
            now - it.heard_at > source_timeout)
            continue;
        const bool nearer = it.data_centre == options_.data_centre;
        if (found == nullptr ||
            (nearer && found->data_centre != options_.data_centre) ||
            (it.as_of > found->as_of &&
             (nearer || found->data_centre != options_.data_centre))) {
            best = machine;
            found = &it;
        }
    }
    return best;
}

void peer_entries::on_request(machine_address from, const directory& known) {
    if (known.is_ready())
        send_view(from, known, true);
}

void peer_entries::push(const directory& known, time_point now) {
    if (!known.is_ready() || known.digest() == pushed_digest_ ||
        now - pushed_at_ < options_.push_interval)
        return;
    const bool with_routes = known.routing_at() != pushed_routing_;
    pushed_digest_ = known.digest();
    pushed_routing_ = known.routing_at();
    pushed_at_ = now;
    for (const auto& [machine, it] : peers_)
        if (it.data_centre == options_.data_centre &&
            now - it.heard_at <= options_.reader_timeout &&
            it.digest != known.digest())
            send_view(machine, known, with_routes);
}

bool peer_entries::should_read(bool store_lost, time_point now) const {
    const auto rank = [](machine_address it) {
        return hash_combine(it.value(), reader_seed);
    };
    return std::ranges::none_of(peers_, [&](const auto& it) {
        const peer& one = it.second;
        return one.reads_store && one.data_centre == options_.data_centre &&
               now - one.heard_at <= options_.reader_timeout &&
               (store_lost || rank(it.first) > rank(options_.self));
    });
}

bool peer_entries::reader_agrees(const directory& known, time_point now) const {
    // One hello interval plus the delay of a hello.
    const duration recent = options_.hello_interval + hello_delay;
    return std::ranges::any_of(peers_, [&](const auto& it) {
        const peer& one = it.second;
        return one.reads_store && one.data_centre == options_.data_centre &&
               now - one.heard_at <= recent && one.digest == known.digest();
    });
}

void peer_entries::send_view(machine_address to, const directory& known,
                             bool with_routes) const {
    const bytes whole = encode_view(known.view(), with_routes);
    const byte_view all(whole);
    const auto count = (whole.size() + max_part_bytes - 1) / max_part_bytes;
    for (std::size_t i = 0; i < count; ++i) {
        const auto part = all.subspan(
            i * max_part_bytes,
            std::min(max_part_bytes, whole.size() - i * max_part_bytes));
        send_(to, directory_part{.as_of = known.as_of(),
                                 .digest = known.digest(),
                                 .index = static_cast<std::uint16_t>(i),
                                 .count = static_cast<std::uint16_t>(count),
                                 .content = bytes(part.begin(), part.end())});
    }
}

std::optional<directory_view>
peer_entries::on_part(machine_address from, const directory_part& part) {
    if (part.count == 0 || part.count > max_parts || part.index >= part.count)
        return std::nullopt;
    peer& sender = peers_[from];
    if (sender.receiving.as_of != part.as_of ||
        sender.receiving.digest != part.digest ||
        sender.receiving.count != part.count) {
        sender.receiving = part;
        sender.parts.clear();
    }
    sender.parts[part.index] = part.content;
    if (sender.parts.size() < part.count)
        return std::nullopt;
    bytes whole;
    for (const auto& [index, content] : sender.parts)
        whole.insert(whole.end(), content.begin(), content.end());
    sender.parts.clear();
    sender.receiving = {};
    return handle_failure(
        [&]() -> result<std::optional<directory_view>> {
            BOOST_LEAF_AUTO(view, decode_view(whole));
            return std::optional(std::move(view));
        },
        [](const failure&) { return std::optional<directory_view>(); });
}

void peer_entries::add_entry(machine_address machine, time_point now) {
    if (machine == options_.self || machine == machine_address())
        return;
    peers_.try_emplace(machine, peer{.heard_at = now});
}

bool peer_entries::is_stuck(const directory& known, duration limit,
                            time_point now) const {
    return behind_since_ && now - *behind_since_ > limit &&
           now - own_changed_at_ > limit && known.as_of() == own_as_of_;
}

std::vector<machine_address> peer_entries::live_peers(time_point now) const {
    std::vector<machine_address> out;
    for (const auto& [machine, it] : peers_)
        if (now - it.heard_at <= options_.retention_time &&
            out.size() < max_listed_entries)
            out.push_back(machine);
    return out;
}

peer_hello peer_entries::make_hello(const local_status& own, bool is_reply,
                                    time_point now) const {
    return {.run = options_.run,
            .data_centre = options_.data_centre,
            .as_of = own.known.as_of(),
            .digest = own.known.digest(),
            .reads_store = own.reads_store && !own.store_lost,
            .is_reply = is_reply,
            .entries = live_peers(now),
            .departed = own.departed};
}

} // namespace arbutusport::relay
