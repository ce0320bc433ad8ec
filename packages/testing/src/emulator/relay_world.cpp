// Processes, packets and clients of the simulated relay.

#include "relay_world_state.hpp"

#include <arbutusport/base/hash.hpp>

namespace arbutusport::emulator {

relay_world::relay_world(relay_world_options options)
    : options_(options), random_(options.seed * 2 + 1) {
    routing_.version = 1;
    routing_.routes.push_back({service_address, {{main_service, 1}}});
    if (options.warmup_rate > 0)
        routing_.warmup_limits.push_back(
            {main_service, options.warmup, options.warmup_rate});
    store_.put(routing_);
    for (std::size_t i = 0; i < options.hosts; ++i) {
        hosts_.push_back(std::make_unique<host_state>());
        hosts_[i]->address = {
            first_host_address + static_cast<std::uint32_t>(i), 8080};
        start_host_process(i);
        store_.put(record_of(i));
    }
    for (std::size_t i = 0; i < options.entries; ++i) {
        entries_.push_back(std::make_unique<entry_state>());
        entries_[i]->machine = machine_address(first_entry_address +
                                               static_cast<std::uint32_t>(i));
    }
    for (std::size_t i = 0; i < options.entries; ++i)
        start_entry(i);
    schedule(tick_interval, [this] { tick(); });
}

relay_world::~relay_world() = default;

void relay_world::schedule(duration delay, std::function<void()> action) {
    events_.emplace(std::pair(now_ + delay, next_event_++), std::move(action));
}

void relay_world::set_deviations(deviations choices) {
    deviations_ = std::move(choices);
    transfer_count_ = 0;
}

std::optional<duration> relay_world::next_transfer_delay() {
    random_ = hash_combine(random_, 0x9e37);
    const auto it = deviations_.find(transfer_count_++);
    if (it != deviations_.end())
        return it->second ? std::optional(options_.delay + *it->second)
                          : std::nullopt;
    const bool lost = static_cast<double>(random_ >> 11U) / 9007199254740992.0 <
                      options_.loss;
    return lost ? std::nullopt : std::optional(options_.delay);
}

void relay_world::run_until(duration until) {
    while (!events_.empty() && events_.begin()->first.first <= until) {
        auto node = events_.extract(events_.begin());
        now_ = node.key().first;
        node.mapped()();
    }
    now_ = until;
}

void relay_world::tick() {
    for (auto& it : entries_)
        if (it->process)
            it->process->on_tick(time());
    for (auto& it : hosts_) {
        if (!it->process)
            continue;
        it->process->on_tick(time());
        if (it->listening)
            it->process->on_host_accepted(time());
        else
            it->process->on_host_refused(time());
    }
    schedule(tick_interval, [this] { tick(); });
}

void relay_world::start_entry(std::size_t entry) {
    entry_state& it = *entries_[entry];
    const auto run = ++it.run;
    const auto self = it.machine;
    const auto alive = [this, entry, run] {
        return entries_[entry]->process && entries_[entry]->run == run;
    };
    relay::entry_relay_hooks hooks{
        .forward =
            [this, self](machine_address to, relay::routing_mark mark,
                         byte_view data) {
                entry_bytes_ += data.size();
                send_to_host(self, to, mark, data);
            },
        .reset = [this](const flow_key& flow,
                        std::uint32_t) { on_reset(flow, "entry"); },
        .send =
            [this, self](machine_address to, const relay::message& it) {
                entry_bytes_ += relay::encode(it).size();
                send_message(self, to, it);
            },
        .decode = [](byte_view data) { return std::optional(decode(data)); },
        .restart_reading =
            [this, entry, alive](const char*) {
                schedule(options_.delay, [this, entry, alive] {
                    if (alive())
                        deliver_listing(entry);
                });
            },
        .set_reading_enabled =
            [this, entry, alive](bool reads, relay::revision) {
                entries_[entry]->is_reader = reads;
                reader_changes_ += reads ? 1 : 0;
                if (reads)
                    schedule(4 * options_.delay, [this, entry, alive] {
                        if (alive())
                            deliver_listing(entry);
                    });
            },
        .read_store =
            [this, entry, alive](std::uint64_t id, relay::revision) {
                // A round trip on an open connection.
                schedule(2 * options_.delay + store_answer_time,
                         [this, entry, alive, id] {
                             if (alive())
                                 answer_read(entry, id);
                         });
            },
        .report = [this](const relay::event& it) { ++event_counts_[it.name]; }};
    relay::byte_budget_options directories =
        relay::directory_sender_options{}.budget;
    if (options_.link_bytes_per_second > 0)
        directories.bytes_per_second = options_.link_bytes_per_second / 4;
    it.is_reader = true;
    it.process = std::make_unique<relay::entry_relay>(
        relay::entry_relay_options{
            .run = incarnation(run),
            .self = self,
            .data_centre = data_centre_of(self),
            .seeds = {machine_address(first_entry_address)},
            .expects_evacuations = options_.expects_evacuations,
            .peers = {.limits_cold_hosts =
                          options_.warmup_bounds && !it.is_previous_build},
            .directories = directories,
            .search = {.budget = {.bytes_per_second =
                                      options_.search_bytes_per_second}}},
        hooks);
    schedule(4 * options_.delay, [this, entry, alive] {
        if (alive())
            deliver_listing(entry);
    });
}

void relay_world::set_entry_isolated(std::size_t entry, bool isolated) {
    entries_[entry]->isolated = isolated;
}

bool relay_world::is_isolated(machine_address machine) const {
    const std::size_t entry = machine.value() - first_entry_address;
    return entry < entries_.size() && entries_[entry]->isolated;
}

void relay_world::kill_entry(std::size_t entry) {
    entries_[entry]->process.reset();
}

void relay_world::start_host_process(std::size_t host) {
    host_state& it = *hosts_[host];
    const auto self = machine_address(it.address.address);
    relay::host_relay_hooks hooks{
        .deliver =
            [this, host](machine_address via, byte_view data) {
                const bytes packet(data.begin(), data.end());
                schedule({}, [this, host, via, packet] {
                    deliver_to_host(host, via, packet);
                });
            },
        .to_client =
            [this](const flow_key& flow, byte_view data) {
                const bytes packet(data.begin(), data.end());
                if (const auto delay = next_transfer_delay())
                    schedule(*delay, [this, flow, packet] {
                        deliver_to_client(flow, packet);
                    });
            },
        .reset = [this](const flow_key& flow,
                        std::uint32_t) { on_reset(flow, "host process"); },
        .send =
            [this, self](machine_address to, const relay::message& one) {
                send_message(self, to, one);
            },
        .report = [](const relay::event&) {}};
    it.process = std::make_unique<relay::host_relay>(
        relay::host_relay_options{
            .run = incarnation(++it.process_run),
            .service = it.service,
            .started = wall_clock(now_),
            .opening = {.returns_draining = options_.returns_draining,
                        .warmup = options_.warmup_bounds}},
        hooks, time());
}

void relay_world::begin_stop_of_host_process(std::size_t host) {
    hosts_[host]->process->begin_stop(time());
}

void relay_world::kill_host_process(std::size_t host) {
    hosts_[host]->process.reset();
}

void relay_world::send_to_host(machine_address from, machine_address to,
                               relay::routing_mark mark, byte_view data) {
    const std::size_t host = to.value() - first_host_address;
    if (host < hosts_.size() && decode(data).is_opening())
        ++hosts_[host]->openings_sent;
    const auto delay = next_transfer_delay();
    if (!delay || is_isolated(from) || host >= hosts_.size())
        return;
    const bytes packet(data.begin(), data.end());
    schedule(*delay, [this, host, from, mark, packet] {
        if (!hosts_[host]->process)
            return;
        relay::segment it = decode(packet);
        it.mark = mark;
        hosts_[host]->process->on_entry(from, it, time());
    });
}

relay::data_centre_id
relay_world::data_centre_of(machine_address machine) const {
    const auto first = machine.value() >= first_host_address
                           ? first_host_address
                           : first_entry_address;
    return data_centre((machine.value() - first) % options_.data_centres);
}

void relay_world::count_message(machine_address from, machine_address to,
                                const relay::message& message) {
    const auto size = relay::encode(message).size() + datagram_overhead;
    path_counts& counts = sent_messages_[relay::type_name(message)];
    message_count& path = data_centre_of(from) == data_centre_of(to)
                              ? counts.within_data_centre
                              : counts.between_data_centres;
    const auto add = [&](message_count& it) {
        ++it.messages;
        it.bytes += size;
    };
    add(path);
    for (const machine_address it : {from, to})
        if (it.value() - first_entry_address < entries_.size())
            add(entries_[it.value() - first_entry_address]->traffic);
}

std::optional<duration> relay_world::link_delay(machine_address from,
                                                std::size_t byte_count) {
    const std::size_t sender = from.value() - first_entry_address;
    if (options_.link_bytes_per_second == 0 || sender >= entries_.size())
        return duration{};
    const auto time_of = [&](std::size_t n) {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(static_cast<double>(n) /
                                          options_.link_bytes_per_second));
    };
    duration& free_at = entries_[sender]->link_free_at;
    free_at = std::max(free_at, now_);
    if (free_at - now_ > time_of(options_.link_queue_bytes))
        return std::nullopt;
    free_at += time_of(byte_count);
    return free_at - now_;
}

