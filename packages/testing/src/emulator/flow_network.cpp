// Event loop, links and clients of the simulated flow network.

#include <arbutusport/base/hash.hpp>
#include <arbutusport/emulator/flow_network.hpp>

#include <algorithm>

namespace arbutusport::emulator {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds(10);
constexpr duration max_copy_delay = std::chrono::seconds(2);

template <class... Cases>
struct overloaded : Cases... {
    using Cases::operator()...;
};

template <class... Cases>
overloaded(Cases...) -> overloaded<Cases...>;

} // namespace

struct flow_network::process {
    process_id id;
    // Distinguishes a process from an earlier one with the same id.
    std::uint64_t incarnation_number = 0;
    endpoint packets;
    service_id service;
    // Exactly one of the two is set.
    std::unique_ptr<routing::entry_router> entry;
    std::unique_ptr<flows::flow_owner> host;
    time_point paused_until;
};

flow_network::flow_network(const network_options& options)
    : options_(options), random_(options_.seed) {}

flow_network::~flow_network() = default;

void flow_network::add_entry(const records::entry& it) {
    auto added = std::make_unique<process>();
    added->id = it.id;
    added->incarnation_number = next_event_number_;
    added->packets = it.packets;
    added->entry = std::make_unique<routing::entry_router>(
        routing::entry_options{.self = it.id,
                               .packets = it.packets,
                               .is_down = [this, id = it.id](process_id peer) {
                                   return is_down(id, peer);
                               }});
    process_at_address_[it.packets] = it.id;
    death_times_.erase(it.id);
    live_entries_.push_back(it.id);
    processes_[it.id] = std::move(added);
}

void flow_network::add_host(const records::host& it, service_id service) {
    auto added = std::make_unique<process>();
    added->id = it.id;
    added->incarnation_number = next_event_number_;
    added->packets = it.packets;
    added->service = service;
    added->host = std::make_unique<flows::flow_owner>(flows::flow_options{
        .self = it.id,
        .service = service,
        .max_redirects = options_.max_redirects,
        .is_down = [this,
                    id = it.id](process_id peer) { return is_down(id, peer); },
        .is_entry_down =
            [this](const endpoint& entry) {
                return !process_at_address_.contains(entry);
            },
        .seed = options_.seed,
        .checks = options_.checks});
    process_at_address_[it.packets] = it.id;
    death_times_.erase(it.id);
    schedule_tick(it.id, added->incarnation_number);
    processes_[it.id] = std::move(added);
}

void flow_network::kill(process_id id) {
    const auto it = processes_.find(id);
    if (it == processes_.end())
        return;
    if (process_at_address_[it->second->packets] == id)
        process_at_address_.erase(it->second->packets);
    std::erase(live_entries_, id);
    death_times_[id] = now_;
    processes_.erase(it);
}

void flow_network::pause(process_id id, time_point until) {
    if (const auto it = processes_.find(id); it != processes_.end())
        it->second->paused_until = until;
}

void flow_network::set_accepting(process_id id, bool accepting) {
    processes_.at(id)->host->set_accepting(accepting);
}

void flow_network::publish(const records::snapshot_ptr& snapshot,
                           duration max_delay) {
    std::vector<process_id> all;
    for (const auto& [id, it] : processes_)
        all.push_back(id);
    std::ranges::sort(all);
    for (const auto id : all)
        schedule_at(now_ + draw(duration(0), max_delay), [this, id, snapshot] {
            const auto it = processes_.find(id);
            if (it == processes_.end())
                return;
            if (it->second->entry)
                it->second->entry->set_snapshot(snapshot);
            else
                perform_host_actions(
                    id, it->second->host->set_snapshot(snapshot, now_));
        });
}

void flow_network::send(const flow_key& flow, service_id service) {
    clients_.try_emplace(flow).first->second.service = service;
    if (live_entries_.empty())
        return;
    const auto id = live_entries_[random_() % live_entries_.size()];
    schedule_at(
        now_ + draw(options_.min_delay, options_.max_delay), [this, id, flow] {
            const auto it = processes_.find(id);
            const std::uint8_t datagram[] = {1};
            if (it != processes_.end() && now_ >= it->second->paused_until)
                perform_entry_action(
                    it->second->entry->on_client(flow, datagram, now_));
        });
}

void flow_network::run_for(duration time) {
    const time_point end = now_ + time;
    while (!events_.empty() && events_.top().at <= end) {
        const event it = events_.top();
        events_.pop();
        now_ = it.at;
        it.run();
    }
    now_ = end;
}

std::vector<process_id> flow_network::owners(const flow_key& flow) const {
    std::vector<process_id> out;
    for (const auto& [id, it] : processes_)
        if (it->host && it->host->owns(flow))
            out.push_back(id);
    return out;
}

