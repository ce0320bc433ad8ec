// Figures of the routing and flows layers: broken flows and imbalance in
// virtual time.

#include "bench_routing_costs.hpp"

#include <arbutusport/base/hash.hpp>
#include <arbutusport/emulator/bench.hpp>
#include <arbutusport/emulator/flow_network.hpp>
#include <arbutusport/emulator/flow_world.hpp>
#include <arbutusport/routing/slot_table.hpp>

#include <algorithm>
#include <functional>

namespace arbutusport::emulator {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t flow_total = 14'000;
constexpr std::size_t session_hosts = 7;
constexpr std::size_t document_hosts = 3;
constexpr std::size_t entry_count = 3;
// New flows that start in each millisecond.
constexpr std::uint32_t flows_per_ms = 7;
// Every fourth flow is to the document service.
constexpr std::uint32_t document_share = 4;

using owner_function =
    std::function<process_id(const flow_key&, const records::service&)>;

process_id by_modulo(const flow_key& flow, const records::service& service) {
    return service.hosts[hash_of(flow) % service.hosts.size()].id;
}

// The first rank among the hosts that take new flows.
process_id by_rank(const flow_key& flow, const records::service& service) {
    process_id best;
    double best_score = -1;
    const slot_index slot = routing::slot_of(flow);
    for (const auto& it : service.hosts) {
        const double score = routing::score(slot, it.id, it.weight);
        if (score > best_score) {
            best = it.id;
            best_score = score;
        }
    }
    return best;
}

const records::service& service_of(flow_world& world, std::uint32_t number) {
    return world.service(number % document_share == 0 ? document_service
                                                      : session_service);
}

flow_key flow_at(flow_world& world, std::uint32_t number) {
    return flow_of(number, service_of(world, number));
}

// Flows whose host changes although it is alive, when each packet goes to
// the host that a function of the entry's configuration names.
std::uint64_t broken_by(const owner_function& owner, flow_world before,
                        flow_world after) {
    std::uint64_t n = 0;
    for (std::uint32_t i = 0; i < flow_total; ++i) {
        const flow_key flow = flow_at(before, i);
        n += owner(flow, service_of(before, i)) !=
                     owner(flow, service_of(after, i))
                 ? 1
                 : 0;
    }
    return n;
}

void add_processes(flow_network& network, const flow_world& world) {
    for (const auto& service : world.draft().services)
        for (const auto& host : service.hosts)
            network.add_host(host, service.id);
    for (const auto& entry : world.draft().entries)
        network.add_entry(entry);
}

void send_all(flow_network& network, flow_world& world, std::uint32_t from,
              std::uint32_t to) {
    for (std::uint32_t i = from; i < to; ++i) {
        network.send(flow_at(world, i), service_of(world, i).id);
        if (i % flows_per_ms == 0)
            network.run_for(milliseconds(1));
    }
    network.run_for(seconds(1));
}

// An entry dies, a host drains and another joins in one generation that
// reaches each process within three seconds, under traffic on every flow.
void bench_joint_change(std::uint64_t seed, const figure_sink& sink) {
    flow_world world(session_hosts, document_hosts, entry_count);
    flow_network network({.seed = seed});
    add_processes(network, world);
    network.publish(world.next(), duration(0));
    network.run_for(seconds(1));
    send_all(network, world, 0, flow_total);
    const auto opened = network.counts();

    const flow_world before = world;
    network.kill(world.draft().entries.front().id);
    const auto drained = world.service(session_service).hosts.front().id;
    world.find_host(drained)->state = records::host_state::draining;
    const auto added = world.add_host(session_service);
    network.add_host(added, service_id_of(session_service));
    network.publish(world.next(), seconds(3));
    for (int round = 0; round < 4; ++round)
        send_all(network, world, 0, flow_total);
    const auto& seen = network.counts();

    // What entries without passing on would do: the drained host is left
    // out and the new one is in.
    flow_world after = world;
    after.remove_host(drained);
    const std::string notes =
        "flows=14000 entries=3 hosts=7+3 change=entry_killed,host_drained,"
        "host_added packets_after_change=" +
        std::to_string(seen.delivered - opened.delivered);
    const auto broken = static_cast<double>(seen.broken_flows);
    sink({"broken_flows", broken, "flows",
          static_cast<double>(broken_by(by_modulo, before, after)), "modulo",
          seed, notes});
    sink({"broken_flows", broken, "flows",
          static_cast<double>(broken_by(by_rank, before, after)),
          "consistent_hashing", seed, notes});
    // The baselines name a host of the packet's own service by construction.
    sink({"misrouted_packets", static_cast<double>(seen.misrouted_packets),
          "packets", 0, "none", seed, notes});
    sink({"flow_open_messages",
          static_cast<double>(opened.ownership_messages) / flow_total,
          "messages", 0, "no_query", seed, "flows=14000 hosts=7+3"});
}

double max_over_mean(const std::map<process_id, std::size_t>& counts,
                     const records::service& service) {
    double sum = 0;
    double most = 0;
    for (const auto& it : service.hosts) {
        const auto n = static_cast<double>(counts.at(it.id));
        sum += n;
        most = std::max(most, n);
    }
    return most / (sum / static_cast<double>(service.hosts.size()));
}

double one_choice_imbalance(flow_world& world) {
    auto& service = world.service(session_service);
    std::map<process_id, std::size_t> counts;
    for (const auto& it : service.hosts)
        counts[it.id] = 0;
    for (std::uint32_t i = 0; i < flow_total; ++i)
        ++counts[by_modulo(flow_of(i, service), service)];
    return max_over_mean(counts, service);
}

enum class balance_case : std::uint8_t { equal, cold, slow };

void bench_balance(balance_case kind, const char* name, std::uint64_t seed,
                   const figure_sink& sink) {
    flow_world world(session_hosts, 1, entry_count);
    auto& service = world.service(session_service);
    const records::host last = service.hosts.back();
    flow_network network({.seed = seed});
    for (const auto& entry : world.draft().entries)
        network.add_entry(entry);
    for (const auto& host : service.hosts)
        if (kind != balance_case::cold || host.id != last.id)
            network.add_host(host, service.id);
    network.publish(world.next(), duration(0));
    // Past the slow start of the first hosts.
    network.run_for(seconds(31));
    if (kind == balance_case::cold) {
        network.add_host(last, service.id);
        network.publish(world.next(), duration(0));
        network.run_for(seconds(1));
    }
    for (std::uint32_t i = 0; i < flow_total; ++i) {
        if (kind == balance_case::slow)
            network.set_accepting(last.id,
                                  i < flow_total / 4 || i >= flow_total / 2);
        network.send(flow_of(i, service), service.id);
        if (i % flows_per_ms == 0)
            network.run_for(milliseconds(kind == balance_case::equal ? 1 : 20));
    }
    network.run_for(seconds(1));
    sink({"imbalance_max_over_mean",
          max_over_mean(network.flow_counts(), service), "ratio",
          one_choice_imbalance(world), "one_choice", seed,
          std::string("flows=14000 hosts=7 case=") + name});
}

} // namespace

void bench_routing(std::uint64_t seed, const figure_sink& sink) {
    bench_joint_change(seed, sink);
    bench_balance(balance_case::equal, "equal", seed, sink);
    bench_balance(balance_case::cold, "one_cold", seed, sink);
    bench_balance(balance_case::slow, "one_slow", seed, sink);
    bench_routing_costs(seed, sink);
}

} // namespace arbutusport::emulator