void relay_world::send_message(machine_address from, machine_address to,
                               const relay::message& message) {
    if ((concerns_limits(message) || concerns_positions(message)) &&
        (is_previous_build(from) || is_previous_build(to)))
        return;
    const std::size_t sender = from.value() - first_entry_address;
    if (sender < entries_.size() && entries_[sender]->disregards_eras &&
        std::holds_alternative<relay::operator_intent>(message))
        return;
    count_message(from, to, message);
    const auto delay = next_transfer_delay();
    const auto waits =
        link_delay(from, relay::encode(message).size() + datagram_overhead);
    if (!delay || !waits || is_isolated(from) || is_isolated(to) ||
        dropped_types_.contains(relay::type_name(message)) ||
        !understands(to, message))
        return;
    schedule(*delay + *waits, [this, from, to, message] {
        if (to.value() >= first_host_address) {
            const std::size_t host = to.value() - first_host_address;
            if (host < hosts_.size() && hosts_[host]->process)
                hosts_[host]->process->on_message(from, message, time());
            return;
        }
        const std::size_t entry = to.value() - first_entry_address;
        if (entry < entries_.size() && entries_[entry]->process) {
            entries_[entry]->process->on_message(from, message, time());
            entries_[entry]->process->flush(time());
        }
    });
}

