// Benchmarks of the routing and flows layers: broken flows and load imbalance
// in virtual time.

#include "bench_routing_costs.hpp"

#include <arbutusport/base/hash.hpp>
#include <arbutusport/emulator/bench.hpp>
#include <arbutusport/emulator/flow_network.hpp>
#include <arbutusport/emulator/flow_world.hpp>
#include <arbutusport/routing/slot_table.hpp>

#include <algorithm>
#include <functional>
#include <vector>

namespace arbutusport::emulator {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t flow_total = 14'000;
constexpr std::size_t session_hosts = 7;
constexpr std::size_t document_hosts = 3;
constexpr std::size_t entry_count = 3;
// New flows per millisecond.
constexpr std::uint32_t flows_per_ms = 7;
// Every fourth flow belongs to the document service.
constexpr std::uint32_t document_share = 4;

using owner_function =
    std::function<process_id(const flow_key&, const records::service&)>;

process_id select_by_modulo(const flow_key& flow,
                            const records::service& service) {
    return service.hosts[hash_of(flow) % service.hosts.size()].id;
}

// The highest-ranked host of the slot among those that take new flows.
process_id select_by_rank(const flow_key& flow,
                          const records::service& service) {
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

// Counts the flows that would leave a live host if each entry selected the host
// with `owner` from its configuration alone.
std::uint64_t count_broken_flows(const owner_function& owner, flow_world before,
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

// An entry fails, a host drains and another one joins in one generation, which
// reaches each process within three seconds, with traffic on all flows.
void bench_combined_change(std::uint64_t seed, const figure_sink& sink) {
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
    for (int round = 0; round < 3; ++round)
        send_all(network, world, 0, flow_total);
    std::vector<std::uint64_t> answers_before;
    for (std::uint32_t i = 0; i < flow_total; ++i)
        answers_before.push_back(network.answers(flow_at(world, i)));
    send_all(network, world, 0, flow_total);
    const auto& seen = network.counts();
    std::uint64_t unanswered = 0;
    for (std::uint32_t i = 0; i < flow_total; ++i)
        unanswered +=
            network.answers(flow_at(world, i)) == answers_before[i] ? 1 : 0;

    // The configuration for entries that do not pass packets on: without the
    // drained host, with the new one.
    flow_world after = world;
    after.remove_host(drained);
    std::string notes =
        "flows=14000 entries=3 hosts=7+3 change=entry_killed,host_drained,"
        "host_added packets_after_change=" +
        std::to_string(seen.delivered - opened.delivered) +
        " unanswered_in_last_round=" + std::to_string(unanswered);
    for (const auto& [reason, n] : seen.drops)
        notes += " dropped_" + reason + "=" + std::to_string(n);
    const auto broken = static_cast<double>(seen.broken_flows);
    sink({"broken_flows", broken, "flows",
          static_cast<double>(
              count_broken_flows(select_by_modulo, before, after)),
          "modulo", seed, notes});
    sink(
        {"broken_flows", broken, "flows",
         static_cast<double>(count_broken_flows(select_by_rank, before, after)),
         "consistent_hashing", seed, notes});
    // The baselines always select a host of the service of the packet.
    sink({"misrouted_packets", static_cast<double>(seen.misrouted_packets),
          "packets", 0, "none", seed, notes});
    sink({"flow_open_messages",
          static_cast<double>(opened.ownership_messages) / flow_total,
          "messages", 0, "no_query", seed, "flows=14000 hosts=7+3"});
}

double max_over_mean(const std::map<process_id, std::size_t>& counts,
                     const records::service& service) {
    double sum = 0;
    double largest = 0;
    for (const auto& it : service.hosts) {
        const auto n = static_cast<double>(counts.at(it.id));
        sum += n;
        largest = std::max(largest, n);
    }
    return largest / (sum / static_cast<double>(service.hosts.size()));
}

double one_choice_imbalance(flow_world& world) {
    auto& service = world.service(session_service);
    std::map<process_id, std::size_t> counts;
    for (const auto& it : service.hosts)
        counts[it.id] = 0;
    for (std::uint32_t i = 0; i < flow_total; ++i)
        ++counts[select_by_modulo(flow_of(i, service), service)];
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
    // Wait until the slow start of the first hosts has ended.
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
    bench_combined_change(seed, sink);
    bench_balance(balance_case::equal, "equal", seed, sink);
    bench_balance(balance_case::cold, "one_cold", seed, sink);
    bench_balance(balance_case::slow, "one_slow", seed, sink);
    bench_routing_costs(seed, sink);
}

} // namespace arbutusport::emulator
