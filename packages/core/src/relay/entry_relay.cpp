// Client side of an entry: placement, forwarding, owner search and resets.

#include <arbutusport/base/hash.hpp>
#include <arbutusport/relay/entry_relay.hpp>

#include <algorithm>

namespace arbutusport::relay {

namespace {

host_peer_options make_peer_options(const entry_relay_options& options,
                                    const evacuation_table& evacuations) {
    host_peer_options out = options.peers;
    out.data_centre = options.data_centre;
    out.is_evacuated = [&evacuations](data_centre_id it) {
        return evacuations.is_evacuated(it);
    };
    return out;
}

} // namespace

entry_relay::entry_relay(entry_relay_options options, entry_relay_hooks hooks)
    : options_(std::move(options)), hooks_(std::move(hooks)),
      directory_(options_.directory),
      // No name is refused before the hosts are known: the table counts as
      // complete, and a refused request would be lacking for good.
      evacuations_([this](data_centre_id it) {
          return !directory_.is_ready() || has_hosts(it);
      }),
      peers_(make_peer_options(options_, evacuations_)),
      entries_(
          {.run = options_.run,
           .self = options_.self,
           .data_centre = options_.data_centre,
           .seeds = options_.seeds,
           .sending = {.budget = options_.directories}},
          [this](machine_address to, const message& it) {
              hooks_.send(to, it);
          },
          [this](const event& it) { report(it); }),
      search_(options_.search,
              {.targets =
                   [this](const flow_key& it, time_point now) {
                       return search_targets(it, now);
                   },
               .send =
                   [this](const owner_search::target& to, byte_view datagram) {
                       hooks_.forward(to.machine,
                                      {forwarding_mode::search, to.service},
                                      datagram);
                   },
               .query =
                   [this](machine_address to, std::vector<flow_key> flows) {
                       hooks_.send(to, flow_query{std::move(flows)});
                   },
               .not_found = [this](const owner_search::conclusion& it,
                                   time_point) { reset_unowned_flow(it); },
               .complete_until =
                   [this](time_point now) { return hosts_complete_until(now); },
               .require_complete =
                   [this](time_point since) { barrier_.require(since); },
               .unresolved =
                   [this](const owner_search::conclusion& it) {
                       report({.severity = event::level::info,
                               .name = "dropped",
                               .reason = "owner_unknown",
                               .flow = it.flow,
                               .inputs = conclusion_inputs(it)});
                   }}),
      barrier_(options_.barrier,
               {.send = [this](machine_address to,
                               const message& it) { hooks_.send(to, it); },
                .read =
                    [this](std::uint64_t id) {
                        hooks_.read_store(id, directory_.as_of());
                    }}),
      hints_(options_.max_hints) {}

void entry_relay::on_client(const segment& packet, time_point now) {
    handle_client(packet, false, now);
}

// `is_confirmed`: the directory is known to have been complete when the packet
// arrived.
void entry_relay::handle_client(const segment& packet, bool is_confirmed,
                                time_point now) {
    if (!directory_.is_ready()) {
        report(
            {.name = "dropped", .reason = "no_directory", .flow = packet.flow});
        return;
    }
    if (directory_.find_route(packet.flow.service) == nullptr) {
        on_unrouted(packet, is_confirmed, now);
        return;
    }
    if (packet.is_opening()) {
        on_opening(packet, now);
        return;
    }
    if (hint* known = hints_.find(packet.flow))
        on_known_flow(packet, *known, now);
    else
        search_owner(packet, std::nullopt, now);
}

// The flow may be open on a route that a newer configuration has added. Only
// the first copy of an opening packet needs no evidence, since nothing is open
// yet; without the store even that is not refused.
void entry_relay::on_unrouted(const segment& packet, bool is_confirmed,
                              time_point now) {
    if (packet.rst)
        return;
    const bool is_first_opening =
        packet.is_opening() && packet.acknowledged == 0;
    if (!is_confirmed && !is_first_opening) {
        await_barrier(packet, now);
        return;
    }
    hints_.erase(packet.flow);
    openings_.erase(packet.flow);
    const bool refuses = is_confirmed || !directory_.is_store_lost();
    report({.name = refuses ? "refused" : "dropped",
            .reason = "no_route",
            .flow = packet.flow,
            .inputs = {version_input()}});
    if (refuses)
        hooks_.reset(packet.flow, packet.acknowledged);
}

// Keeps the packet until a read barrier shows whether the directory was
// complete when it arrived.
void entry_relay::await_barrier(const segment& packet, time_point now) {
    if (undecided_.size() >= options_.max_undecided &&
        !undecided_.contains(packet.flow)) {
        report({.name = "dropped",
                .reason = "undecided_full",
                .flow = packet.flow});
        return;
    }
    undecided_[packet.flow] = {
        .datagram = {packet.datagram.begin(), packet.datagram.end()},
        .arrived_at = now};
    barrier_.require(now);
}

void entry_relay::decide_waiting(time_point now) {
    decided_until_ = barrier_.covered_until();
    std::vector<bytes> decided;
    std::erase_if(undecided_, [&](auto& it) {
        auto& [flow, waiting] = it;
        if (waiting.arrived_at <= decided_until_) {
            decided.push_back(std::move(waiting.datagram));
            return true;
        }
        barrier_.require(waiting.arrived_at);
        if (now - waiting.arrived_at < options_.undecided_timeout)
            return false;
        report({.name = "dropped",
                .reason = "directory_not_confirmed",
                .flow = flow,
                .inputs = {version_input()}});
        return true;
    });
    for (const bytes& datagram : decided)
        if (const auto packet = hooks_.decode(datagram))
            handle_client(*packet, true, now);
}

void entry_relay::flush(time_point now) {
    advance_barrier(now);
    if (barrier_.covered_until() > decided_until_)
        decide_waiting(now);
    search_.flush(now);
    advance_barrier(now);
}

// Without a directory a read would bring recent changes only, which look like
// the whole.
void entry_relay::advance_barrier(time_point now) {
    if (!directory_.is_ready())
        return;
    barrier_.advance(directory_, reading_ ? std::nullopt : entries_.reader(),
                     now);
}

void entry_relay::on_opening(const segment& packet, time_point now) {
    const hint* known = hints_.find(packet.flow);
    const auto service =
        known != nullptr ? accepted_service(packet, *known) : std::nullopt;
    if (service) {
        // The host accepted an earlier copy; its answer may have been lost.
        hooks_.forward(known->owner, make_placement_mark(*service),
                       packet.datagram);
        return;
    }
    if (awaits_evacuations(now)) {
        report({.name = "dropped",
                .reason = "evacuations_unknown",
                .flow = packet.flow});
        return;
    }
    hints_.erase(packet.flow);
    search_.forget(packet.flow);
    const auto found = openings_.find(packet.flow);
    if (found == openings_.end() && openings_.size() >= options_.max_openings) {
        report({.name = "dropped",
                .reason = "openings_full",
                .flow = packet.flow});
        return;
    }
    opening& open = openings_[packet.flow];
    if (open.datagram.empty() || open.client_start != packet.sequence)
        open = {.client_start = packet.sequence, .first_at = now};
    open.datagram.assign(packet.datagram.begin(), packet.datagram.end());
    open.hedges = 0;
    if (!place_flow(packet.flow, open, now)) {
        hooks_.reset(packet.flow, packet.acknowledged);
        openings_.erase(packet.flow);
    }
}

// The service as which the host accepted an earlier copy of the packet; empty
// if the flow must be placed anew.
std::optional<service_id>
entry_relay::accepted_service(const segment& packet,
                              const hint& accepted) const {
    const route* flow_route = directory_.find_route(packet.flow.service);
    if (flow_route == nullptr || accepted.client_start != packet.sequence ||
        peers_.host_is_dead(accepted.owner))
        return std::nullopt;
    for (const weighted_service& it : flow_route->targets)
        if (make_service_tag(it.service) == accepted.service)
            return it.service;
    return std::nullopt;
}

// Returns false if no host is available for the flow.
bool entry_relay::place_flow(const flow_key& flow, opening& pending,
                             time_point now) {
    const auto chosen = next_host(flow, pending, now);
    if (!chosen)
        return false;
    pending.tried.push_back(chosen->machine);
    pending.due = now + options_.answer_timeout;
    peers_.on_placed(chosen->machine, now);
    report(
        {.name = "flow_placed",
         .reason = pending.tried.size() > 1 ? "another_host" : "least_load",
         .flow = flow,
         .machine = chosen->machine,
         .inputs = {
             {{"load_milli", static_cast<std::int64_t>(1000 * chosen->load)},
              {"load_age_ms", peers_.report_age_ms(chosen->machine, now)},
              {"completion_us", chosen->completion.count()},
              {"speed_milli", static_cast<std::int64_t>(1000 * chosen->speed)},
              {"attempt", static_cast<std::int64_t>(pending.tried.size())},
              version_input()}}});
    hooks_.forward(chosen->machine, make_placement_mark(pending.service),
                   pending.datagram);
    return true;
}

event_input entry_relay::version_input() const {
    return {"version", static_cast<std::int64_t>(directory_.version())};
}

std::optional<host_choice>
entry_relay::next_host(const flow_key& flow, opening& pending, time_point now) {
    const route* flow_route = directory_.find_route(flow.service);
    if (flow_route == nullptr)
        return std::nullopt;
    const auto service = choose_service(*flow_route, hash_of(flow));
    if (!service) {
        report({.severity = event::level::warning,
                .name = "refused",
                .reason = "route_without_service",
                .flow = flow,
                .inputs = {version_input()}});
        return std::nullopt;
    }
    auto best = best_host(flow, *service, pending.tried, now);
    service_id used = *service;
    for (const weighted_service& other : flow_route->targets) {
        if (other.service == *service || other.weight == 0)
            continue;
        const auto spill_choice =
            best_host(flow, other.service, pending.tried, now);
        if (!should_spill(best, spill_choice, options_.placement))
            continue;
        best = spill_choice;
        used = other.service;
        report({.name = "flow_spilled", .flow = flow});
    }
    if (!best && !pending.tried.empty()) {
        pending.tried.clear();
        best = best_host(flow, *service, pending.tried, now);
    }
    if (!best) {
        report({.severity = event::level::warning,
                .name = "refused",
                .reason = is_evacuated(*flow_route) ? "evacuated"
                                                    : "service_without_host",
                .flow = flow,
                .inputs = {version_input()}});
        return std::nullopt;
    }
    pending.service = used;
    return best;
}

std::optional<host_choice>
entry_relay::best_host(const flow_key& flow, service_id service,
                       std::span<const machine_address> tried,
                       time_point now) const {
    const auto hash = hash_of(flow);
    const auto hosts = ranked_hosts(peers_.candidates(directory_, service, now),
                                    hash, options_.placement);
    return choose_host(hosts, tried, hash, options_.placement);
}

void entry_relay::on_known_flow(const segment& packet, hint& known,
                                time_point now) {
    if (known.alternative != machine_address() && packet.ack) {
        // The client acknowledges the sequence number of the host that it
        // uses.
        if (packet.acknowledged - known.alternative_start <
            packet.acknowledged - known.host_start) {
            known.owner = known.alternative;
            known.service = known.alternative_service;

            known.host_start = known.alternative_start;
        }
        known.alternative = {};
    }
    const machine_address owner = known.owner;
    if (peers_.host_is_dead(owner) || !is_known_machine(owner)) {
        // The owner may be a host that accepted a copy of the opening packet
        // and that the client never confirmed. Another host has the flow then.
        hints_.erase(packet.flow);
        report({.severity = event::level::info,
                .name = "owner_ruled_out",
                .reason = is_known_machine(owner) ? "host_dead" : "host_gone",
                .flow = packet.flow,
                .machine = owner,
                .inputs = {
                    {{"report_age_ms", peers_.report_age_ms(owner, now)}}}});
        search_owner(packet, std::nullopt, now);
        return;
    }
    hooks_.forward(owner, {forwarding_mode::forward, known.service},
                   packet.datagram);
}

void entry_relay::search_owner(const segment& packet,
                               std::optional<machine_address> denied,
                               time_point now) {
    // A late reset needs no owner.
    if (packet.rst)
        return;
    const bool is_new = !search_.active(packet.flow);
    if (!search_.add(packet, denied, now))
        report(
            {.name = "dropped", .reason = "search_full", .flow = packet.flow});
    else if (is_new)
        report({.name = "owner_searched", .flow = packet.flow});
}

// Any host may own the flow, including draining and unregistered ones. Hosts of
// the services that the route names are searched first.
std::vector<owner_search::target>
entry_relay::search_targets(const flow_key& flow, time_point now) const {
    const route* flow_route = directory_.find_route(flow.service);
    if (flow_route == nullptr)
        return {};
    std::vector<service_tag> services;
    for (const weighted_service& it : flow_route->targets)
        services.push_back(make_service_tag(it.service));
    return peers_.possible_owners(services, hash_of(flow), now);
}

// Hosts that are no longer registered are listed in the hellos of other
// entries. An entry that has just started therefore waits for these hellos
// before it concludes that no host owns a flow.
bool entry_relay::has_heard_entries(time_point now) const {
    if (!directory_at_ || now - *directory_at_ < options_.min_startup_wait)
        return false;
    const duration waited = now - *directory_at_;
    if (entries_heard_at_ || waited >= options_.max_startup_wait)
        return true;
    const auto it = entries_.count_answers();
    return it.answered == it.known ||
           it.knowing_departed >= options_.established_answers ||
           (it.knowing_departed == 0 && it.answered >= options_.fresh_answers &&
            waited >= options_.fresh_fleet_wait);
}

// An outdated directory may lack a host that has just registered and already
// receives flows from another entry.
time_point entry_relay::hosts_complete_until(time_point now) const {
    return has_heard_entries(now) ? barrier_.covered_until()
                                  : time_point::min();
}

void entry_relay::reset_unowned_flow(const owner_search::conclusion& it) {
    hooks_.record_latency("owner_search", it.after);
    report({.severity = event::level::info,
            .name = "flow_reset",
            .reason = "no_host_has_it",
            .flow = it.flow,
            .inputs = conclusion_inputs(it)});
    hooks_.reset(it.flow, it.acknowledged);
}

std::array<event_input, max_event_inputs>
entry_relay::conclusion_inputs(const owner_search::conclusion& it) const {
    return {{{"denials", static_cast<std::int64_t>(it.denials)},
             {"after_ms", it.after / std::chrono::milliseconds(1)},
             as_of_input()}};
}

event_input entry_relay::as_of_input() const {
    return {"as_of", static_cast<std::int64_t>(directory_.as_of().number())};
}

std::optional<bool> entry_relay::is_near(machine_address machine) const {
    data_centre_id at = entries_.data_centre_of(machine);
    if (const auto* host = peers_.find(machine))
        at = host->data_centre;
    return at == data_centre_id() ? std::nullopt
                                  : std::optional(at == options_.data_centre);
}

bool entry_relay::is_known_machine(machine_address machine) const {
    return peers_.find(machine) != nullptr;
}

void entry_relay::report(event it) const {
    hooks_.report(it);
}

} // namespace arbutusport::relay