void relay_world::deliver_to_host(std::size_t host, machine_address via,
                                  const bytes& packet) {
    host_state& it = *hosts_[host];
    if (!it.running || it.silent)
        return;
    packet_fields fields = unpack(packet);
    const auto known = it.flows.find(fields.flow);
    if (fields.syn) {
        if (it.service != main_service)
            violations_.push_back("opened at another service: " +
                                  to_string(fields.flow));
        const bool is_new = known == it.flows.end();
        if (is_new) {
            ++it.placed;
            it.opened_at.push_back(now_);
        }
        const auto start =
            is_new ? static_cast<std::uint32_t>(hash_combine(
                         hash_of(fields.flow), host * 1000 + it.boot))
                   : known->second;
        it.flows[fields.flow] = start;
        send_answer(host, {.flow = fields.flow,
                           .sequence = start,
                           .acknowledged = fields.sequence + 1,
                           .syn = true,
                           .ack = true});
        return;
    }
    if (known == it.flows.end() ||
        fields.acknowledged - known->second > (1U << 24U)) {
        fields.returned = true;
        bytes back = pack(fields);
        schedule({}, [this, host, via, back] {
            if (!hosts_[host]->process)
                return;
            relay::segment returned = decode(back);
            returned.forwarding_entry = via.value();
            hosts_[host]->process->on_host(returned, time());
        });
        return;
    }
    if (fields.payload > 0)
        send_answer(host, {.flow = fields.flow,
                           .sequence = fields.acknowledged,
                           .acknowledged = fields.sequence + fields.payload,
                           .payload = fields.payload,
                           .ack = true});
}

void relay_world::send_answer(std::size_t host, const packet_fields& fields) {
    // A host needs 5 ms for a request and no time for the handshake.
    const duration work = fields.syn ? duration{} : milliseconds(5);
    const auto boot = hosts_[host]->boot;
    schedule(work, [this, host, boot, packet = pack(fields)] {
        host_state& it = *hosts_[host];
        if (it.process && it.boot == boot)
            it.process->on_host(decode(packet), time());
    });
}

