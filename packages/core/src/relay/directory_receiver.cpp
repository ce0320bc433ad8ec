// Assembly of parts and requests for missing ones.

#include <arbutusport/relay/directory_receiver.hpp>

#include <algorithm>

namespace arbutusport::relay {

namespace {

// A larger directory would exceed the memory of a process.
constexpr std::uint16_t max_parts = 4096;
// Fits an Ethernet frame.
constexpr std::size_t max_requested_parts = 500;

event_input count_input(const char* key, std::size_t n) {
    return {key, static_cast<std::int64_t>(n)};
}

event_input since_input(const char* key, time_point since, time_point now) {
    return {key, (now - since) / std::chrono::milliseconds(1)};
}

bool is_same(const directory_part& left, const directory_part& right) {
    return left.as_of == right.as_of && left.digest == right.digest &&
           left.count == right.count;
}

} // namespace

std::optional<directory_view>
directory_receiver::on_part(machine_address from, const directory_part& part,
                            time_point now) {
    if (part.count == 0 || part.count > max_parts || part.index >= part.count)
        return std::nullopt;
    transfer& it = transfers_[from];
    if (is_same(it.complete, part))
        return std::nullopt;
    if (!is_same(it.header, part) || it.parts.empty()) {
        report_incomplete(from, it, now);
        it.header = part;
        it.header.content.clear();
        it.parts.clear();
        it.began_at = now;
        it.requests = 0;
    }
    it.part_at = now;
    it.unanswered = 0;
    it.parts[part.index] = part.content;
    if (it.parts.size() < part.count)
        return std::nullopt;
    report_({.severity = event::level::info,
             .name = "directory_received",
             .machine = from,
             .inputs = {{count_input("as_of", part.as_of.number()),
                         count_input("parts", part.count),
                         count_input("requests", it.requests),
                         since_input("took_ms", it.began_at, now)}}});
    bytes whole;
    for (const auto& [index, content] : it.parts)
        whole.insert(whole.end(), content.begin(), content.end());
    it.parts.clear();
    it.complete = it.header;
    return handle_failure(
        [&]() -> result<std::optional<directory_view>> {
            BOOST_LEAF_AUTO(view, decode_view(whole, part.as_of.era()));
            return std::optional(std::move(view));
        },
        [](const failure&) { return std::optional<directory_view>(); });
}

void directory_receiver::on_tick(const directory& known, time_point now) {
    for (auto& [machine, it] : transfers_) {
        if (it.parts.empty() || now - it.part_at < options_.part_timeout ||
            now - it.requested_at < options_.request_interval)
            continue;
        if (known.as_of() >= it.header.as_of) {
            it.parts.clear();
        } else if (it.unanswered >= options_.max_unanswered) {
            report_incomplete(machine, it, now);
            it.parts.clear();
        } else {
            request_missing(machine, it, now);
        }
    }
}

void directory_receiver::request_missing(machine_address from, transfer& it,
                                         time_point now) {
    directory_part_request out{.as_of = it.header.as_of,
                               .digest = it.header.digest,
                               .count = it.header.count};
    for (std::uint16_t i = 0;
         i < it.header.count && out.missing.size() < max_requested_parts; ++i)
        if (!it.parts.contains(i))
            out.missing.push_back(i);
    ++it.requests;
    ++it.unanswered;
    it.requested_at = now;
    send_(from, out);
}

bool directory_receiver::is_receiving() const {
    return std::ranges::any_of(
        transfers_, [](const auto& it) { return !it.second.parts.empty(); });
}

void directory_receiver::report_incomplete(machine_address from,
                                           const transfer& it,
                                           time_point now) const {
    const std::size_t arrived = it.parts.size();
    if (arrived == 0)
        return;
    report_({.severity = event::level::info,
             .name = "directory_incomplete",
             .machine = from,
             .inputs = {{count_input("as_of", it.header.as_of.number()),
                         count_input("parts", it.header.count),
                         count_input("missing", it.header.count - arrived),
                         count_input("requests", it.requests),
                         since_input("took_ms", it.began_at, now)}}});
}

} // namespace arbutusport::relay
