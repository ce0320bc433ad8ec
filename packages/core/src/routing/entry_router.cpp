// Forwards datagrams by hint or by slot. Answers from hosts create hints.

#include <arbutusport/base/lru_map.hpp>
#include <arbutusport/routing/entry_router.hpp>
#include <arbutusport/routing/slot_table.hpp>

#include <algorithm>
#include <array>
#include <mutex>
#include <unordered_map>
#include <utility>

namespace arbutusport::routing {

namespace {

constexpr std::size_t shard_count = 16;
// Bytes of the header with all candidates and of the tag. A longer datagram
// does not fit into the packet that carries it.
constexpr std::size_t packet_overhead = 62 + 4 * 14 + 8;
constexpr std::size_t max_client_datagram =
    wire::max_datagram - packet_overhead;

// A flow_key without padding, of 12 bytes instead of 16.
struct packed_key {
    std::uint32_t client;
    std::uint32_t service;
    std::uint16_t client_port;
    std::uint16_t service_port;

    friend bool operator==(const packed_key&, const packed_key&) = default;
};

packed_key pack(const flow_key& it) {
    return {it.client.address, it.service.address, it.client.port,
            it.service.port};
}

struct packed_key_hash {
    std::size_t operator()(const packed_key& it) const {
        return hash_of(
            {{it.client, it.client_port}, {it.service, it.service_port}});
    }
};

struct hint {
    // Index into routes::hosts.
    std::uint32_t host;
    // Time of the first packet since the last answer. Wraps after 49 days.
    std::uint32_t unanswered_since_ms;
    std::uint32_t unanswered;
};

static_assert(sizeof(std::pair<const packed_key, hint>) == 24);

using hint_map = lru_map<packed_key, hint, packed_key_hash>;

std::uint32_t to_ms(time_point it) {
    using std::chrono::milliseconds;
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<milliseconds>(it.time_since_epoch())
            .count());
}

struct routed_host {
    wire::candidate address;
    service_id service;

    friend bool operator==(const routed_host&, const routed_host&) = default;
};

// One service of a snapshot with its table.
struct service_route {
    const records::service* record;
    std::shared_ptr<const slot_table> table;
};

// Routing state derived from one snapshot. Immutable.
struct routes {
    explicit routes(records::snapshot_ptr it);

    records::snapshot_ptr snapshot;
    std::unordered_map<endpoint, service_route> by_address;
    // The hosts of all services, without those that are out.
    std::vector<routed_host> hosts;
    std::unordered_map<process_id, std::uint32_t> index_of;
};

routes::routes(records::snapshot_ptr it) : snapshot(std::move(it)) {
    for (const auto& service : snapshot->services) {
        by_address.try_emplace(
            service.address,
            service_route{&service, shared_slot_table(service)});
        for (const auto& host : service.hosts) {
            if (host.state == records::host_state::out)
                continue;
            index_of.try_emplace(host.id,
                                 static_cast<std::uint32_t>(hosts.size()));
            hosts.push_back({{host.id, host.packets}, service.id});
        }
    }
}

using routes_ptr = std::shared_ptr<const routes>;

struct shard {
    explicit shard(std::size_t limit) : hints(limit) {}

    mutable std::mutex mutex;
    // Hints index the hosts of this table. Null before the first snapshot.
    routes_ptr table;
    hint_map hints;
};

constexpr std::uint32_t no_index = 0xffffffff;

// Maps each host index of `from` to the index of the same host in `to`.
std::vector<std::uint32_t> map_indexes(const routes& from, const routes& to) {
    std::vector<std::uint32_t> out;
    for (const auto& host : from.hosts) {
        const auto it = to.index_of.find(host.address.id);
        const bool same =
            it != to.index_of.end() && to.hosts[it->second] == host;
        out.push_back(same ? it->second : no_index);
    }
    return out;
}

} // namespace

const char* to_string(drop_reason reason) {
    switch (reason) {
    case drop_reason::no_configuration:
        return "no_configuration";
    case drop_reason::unknown_service:
        return "unknown_service";
    case drop_reason::no_host:
        return "no_host";
    case drop_reason::oversized:
        return "oversized";
    case drop_reason::wrong_target:
        return "wrong_target";
    case drop_reason::unexpected_type:
        return "unexpected_type";
    }
    return "unknown";
}

class entry_router::impl {
public:
    explicit impl(entry_options options) : options_(std::move(options)) {
        for (auto& it : shards_)
            it = std::make_unique<shard>(
                std::max<std::size_t>(options_.max_hints / shard_count, 2));
    }

    void set_snapshot(records::snapshot_ptr snapshot);
    entry_action on_client(const flow_key& flow, byte_view datagram,
                           time_point now);
    entry_action on_host(wire::packet message);
    std::size_t hints() const;
    std::size_t hint_memory_bytes() const;

private:
    shard& shard_of(const flow_key& flow) {
        // Uses the high bits, since the maps and slot_of() use the low bits.
        return *shards_[hash_of(flow) >> 60];
    }

    bool is_down(process_id id) const {
        return options_.is_down && options_.is_down(id);
    }

    wire::candidate_list candidates(const service_route& route,
                                    const flow_key& flow) const;
    const routed_host* find_usable_hint(shard& part, const flow_key& flow,
                                        service_id service,
                                        time_point now) const;

    entry_options options_;
    // Serialises set_snapshot().
    std::mutex update_mutex_;
    std::array<std::unique_ptr<shard>, shard_count> shards_;
};