void relay_world::deliver_to_client(const flow_key& flow, const bytes& packet) {
    const auto fields = unpack(packet);
    flow_state& it = flows_[index_of(flow)];
    if (it.reset)
        return;
    if (fields.syn) {
        if (it.open)
            return;
        it.open = true;
        it.host_initial_sequence = fields.sequence;
        send_packet(it, it.entry,
                    {.flow = flow,
                     .sequence = it.client_initial_sequence + 1,
                     .acknowledged = it.host_initial_sequence + 1,
                     .ack = true});
        return;
    }
    if (fields.sequence - it.host_initial_sequence < (1U << 24U))
        it.answers = std::max(it.answers, it.requests);
}

void relay_world::on_reset(const flow_key& flow, const std::string& sender) {
    ++resets_;
    flow_state& it = flows_[index_of(flow)];
    it.reset = true;
    const auto at_host = owning_host(index_of(flow));
    if (it.open && at_host < hosts_.size())
        violations_.push_back("flow " + to_string(flow) + " of live host " +
                              std::to_string(at_host) + " reset by " + sender +
                              " at " + std::to_string(now_.count() / 1000) +
                              " ms");
}

std::size_t relay_world::open_flow(std::size_t entry,
                                   std::uint16_t service_port) {
    const std::size_t n = flows_.size();
    flow_state it;
    it.key = {{first_client_address + static_cast<std::uint32_t>(n / 1000),
               static_cast<std::uint16_t>(1024 + n % 1000)},
              {service_address.address, service_port}};
    it.client_initial_sequence = static_cast<std::uint32_t>(hash_of(it.key));
    it.entry = entry;
    flows_.push_back(it);
    send_openings(n, entry);
    return n;
}

void relay_world::reuse_port(std::size_t flow, std::size_t entry) {
    flow_state& it = flows_[flow];
    it = {.key = it.key,
          .client_initial_sequence = static_cast<std::uint32_t>(
              hash_combine(it.client_initial_sequence, 1)),
          .entry = entry};
    send_openings(flow, entry);
}

// Retransmits the SYN after 200 ms and 600 ms unless the flow was opened or
// reset.
void relay_world::send_openings(std::size_t n, std::size_t entry) {
    std::uint32_t copy = 0;
    for (const duration delay :
         {duration{}, duration(milliseconds(200)), duration(milliseconds(600))})
        schedule(delay, [this, n, entry, copy = copy++] {
            const flow_state& one = flows_[n];
            if (!one.open && !one.reset)
                send_packet(one, entry,
                            {.flow = one.key,
                             .sequence = one.client_initial_sequence,
                             .acknowledged = copy,
                             .syn = true});
        });
}

void relay_world::send_request(std::size_t flow, std::size_t entry) {
    const auto request = ++flows_[flow].requests;
    retransmit(flow, entry, request, first_retransmission);
}

void relay_world::acknowledge(std::size_t flow, std::size_t entry) {
    const flow_state& it = flows_[flow];
    send_packet(it, entry,
                {.flow = it.key,
                 .sequence = it.client_initial_sequence + 1,
                 .acknowledged = it.host_initial_sequence + 1,
                 .ack = true});
}

void relay_world::retransmit(std::size_t flow, std::size_t entry,
                             std::uint64_t request, duration interval) {
    const flow_state& it = flows_[flow];
    if (it.reset || !it.open || it.answers >= request ||
        it.requests != request || interval > 2 * last_retransmission)
        return;
    send_packet(it, entry,
                {.flow = it.key,
                 .sequence = it.client_initial_sequence + 1,
                 .acknowledged = it.host_initial_sequence + 1,
                 .payload = request_bytes,
                 .ack = true});
    schedule(interval, [this, flow, entry, request, interval] {
        retransmit(flow, entry, request, 2 * interval);
    });
}

void relay_world::send_packet(const flow_state&, std::size_t entry,
                              const packet_fields& fields) {
    const auto delay = next_transfer_delay();
    if (!delay)
        return;
    schedule(*delay, [this, entry, packet = pack(fields)] {
        if (!entries_[entry]->process)
            return;
        entries_[entry]->process->on_client(decode(packet), time());
        entries_[entry]->process->flush(time());
    });
}

std::size_t relay_world::index_of(const flow_key& flow) const {
    return (flow.client.address - first_client_address) * 1000 +
           (flow.client.port - 1024U);
}

} // namespace arbutusport::emulator
