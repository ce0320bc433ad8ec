// Exchange of the directory between entries: a reader's pushes, and requests of
// entries that are behind.

#include <arbutusport/relay/peer_entries.hpp>

#include <algorithm>
#include <utility>

namespace arbutusport::relay {

namespace {

// A peer that has been silent for longer receives no directory request.
constexpr duration source_timeout = std::chrono::seconds(2);

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
    if (receiver_.is_receiving())
        return;
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
             .inputs = {{{"as_of", static_cast<std::int64_t>(
                                       own.known.as_of().number())},
                         {"behind_ms", (now - *behind_since_) /
                                           std::chrono::milliseconds(1)}}}});
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

void peer_entries::on_request(machine_address from, const directory& known,
                              time_point now) {
    peers_.try_emplace(from, peer{.known_since = now});
    sender_.on_request(from, known, now);
}

void peer_entries::on_part_request(machine_address from,
                                   const directory_part_request& it,
                                   const directory& known, time_point now) {
    peers_.try_emplace(from, peer{.known_since = now});
    sender_.on_part_request(from, it, known, now);
}

void peer_entries::on_position(machine_address from,
                               const directory_position& it, time_point now) {
    peer& sender =
        peers_.try_emplace(from, peer{.known_since = now}).first->second;
    sender.position_run = it.run;
    if (it.run == sender.run && it.as_of < sender.as_of)
        return;
    sender.as_of = it.as_of;
    sender.digest = it.digest;
    sender_.on_position(from);
}

void peer_entries::send_position(machine_address to,
                                 const directory& known) const {
    send_(to, directory_position{.run = options_.run,
                                 .as_of = known.as_of(),
                                 .digest = known.digest()});
}

void peer_entries::push(const directory& known, time_point now) {
    std::vector<directory_sender::recipient> recipients;
    for (const auto& [machine, it] : peers_)
        if (is_near(it))
            recipients.push_back({.machine = machine,
                                  .as_of = it.as_of,
                                  .digest = it.digest,
                                  .confirms = it.position_run == it.run,
                                  .reads_changes = !it.predates_announcements});
    sender_.push(known, recipients, now);
}

void peer_entries::request_from(machine_address from, time_point now) {
    if (now < request_due_)
        return;
    request_due_ = now + options_.request_interval;
    send_(from, directory_request{});
}

std::optional<directory_view> peer_entries::on_part(machine_address from,
                                                    const directory_part& part,
                                                    time_point now) {
    peers_.try_emplace(from, peer{.known_since = now});
    return receiver_.on_part(from, part, now);
}

bool peer_entries::is_stuck(const directory& known, duration limit,
                            time_point now) const {
    return behind_since_ && now - *behind_since_ > limit &&
           now - own_changed_at_ > limit && known.as_of() == own_as_of_;
}

} // namespace arbutusport::relay
