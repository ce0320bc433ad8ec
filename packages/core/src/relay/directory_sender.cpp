// Changes between states of the directory, and paced transfers.

#include <arbutusport/relay/directory_sender.hpp>

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace arbutusport::relay {

namespace {

// Type, era, position, digest, index and count of a part, and the headers of
// IPv4 and UDP.
constexpr std::size_t part_overhead = 57;

bool same_revision(const directory_view::host& left,
                   const directory_view::host& right) {
    return left.at == right.at;
}

std::unordered_map<endpoint, const route*>
by_address(const std::vector<route>& routes) {
    std::unordered_map<endpoint, const route*> out;
    for (const route& it : routes)
        out.emplace(it.address, &it);
    return out;
}

routing_delta routes_between(revision at, const routing_document& base,
                             const routing_document& last) {
    routing_delta out{
        .at = at, .version = last.version, .idle_timeout = last.idle_timeout};
    const auto before = by_address(base.routes);
    const auto after = by_address(last.routes);
    for (const auto& [address, it] : after) {
        const auto known = before.find(address);
        if (known == before.end() || known->second->targets != it->targets)
            out.changed.push_back({.address = address, .targets = it->targets});
    }
    for (const auto& [address, it] : before)
        if (!after.contains(address))
            out.removed.push_back(address);
    return out;
}

void add_host_changes(const std::vector<directory_view::host>& base,
                      const std::vector<directory_view::host>& last,
                      directory_delta& out) {
    auto before = base.begin();
    for (const auto& it : last) {
        while (before != base.end() && before->record.key < it.record.key)
            out.removed.push_back((before++)->record.key);
        const bool is_known =
            before != base.end() && before->record.key == it.record.key;
        if (!is_known || !same_revision(*before, it))
            out.changed.push_back(it);
        if (is_known)
            ++before;
    }
    for (; before != base.end(); ++before)
        out.removed.push_back(before->record.key);
}

} // namespace

bool directory_sender::is_latest(revision as_of, std::uint64_t digest) const {
    return !states_.empty() && states_.back()->as_of.era() == as_of.era() &&
           states_.back()->digest == digest;
}

void directory_sender::keep(const directory& known) {
    const state_ptr last = states_.empty() ? nullptr : states_.back();
    auto it = std::make_shared<state>(state{.as_of = known.as_of(),
                                            .digest = known.digest(),
                                            .routing_at = known.routing_at()});
    if (last && last->routing_at == it->routing_at)
        it->routing = last->routing;
    else
        it->routing = std::make_shared<routing_document>(known.routing());
    for (const auto& [key, host] : known.hosts())
        it->hosts.push_back({host.at, host.record});
    states_.push_back(std::move(it));
    if (states_.size() > options_.kept_states)
        states_.pop_front();
    changes_.clear();
}

directory_sender::state_ptr
directory_sender::find_state(revision as_of, std::uint64_t digest) const {
    const auto it =
        std::find_if(states_.rbegin(), states_.rend(), [&](const auto& one) {
            return one->as_of.era() == as_of.era() && one->digest == digest;
        });
    return it == states_.rend() ? nullptr : *it;
}

void directory_sender::push(const directory& known,
                            std::span<const recipient> recipients,
                            time_point now) {
    if (!known.is_ready())
        return;
    if (!is_latest(known.as_of(), known.digest())) {
        if (now - pushed_at_ < options_.push_interval)
            return;
        keep(known);
        pushed_at_ = now;
        report_({.severity = event::level::info,
                 .name = "directory_pushed",
                 .inputs = {{{"as_of", static_cast<std::int64_t>(
                                           known.as_of().number())},
                             {"recipients",
                              static_cast<std::int64_t>(recipients.size())}}}});
    }
    for (const recipient& it : recipients)
        send_latest(it, progress_[it.machine], now);
}

void directory_sender::send_latest(const recipient& it, progress& to,
                                   time_point now) {
    const state_ptr& last = states_.back();
    if (is_latest(it.as_of, it.digest)) {
        to.sent = last;
        to.repeats = 0;
        if (to.sending && !to.sending->has_begun)
            to.sending.reset();
        return;
    }
    // It has learned from another data centre what was not read here yet.
    if (it.as_of > last->as_of)
        return;
    if (to.sending) {
        // What has begun is completed: otherwise a series of changes would
        // keep the recipient from ever having a complete directory.
        if (!to.sending->has_begun && to.sending->from != last)
            begin_transfer(it.machine, to, last, to.sending->with_routes);
        return;
    }
    if (!it.confirms) {
        if (to.sent != last)
            send_unconfirmed(it, to);
        return;
    }
    if (to.sent != last)
        to.repeats = 0;
    else if (now < to.due || to.repeats++ >= options_.max_repeats)
        return;
    to.sent = last;
    to.due = now + std::min(options_.answer_timeout * (1 << to.repeats),
                            options_.max_answer_timeout);
    const state_ptr base = find_state(it.as_of, it.digest);
    if (!base || !send_change(it, *base))
        begin_transfer(it.machine, to, last, true);
}

// Recipients of earlier builds: each state once, as a change to the one before
// if the routes are the same.
void directory_sender::send_unconfirmed(const recipient& it, progress& to) {
    const state_ptr& last = states_.back();
    const state_ptr base = std::exchange(to.sent, last);
    const bool same_routes = base && base->routing_at == last->routing_at &&
                             base->as_of.era() == last->as_of.era();
    if (!same_routes || !it.reads_changes || !send_change(it, *base))
        begin_transfer(it.machine, to, last, !same_routes);
}

// Returns false if the change does not fit into one datagram.
bool directory_sender::send_change(const recipient& it, const state& base) {
    const auto [found, is_new] =
        changes_.try_emplace(std::pair(base.digest, it.confirms), std::nullopt);
    if (is_new)
        found->second = change_between(base, *states_.back(), it.confirms);
    if (!found->second)
        return false;
    send_(it.machine, *found->second);
    return true;
}

std::optional<message> directory_sender::change_between(const state& base,
                                                        const state& last,
                                                        bool wants_position) {
    if (base.as_of.era() != last.as_of.era())
        return std::nullopt;
    directory_delta out{.as_of = last.as_of,
                        .base_digest = base.digest,
                        .digest = last.digest,
                        .wants_position = wants_position};
    add_host_changes(base.hosts, last.hosts, out);
    if (base.routing_at != last.routing_at)
        out.routing =
            routes_between(last.routing_at, *base.routing, *last.routing);
    message it = std::move(out);
    if (encode(it).size() > max_part_bytes)
        return std::nullopt;
    return it;
}

const bytes& directory_sender::encoded(state& it, bool with_routes) {
    bytes& out = it.encoded[with_routes ? 1 : 0];
    if (out.empty())
        out = encode_view(
            {.as_of = it.as_of,
             .routing_at = it.routing_at,
             .routing = with_routes ? *it.routing : routing_document(),
             .hosts = it.hosts},
            with_routes);
    return out;
}

void directory_sender::begin_transfer(machine_address to, progress& it,
                                      const state_ptr& from, bool with_routes) {
    if (!it.sending)
        queue_.push_back(to);
    const std::size_t size = encoded(*from, with_routes).size();
    const std::size_t count = (size + max_part_bytes - 1) / max_part_bytes;
    transfer out{.from = from, .with_routes = with_routes, .count = count};
    for (std::size_t i = count; i > 0; --i)
        out.left.push_back(static_cast<std::uint16_t>(i - 1));
    it.sending = std::move(out);
    it.sent = from;
}

void directory_sender::on_request(machine_address from, const directory& known,
                                  time_point now) {
    if (!known.is_ready())
        return;
    if (!is_latest(known.as_of(), known.digest()))
        keep(known);
    progress& it = progress_[from];
    if (!it.sending || !it.sending->has_begun)
        begin_transfer(from, it, states_.back(), true);
    on_tick(now);
}

void directory_sender::on_part_request(machine_address from,
                                       const directory_part_request& request,
                                       const directory& known, time_point now) {
    progress& it = progress_[from];
    if (it.sending)
        return;
    const state_ptr found = find_state(request.as_of, request.digest);
    for (const bool with_routes : {true, false}) {
        if (!found || request.missing.empty())
            break;
        const std::size_t size = found->encoded[with_routes ? 1 : 0].size();
        if ((size + max_part_bytes - 1) / max_part_bytes != request.count)
            continue;
        transfer out{
            .from = found, .with_routes = with_routes, .count = request.count};
        for (const std::uint16_t index : request.missing)
            if (index < request.count)
                out.left.push_back(index);
        it.sending = std::move(out);
        // A few parts do not wait for the directories of others.
        queue_.push_front(from);
        on_tick(now);
        return;
    }
    on_request(from, known, now);
}

void directory_sender::on_position(machine_address from) {
    if (const auto it = progress_.find(from);
        it != progress_.end() && !it->second.sending)
        it->second.due = {};
}

void directory_sender::on_tick(time_point now) {
    while (!queue_.empty()) {
        const machine_address to = queue_.front();
        const auto found = progress_.find(to);
        if (found == progress_.end() || !found->second.sending) {
            queue_.pop_front();
            continue;
        }
        transfer& it = *found->second.sending;
        const bytes& whole = encoded(*it.from, it.with_routes);
        it.has_begun = true;
        while (!it.left.empty()) {
            const std::size_t start = it.left.back() * max_part_bytes;
            const auto part = byte_view(whole).subspan(
                start, std::min(max_part_bytes, whole.size() - start));
            if (!budget_.try_take(part.size() + part_overhead, now))
                return;
            send_(to,
                  directory_part{.as_of = it.from->as_of,
                                 .digest = it.from->digest,
                                 .index = it.left.back(),
                                 .count = static_cast<std::uint16_t>(it.count),
                                 .content = bytes(part.begin(), part.end())});
            it.left.pop_back();
        }
        found->second.sending.reset();
        found->second.due = now + options_.transfer_timeout;
        queue_.pop_front();
    }
}

void directory_sender::forget(machine_address machine) {
    progress_.erase(machine);
}

} // namespace arbutusport::relay
