// Hellos between entries, and the transfer of a newer directory.

#include <arbutusport/relay/peer_entries.hpp>

#include <algorithm>

namespace arbutusport::relay {

namespace {

// Entries named in one hello; more would not speed up finding all.
constexpr std::size_t max_named = 16;
// A larger directory than this would not fit any process of the target.
constexpr std::uint16_t max_parts = 4096;
// A peer gets at most one view in this time; parts may be on their way.
constexpr duration view_interval = std::chrono::milliseconds(800);
// A peer without a directory serves nobody, so it gets ours at once.
constexpr duration urgent_view_interval = std::chrono::milliseconds(100);

} // namespace

peer_entries::peer_entries(peer_entry_options options, send send_message)
    : options_(std::move(options)), send_(std::move(send_message)) {}

void peer_entries::on_tick(const standing& own, time_point now) {
    if (now - round_at_ < options_.hello_interval)
        return;
    round_at_ = now;
    for (const machine_address seed : options_.seeds)
        if (seed != options_.self)
            peers_.try_emplace(seed);
    std::erase_if(peers_, [&](const auto& it) {
        const bool is_seed =
            std::ranges::find(options_.seeds, it.first) != options_.seeds.end();
        return !is_seed && now - it.second.heard_at > options_.memory;
    });
    const message hello = make_hello(own, false, now);
    auto it = peers_.lower_bound(next_);
    for (std::size_t n = std::min(peers_.size(), options_.max_hellos); n > 0;
         --n) {
        if (it == peers_.end())
            it = peers_.begin();
        it->second.hello_at = now;
        send_(it->first, hello);
        ++it;
    }
    next_ = it == peers_.end() ? machine_address() : it->first;
}

void peer_entries::on_hello(machine_address from, const peer_hello& hello,
                            const standing& own, time_point now) {
    const directory& known = own.known;
    for (const machine_address it : hello.entries)
        learn(it, now);
    peer& it = peers_[from];
    it.heard_at = now;
    it.as_of = hello.as_of;
    it.digest = hello.digest;
    compare(it, known, now);
    if (!hello.is_reply)
        send_(from, make_hello(own, true, now));
    const bool has_newer = known.ready() && known.as_of() > hello.as_of &&
                           known.digest() != hello.digest;
    if (!has_newer)
        return;
    const bool urgent = hello.needs_directory;
    const bool behind =
        it.behind_since && now - *it.behind_since >= options_.behind_limit;
    if ((urgent && now - it.sent_view_at >= urgent_view_interval) ||
        (behind && now - it.sent_view_at >= view_interval)) {
        it.sent_view_at = now;
        send_view(from, known);
    }
}

std::optional<directory_view>
peer_entries::on_part(machine_address from, const directory_part& part) {
    if (part.count == 0 || part.count > max_parts || part.index >= part.count)
        return std::nullopt;
    peer& it = peers_[from];
    if (it.receiving.as_of != part.as_of ||
        it.receiving.digest != part.digest ||
        it.receiving.count != part.count) {
        it.receiving = part;
        it.parts.clear();
    }
    it.parts[part.index] = part.content;
    if (it.parts.size() < part.count)
        return std::nullopt;
    bytes whole;
    for (const auto& [index, content] : it.parts)
        whole.insert(whole.end(), content.begin(), content.end());
    it.parts.clear();
    it.receiving = {};
    return handle_failure(
        [&]() -> result<std::optional<directory_view>> {
            BOOST_LEAF_AUTO(view, decode_view(whole));
            return std::optional(std::move(view));
        },
        [](const failure&) { return std::optional<directory_view>(); });
}

void peer_entries::learn(machine_address machine, time_point now) {
    if (machine == options_.self || machine == machine_address())
        return;
    peers_.try_emplace(machine, peer{.heard_at = now});
}

bool peer_entries::is_behind(const directory& known, duration limit,
                             time_point now) const {
    return std::ranges::any_of(peers_, [&](const auto& it) {
        const peer& one = it.second;
        return one.ahead_since && one.as_of > known.as_of() &&
               one.digest != known.digest() && now - *one.ahead_since > limit;
    });
}

std::vector<machine_address> peer_entries::live(time_point now) const {
    std::vector<machine_address> out;
    for (const auto& [machine, it] : peers_)
        if (now - it.heard_at <= options_.memory && out.size() < max_named)
            out.push_back(machine);
    return out;
}

peer_hello peer_entries::make_hello(const standing& own, bool is_reply,
                                    time_point now) const {
    const directory& known = own.known;
    return {.run = options_.run,
            .data_centre = options_.data_centre,
            .as_of = known.as_of(),
            .digest = known.digest(),
            .needs_directory = !known.ready() || own.store_lost,
            .is_reply = is_reply,
            .entries = live(now),
            .departed = own.departed};
}

void peer_entries::compare(peer& it, const directory& known,
                           time_point now) const {
    const bool differs = it.digest != known.digest();
    if (!differs || it.as_of >= known.as_of())
        it.behind_since.reset();
    else if (!it.behind_since)
        it.behind_since = now;
    if (!differs || it.as_of <= known.as_of())
        it.ahead_since.reset();
    else if (!it.ahead_since)
        it.ahead_since = now;
}

void peer_entries::send_view(machine_address to, const directory& known) const {
    const bytes whole = encode_view(known.view());
    const auto count = (whole.size() + max_part_bytes - 1) / max_part_bytes;
    for (std::size_t i = 0; i < count; ++i) {
        const auto start =
            whole.begin() + static_cast<std::ptrdiff_t>(i * max_part_bytes);
        const auto length =
            std::min(max_part_bytes, whole.size() - i * max_part_bytes);
        send_(to, directory_part{
                      .as_of = known.as_of(),
                      .digest = known.digest(),
                      .index = static_cast<std::uint16_t>(i),
                      .count = static_cast<std::uint16_t>(count),
                      .content = bytes(
                          start, start + static_cast<std::ptrdiff_t>(length))});
    }
}

} // namespace arbutusport::relay
