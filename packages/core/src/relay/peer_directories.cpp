// Transfer of the directory between entries: a reader's pushes, requests of
// entries that are behind, and views in parts.

#include <arbutusport/relay/peer_entries.hpp>

#include <algorithm>
#include <utility>

namespace arbutusport::relay {

namespace {

// A larger directory would exceed the memory of a process.
constexpr std::uint16_t max_parts = 4096;
// A peer that has been silent for longer receives no directory request.
constexpr duration source_timeout = std::chrono::seconds(2);

event_input as_of_input(revision it) {
    return {"as_of", static_cast<std::int64_t>(it.number())};
}

event_input since_input(const char* key, time_point since, time_point now) {
    return {key, (now - since) / std::chrono::milliseconds(1)};
}

event_input count_input(const char* key, std::size_t n) {
    return {key, static_cast<std::int64_t>(n)};
}

} // namespace

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
    report_({.severity = event::level::info,
             .name = "directory_requested",
             .machine = *source,
             .inputs = {{as_of_input(own.known.as_of()),
                         since_input("behind_ms", *behind_since_, now)}}});
    send_(*source, directory_request{});
}

// A restored store may have lost a configuration that a peer still knows.
bool peer_entries::is_newer(const peer& it, const directory& known) {
    return (it.as_of > known.as_of() && !has_same_contents(it, known)) ||
           it.version > known.version();
}

// Returns the peer with the newest directory, preferring those in the own data
// centre.
std::optional<machine_address> peer_entries::newer_peer(const directory& known,
                                                        time_point now) const {
    std::optional<machine_address> best;
    const peer* found = nullptr;
    for (const auto& [machine, it] : peers_) {
        if (!is_newer(it, known) || now - it.heard_at > source_timeout)
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
    const bool same_era = known.as_of().era() == pushed_era_;
    if (!known.is_ready() || (same_era && known.digest() == pushed_digest_) ||
        now - pushed_at_ < options_.push_interval)
        return;
    const bool with_routes = known.routing_at() != pushed_routing_;
    const auto delta =
        with_routes || !same_era ? std::nullopt : delta_since_push(known);
    pushed_era_ = known.as_of().era();
    pushed_digest_ = known.digest();
    pushed_routing_ = known.routing_at();
    pushed_at_ = now;
    pushed_hosts_.clear();
    for (const auto& [key, it] : known.hosts())
        pushed_hosts_.emplace(key, it.at);
    std::size_t receivers = 0;
    for (const auto& [machine, it] : peers_) {
        if (!is_near(it) || has_same_contents(it, known))
            continue;
        ++receivers;
        if (delta && !it.predates_announcements)
            send_(machine, *delta);
        else
            send_view(machine, known, with_routes);
    }
    report_({.severity = event::level::info,
             .name = "directory_pushed",
             .reason = delta ? "changes" : "whole",
             .inputs = {{as_of_input(known.as_of()),
                         count_input("receivers", receivers)}}});
}

// Returns nothing if the change is too large for one datagram.
std::optional<message>
peer_entries::delta_since_push(const directory& known) const {
    directory_delta out{.as_of = known.as_of(),
                        .base_digest = pushed_digest_,
                        .digest = known.digest()};
    for (const auto& [key, it] : known.hosts()) {
        const auto pushed = pushed_hosts_.find(key);
        if (pushed == pushed_hosts_.end() || pushed->second != it.at)
            out.changed.push_back({it.at, it.record});
    }
    for (const auto& [key, at] : pushed_hosts_)
        if (!known.hosts().contains(key))
            out.removed.push_back(key);
    message encoded = std::move(out);
    if (encode(encoded).size() > max_part_bytes)
        return std::nullopt;
    return encoded;
}

void peer_entries::request_from(machine_address from, time_point now) {
    if (now < request_due_)
        return;
    request_due_ = now + options_.request_interval;
    send_(from, directory_request{});
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

std::optional<directory_view> peer_entries::on_part(machine_address from,
                                                    const directory_part& part,
                                                    time_point now) {
    if (part.count == 0 || part.count > max_parts || part.index >= part.count)
        return std::nullopt;
    peer& sender = peers_[from];
    if (sender.receiving.as_of != part.as_of ||
        sender.receiving.digest != part.digest ||
        sender.receiving.count != part.count) {
        report_incomplete(from, sender, now);
        sender.receiving = part;
        sender.receiving_since = now;
        sender.parts.clear();
    }
    sender.parts[part.index] = part.content;
    if (sender.parts.size() < part.count)
        return std::nullopt;
    bytes whole;
    for (const auto& [index, content] : sender.parts)
        whole.insert(whole.end(), content.begin(), content.end());
    report_(
        {.severity = event::level::info,
         .name = "directory_received",
         .machine = from,
         .inputs = {{as_of_input(part.as_of), count_input("parts", part.count),
                     since_input("took_ms", sender.receiving_since, now)}}});
    sender.parts.clear();
    sender.receiving = {};
    return handle_failure(
        [&]() -> result<std::optional<directory_view>> {
            BOOST_LEAF_AUTO(view, decode_view(whole, part.as_of.era()));
            return std::optional(std::move(view));
        },
        [](const failure&) { return std::optional<directory_view>(); });
}

void peer_entries::report_incomplete(machine_address from, const peer& sender,
                                     time_point now) const {
    const std::size_t arrived = sender.parts.size();
    if (arrived == 0)
        return;
    report_(
        {.severity = event::level::info,
         .name = "directory_incomplete",
         .machine = from,
         .inputs = {{as_of_input(sender.receiving.as_of),
                     count_input("parts", sender.receiving.count),
                     count_input("missing", sender.receiving.count - arrived),
                     since_input("took_ms", sender.receiving_since, now)}}});
}

bool peer_entries::is_stuck(const directory& known, duration limit,
                            time_point now) const {
    return behind_since_ && now - *behind_since_ > limit &&
           now - own_changed_at_ > limit && known.as_of() == own_as_of_;
}

} // namespace arbutusport::relay