void entry_router::impl::set_snapshot(records::snapshot_ptr snapshot) {
    const std::lock_guard update(update_mutex_);
    const routes_ptr current = shards_.front()->table;
    if (!snapshot || (current && snapshot->gen <= current->snapshot->gen))
        return;
    const auto next = std::make_shared<const routes>(std::move(snapshot));
    std::vector<std::uint32_t> indexes;
    if (current)
        indexes = map_indexes(*current, *next);
    for (auto& it : shards_) {
        const std::lock_guard lock(it->mutex);
        it->table = next;
        it->hints.erase_if([&](auto& entry) {
            entry.second.host = indexes[entry.second.host];
            return entry.second.host == no_index;
        });
    }
}

wire::candidate_list
entry_router::impl::candidates(const service_route& route,
                               const flow_key& flow) const {
    wire::candidate_list all;
    wire::candidate_list live;
    for (const auto index : route.table->ranks(slot_of(flow))) {
        const auto& host = route.record->hosts[index];
        all.push_back({host.id, host.packets});
        if (!is_down(host.id))
            live.push_back(all.back());
    }
    // If all hosts seem down, the observation is probably wrong.
    return live.empty() ? all : live;
}

// The host of a usable hint, or null. Counts the packet as unanswered.
const routed_host* entry_router::impl::find_usable_hint(shard& part,
                                                        const flow_key& flow,
                                                        service_id service,
                                                        time_point now) const {
    const packed_key key = pack(flow);
    hint* found = part.hints.find(key);
    if (found == nullptr)
        return nullptr;
    const routed_host& host = part.table->hosts[found->host];
    const duration unanswered_for = std::chrono::milliseconds(
        std::uint32_t{to_ms(now) - found->unanswered_since_ms});
    const bool is_unanswered =
        found->unanswered >= options_.max_unanswered_packets &&
        unanswered_for >= options_.unanswered_timeout;
    if (is_unanswered || host.service != service || is_down(host.address.id)) {
        part.hints.erase(key);
        return nullptr;
    }
    if (found->unanswered++ == 0)
        found->unanswered_since_ms = to_ms(now);
    return &host;
}

entry_action entry_router::impl::on_client(const flow_key& flow,
                                           byte_view datagram, time_point now) {
    if (datagram.size() > max_client_datagram)
        return drop_packet{drop_reason::oversized};
    shard& part = shard_of(flow);
    send_packet out;
    {
        const std::lock_guard lock(part.mutex);
        if (!part.table)
            return drop_packet{drop_reason::no_configuration};
        const auto it = part.table->by_address.find(flow.service);
        if (it == part.table->by_address.end())
            return drop_packet{drop_reason::unknown_service};
        const service_route& route = it->second;
        out.message.candidates = candidates(route, flow);
        if (out.message.candidates.empty())
            return drop_packet{drop_reason::no_host};
        const routed_host* hinted =
            find_usable_hint(part, flow, route.record->id, now);
        const wire::candidate& to =
            hinted ? hinted->address : out.message.candidates.front();
        out.to = to.packets;
        out.message.target = to.id;
        out.message.gen = part.table->snapshot->gen;
        out.message.service = route.record->id;
    }
    out.message.type = wire::message_type::forward;
    out.message.sender = options_.self;
    out.message.flow = flow;
    out.message.reply_entry = options_.packets;
    out.message.body.assign(datagram.begin(), datagram.end());
    return out;
}

entry_action entry_router::impl::on_host(wire::packet message) {
    if (message.type != wire::message_type::answer)
        return drop_packet{drop_reason::unexpected_type};
    // The target is empty if the sender's configuration does not have this
    // entry, since then the sender knows only its address.
    if (message.target != options_.self && message.target != process_id())
        return drop_packet{drop_reason::wrong_target};
    shard& part = shard_of(message.flow);
    const std::lock_guard lock(part.mutex);
    if (!part.table)
        return drop_packet{drop_reason::no_configuration};
    const auto route = part.table->by_address.find(message.flow.service);
    if (route == part.table->by_address.end() ||
        route->second.record->id != message.service)
        return drop_packet{drop_reason::unknown_service};
    const auto index = part.table->index_of.find(message.sender);
    // A host that only a newer configuration has gets no hint yet.
    if (index != part.table->index_of.end() &&
        part.table->hosts[index->second].service == message.service)
        part.hints.put(pack(message.flow), {index->second, 0, 0});
    return send_to_client{message.flow, std::move(message.body)};
}

std::size_t entry_router::impl::hints() const {
    std::size_t total = 0;
    for (const auto& part : shards_) {
        const std::lock_guard lock(part->mutex);
        total += part->hints.size();
    }
    return total;
}

std::size_t entry_router::impl::hint_memory_bytes() const {
    std::size_t total = 0;
    for (const auto& part : shards_) {
        const std::lock_guard lock(part->mutex);
        total += part->hints.memory_bytes();
    }
    return total;
}

entry_router::entry_router(entry_options options)
    : impl_(std::make_unique<impl>(std::move(options))) {}

entry_router::~entry_router() = default;

void entry_router::set_snapshot(records::snapshot_ptr snapshot) {
    impl_->set_snapshot(std::move(snapshot));
}

entry_action entry_router::on_client(const flow_key& flow, byte_view datagram,
                                     time_point now) {
    return impl_->on_client(flow, datagram, now);
}

entry_action entry_router::on_host(wire::packet message, time_point) {
    return impl_->on_host(std::move(message));
}

std::size_t entry_router::hints() const {
    return impl_->hints();
}

std::size_t entry_router::hint_memory_bytes() const {
    return impl_->hint_memory_bytes();
}

} // namespace arbutusport::routing
