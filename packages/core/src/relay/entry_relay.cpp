// Client side of an entry: placement, forwarding, owner search and resets.

#include <arbutusport/base/hash.hpp>
#include <arbutusport/relay/entry_relay.hpp>

#include <algorithm>

namespace arbutusport::relay {

namespace {

// A reader that has just taken over receives the changes it missed within this
// time.
constexpr duration catch_up_time = std::chrono::milliseconds(300);

} // namespace

entry_relay::entry_relay(entry_relay_options options, entry_relay_hooks hooks)
    : options_(std::move(options)), hooks_(std::move(hooks)),
      directory_(options_.directory), peers_(options_.peers),
      entries_(
          {.run = options_.run,
           .self = options_.self,
           .data_centre = options_.data_centre,
           .seeds = options_.seeds},
          [this](machine_address to, const message& it) {
              hooks_.send(to, it);
          },
          [this](const event& it) { report(it); }),
      search_(
          options_.search,
          {.targets = [this](const flow_key& it) { return search_targets(it); },
           .send =
               [this](const owner_search::target& to, byte_view datagram) {
                   hooks_.forward(to.machine, {handling::search, to.service},
                                  datagram);
               },
           .query =
               [this](machine_address to, std::vector<flow_key> flows) {
                   hooks_.send(to, flow_query{std::move(flows)});
               },
           .nowhere = [this](const owner_search::conclusion& it,
                             time_point) { conclude_nowhere(it); },
           .may_conclude =
               [this](time_point now) { return knows_all_hosts(now); },
           .unresolved =
               [this](const owner_search::conclusion& it) {
                   report({.severity = event::level::info,
                           .name = "dropped",
                           .reason = "owner_unknown",
                           .flow = it.flow,
                           .inputs = inputs_of(it)});
               }}),
      hints_(options_.max_hints) {}

void entry_relay::on_client(const segment& it, time_point now) {
    if (!directory_.ready()) {
        report({.name = "dropped", .reason = "no_directory", .flow = it.flow});
        return;
    }
    if (directory_.find_route(it.flow.service) == nullptr) {
        on_unrouted(it);
        return;
    }
    if (it.opening()) {
        on_opening(it, now);
        return;
    }
    if (hint* known = hints_.find(it.flow))
        on_known_flow(it, *known, now);
    else
        search(it, std::nullopt, now);
}

// Traffic of a route that a newer configuration adds must not be reset, so an
// entry that cannot read the store drops the packet without a reset.
void entry_relay::on_unrouted(const segment& it) {
    hints_.erase(it.flow);
    openings_.erase(it.flow);
    const bool refuses = !directory_.store_is_lost() && !it.rst;
    report({.name = refuses ? "refused" : "dropped",
            .reason = "no_route",
            .flow = it.flow,
            .inputs = {version_input()}});
    if (refuses)
        hooks_.reset(it.flow, it.acknowledged);
}

void entry_relay::on_opening(const segment& it, time_point now) {
    const hint* known = hints_.find(it.flow);
    if (known != nullptr && known->client_start == it.sequence &&
        !peers_.host_is_dead(known->owner)) {
        // The host accepted an earlier copy; its answer may have been lost.
        hooks_.forward(known->owner, {handling::place, known->service},
                       it.datagram);
        return;
    }
    hints_.erase(it.flow);
    search_.forget(it.flow);
    const auto found = openings_.find(it.flow);
    if (found == openings_.end() && openings_.size() >= options_.max_openings) {
        report({.name = "dropped", .reason = "openings_full", .flow = it.flow});
        return;
    }
    opening& open = openings_[it.flow];
    if (open.datagram.empty() || open.client_start != it.sequence)
        open = {.client_start = it.sequence, .first_at = now};
    open.datagram.assign(it.datagram.begin(), it.datagram.end());
    open.hedges = 0;
    if (!place(it.flow, open, now)) {
        hooks_.reset(it.flow, it.acknowledged);
        openings_.erase(it.flow);
    }
}

// Returns false if no host is available for the flow.
bool entry_relay::place(const flow_key& flow, opening& it, time_point now) {
    const auto chosen = next_host(flow, it, now);
    if (!chosen)
        return false;
    it.tried.push_back(chosen->machine);
    it.due = now + options_.answer_timeout;
    peers_.on_placed(chosen->machine);
    report({.name = "flow_placed",
            .reason = it.tried.size() > 1 ? "another_host" : "least_load",
            .flow = flow,
            .machine = chosen->machine,
            .inputs = {
                {{"load_milli", static_cast<std::int64_t>(1000 * chosen->load)},
                 {"load_age_ms", peers_.report_age_ms(chosen->machine, now)},
                 {"attempt", static_cast<std::int64_t>(it.tried.size())},
                 version_input()}}});
    hooks_.forward(chosen->machine, {handling::place, it.service}, it.datagram);
    return true;
}

event_input entry_relay::version_input() const {
    return {"version", static_cast<std::int64_t>(directory_.version())};
}

std::optional<host_choice> entry_relay::next_host(const flow_key& flow,
                                                  opening& it, time_point now) {
    const route* way = directory_.find_route(flow.service);
    if (way == nullptr)
        return std::nullopt;
    const auto service = choose_service(*way, hash_of(flow));
    if (!service) {
        report({.severity = event::level::warning,
                .name = "refused",
                .reason = "route_without_service",
                .flow = flow,
                .inputs = {version_input()}});
        return std::nullopt;
    }
    auto best = best_host(flow, *service, it.tried, now);
    service_id used = *service;
    for (const weighted_service& other : way->targets) {
        if (other.service == *service || other.weight == 0)
            continue;
        const auto there = best_host(flow, other.service, it.tried, now);
        if (!spills(best, there, options_.placement))
            continue;
        best = there;
        used = other.service;
        report({.name = "flow_spilled", .flow = flow});
    }
    if (!best && !it.tried.empty()) {
        it.tried.clear();
        best = best_host(flow, *service, it.tried, now);
    }
    if (!best) {
        report({.severity = event::level::warning,
                .name = "refused",
                .reason = "service_without_host",
                .flow = flow,
                .inputs = {version_input()}});
        return std::nullopt;
    }
    it.service = tag_of(used);
    return best;
}

std::optional<host_choice>
entry_relay::best_host(const flow_key& flow, service_id service,
                       std::span<const machine_address> tried,
                       time_point now) const {
    const auto hash = hash_of(flow);
    const auto hosts = ranked_hosts(
        peers_.candidates(directory_, service, options_.data_centre, now), hash,
        options_.placement);
    return choose_host(hosts, tried, hash, options_.placement);
}

void entry_relay::on_known_flow(const segment& it, hint& known,
                                time_point now) {
    if (known.other != machine_address() && it.ack) {
        // The client acknowledges the sequence number of the host that it
        // uses.
        if (it.acknowledged - known.other_start <
            it.acknowledged - known.host_start) {
            known.owner = known.other;
            known.service = known.other_service;

            known.host_start = known.other_start;
        }
        known.other = {};
    }
    const machine_address owner = known.owner;
    if (peers_.host_is_dead(owner)) {
        hints_.erase(it.flow);
        report({.severity = event::level::info,
                .name = "flow_reset",
                .reason = "host_dead",
                .flow = it.flow,
                .machine = owner,
                .inputs = {
                    {{"report_age_ms", peers_.report_age_ms(owner, now)}}}});
        if (!it.rst)
            hooks_.reset(it.flow, it.acknowledged);
        return;
    }
    if (!is_known_machine(owner)) {
        hints_.erase(it.flow);
        search(it, std::nullopt, now);
        return;
    }
    hooks_.forward(owner, {handling::forward, known.service}, it.datagram);
}

void entry_relay::search(const segment& it,
                         std::optional<machine_address> denied,
                         time_point now) {
    // A late reset needs no owner.
    if (it.rst)
        return;
    const bool fresh = !search_.active(it.flow);
    if (!search_.add(it, denied, now))
        report({.name = "dropped", .reason = "search_full", .flow = it.flow});
    else if (fresh)
        report({.name = "owner_searched", .flow = it.flow});
}

// Any host may own the flow, including draining and departed ones. Hosts of the
// services that the route names are searched first.
std::vector<owner_search::target>
entry_relay::search_targets(const flow_key& flow) const {
    const route* way = directory_.find_route(flow.service);
    if (way == nullptr)
        return {};
    std::vector<service_tag> services;
    for (const weighted_service& it : way->targets)
        services.push_back(tag_of(it.service));
    return peers_.possible_owners(services, options_.data_centre,
                                  hash_of(flow));
}

// Unless the directory is up to date with the store, it may lack a host that
// has just registered and already receives flows from another entry.
bool entry_relay::directory_is_current(time_point now) const {
    if (!reading_)
        return entries_.reader_agrees(directory_, now);
    return !directory_.store_is_lost() &&
           (!reading_since_ || now - *reading_since_ > catch_up_time);
}

// An entry that has just started learns of departed hosts from the hellos of
// other entries, so it waits for these before it declares any flow lost.
bool entry_relay::knows_all_hosts(time_point now) const {
    if (!directory_at_ || now - *directory_at_ < options_.start_delay)
        return false;
    const bool heard =
        entries_.all_answered() || now - *directory_at_ >= options_.start_limit;
    return heard && directory_is_current(now);
}

void entry_relay::conclude_nowhere(const owner_search::conclusion& it) {
    hooks_.measure("owner_search", it.after);
    report({.severity = event::level::info,
            .name = "flow_reset",
            .reason = "no_host_has_it",
            .flow = it.flow,
            .inputs = inputs_of(it)});
    hooks_.reset(it.flow, it.acknowledged);
}

std::array<event_input, 4>
entry_relay::inputs_of(const owner_search::conclusion& it) const {
    return {{{"denials", static_cast<std::int64_t>(it.denials)},
             {"after_ms", it.after / std::chrono::milliseconds(1)},
             {"as_of", static_cast<std::int64_t>(directory_.as_of().value())}}};
}

bool entry_relay::is_known_machine(machine_address machine) const {
    return peers_.find(machine) != nullptr;
}

void entry_relay::report(event it) const {
    hooks_.report(it);
}

} // namespace arbutusport::relay