std::map<process_id, std::size_t> flow_network::flow_counts() const {
    std::map<process_id, std::size_t> out;
    for (const auto& [id, it] : processes_)
        if (it->host)
            out[id] = it->host->flow_count();
    return out;
}

std::uint64_t flow_network::answers(const flow_key& flow) const {
    const auto it = clients_.find(flow);
    return it == clients_.end() ? 0 : it->second.answers;
}

void flow_network::schedule_at(time_point time, std::function<void()> run) {
    events_.push({time, next_event_number_++, std::move(run)});
}

void flow_network::schedule_tick(process_id id,
                                 std::uint64_t incarnation_number) {
    schedule_at(now_ + tick_interval, [this, id, incarnation_number] {
        const auto it = processes_.find(id);
        if (it == processes_.end() ||
            it->second->incarnation_number != incarnation_number)
            return;
        if (now_ >= it->second->paused_until)
            perform_host_actions(id, it->second->host->on_tick(now_));
        schedule_tick(id, incarnation_number);
    });
}

void flow_network::transmit(const endpoint& to, const wire::packet& message) {
    using enum wire::message_type;
    if (message.type == query || message.type == query_reply ||
        message.type == place)
        ++counts_.ownership_messages;
    if (!is_lost(message))
        schedule_at(now_ + draw(options_.min_delay, options_.max_delay),
                    [this, to, message] { receive(to, message); });
    if (draw() < options_.duplicates)
        schedule_at(now_ + draw(options_.min_delay, max_copy_delay),
                    [this, to, message] { receive(to, message); });
}

void flow_network::receive(const endpoint& to, const wire::packet& message) {
    const auto address = process_at_address_.find(to);
    if (address == process_at_address_.end())
        return;
    process& it = *processes_.at(address->second);
    if (now_ < it.paused_until)
        return schedule_at(it.paused_until,
                           [this, to, message] { receive(to, message); });
    if (it.entry)
        perform_entry_action(it.entry->on_host(message, now_));
    else
        perform_host_actions(it.id, it.host->on_packet(message, now_));
}

void flow_network::perform_host_actions(process_id host,
                                        const flows::flow_actions& actions) {
    for (const auto& action : actions)
        std::visit(
            overloaded{
                [&](const flows::send_packet& it) {
                    transmit(it.to, it.message);
                },
                [&](const flows::deliver& it) { on_delivered(host, it); },
                [&](const flows::drop_packet& it) {
                    ++counts_.drops[to_string(it.reason)];
                },
            },
            action);
}

void flow_network::on_delivered(process_id host, const flows::deliver& it) {
    ++counts_.delivered;
    client& from = clients_.at(it.flow);
    process& at_host = *processes_.at(host);
    if (at_host.service != from.service)
        ++counts_.misrouted_packets;
    if (from.owner != process_id() && from.owner != host &&
        is_alive(from.owner))
        ++counts_.broken_flows;
    from.owner = host;
    perform_host_actions(
        host, at_host.host->answer(it.flow, it.datagram, false, now_));
}

void flow_network::perform_entry_action(const routing::entry_action& action) {
    std::visit(overloaded{
                   [&](const routing::send_packet& it) {
                       transmit(it.to, it.message);
                   },
                   [&](const routing::send_to_client& it) {
                       ++counts_.answered;
                       ++clients_[it.flow].answers;
                   },
                   [&](const routing::drop_packet& it) {
                       ++counts_.drops[to_string(it.reason)];
                   },
               },
               action);
}

// Enforces `loss_spacing`: losing every retry of an ownership query would be
// equivalent to a network partition.
bool flow_network::is_lost(const wire::packet& message) {
    if (draw() >= options_.loss)
        return false;
    if (options_.loss_spacing == duration(0))
        return true;
    const std::uint64_t pair = message.sender.value() ^ message.target.value();
    auto& last = last_losses_[{message.flow, pair}];
    if (last != time_point() && now_ - last < options_.loss_spacing)
        return false;
    last = now_;
    return true;
}

bool flow_network::is_down(process_id observer, process_id id) const {
    const auto it = death_times_.find(id);
    if (it == death_times_.end())
        return false;
    const auto spread = static_cast<std::uint64_t>(
        (options_.max_detection_delay - options_.min_detection_delay).count() +
        1);
    const auto hash = hash_combine(observer.value(), id.value());
    const duration delay =
        options_.min_detection_delay + duration(hash % spread);
    return now_ >= it->second + delay;
}

duration flow_network::draw(duration low, duration high) {
    return duration(std::uniform_int_distribution<duration::rep>(
        low.count(), high.count())(random_));
}

} // namespace arbutusport::emulator
