// Benchmarks of the routing decision, memory per flow and the packet codec.

#include "bench_routing_costs.hpp"

#include <arbutusport/emulator/flow_world.hpp>
#include <arbutusport/flows/flow_owner.hpp>
#include <arbutusport/routing/entry_router.hpp>

#include <array>
#include <chrono>
#include <map>

namespace arbutusport::emulator {

namespace {

constexpr std::size_t datagram_bytes = 200;
constexpr std::uint32_t codec_rounds = 200'000;
constexpr std::uint32_t min_packets = 200'000;

double elapsed_ns(std::chrono::steady_clock::time_point since) {
    return std::chrono::duration<double, std::nano>(
               std::chrono::steady_clock::now() - since)
        .count();
}

wire::packet answer_to(const flow_key& flow, const records::service& service,
                       const records::host& host, process_id entry) {
    wire::packet it;
    it.type = wire::message_type::answer;
    it.service = service.id;
    it.sender = host.id;
    it.target = entry;
    it.flow = flow;
    return it;
}

void bench_entry(std::uint32_t flows, std::uint64_t seed,
                 const figure_sink& sink) {
    flow_world world(7, 3, 1);
    const auto& service = world.service(session_service);
    const auto& entry = world.draft().entries.front();
    routing::entry_router router({.self = entry.id, .packets = entry.packets});
    router.set_snapshot(world.next());
    const time_point now(std::chrono::seconds(1));
    for (std::uint32_t i = 0; i < flows; ++i)
        router.on_host(answer_to(flow_of(i, service), service,
                                 service.hosts[i % 7], entry.id),
                       now);
    const bytes datagram(datagram_bytes, 1);
    const auto rounds = std::max(flows, min_packets);
    const auto start = std::chrono::steady_clock::now();
    for (std::uint32_t i = 0; i < rounds; ++i)
        router.on_client(flow_of(i % flows, service), datagram, now);
    const double ns = elapsed_ns(start) / rounds;
    const std::string notes = "role=entry flows=" + std::to_string(flows) +
                              " hints=" + std::to_string(router.hints()) +
                              " datagram=200";
    sink({"decide_ns", ns, "ns", 0, "none", seed, notes});
    sink({"bytes_per_flow",
          static_cast<double>(router.hint_memory_bytes()) /
              static_cast<double>(router.hints()),
          "bytes", 0, "none", seed, notes});
}

wire::packet forward_of(const flow_key& flow, const records::snapshot& snapshot,
                        const records::service& service) {
    wire::packet it;
    it.type = wire::message_type::forward;
    it.gen = snapshot.gen;
    it.service = service.id;
    it.target = service.hosts.front().id;
    it.flow = flow;
    it.body.assign(datagram_bytes, 1);
    return it;
}

void bench_host(std::uint32_t flows, std::uint64_t seed,
                const figure_sink& sink) {
    flow_world world(1, 0, 1);
    const auto& service = world.service(session_service);
    const auto snapshot = world.next();
    flows::flow_owner owner(
        {.self = service.hosts.front().id, .service = service.id});
    const time_point now(std::chrono::seconds(1));
    owner.set_snapshot(snapshot, now);
    for (std::uint32_t i = 0; i < flows; ++i)
        owner.on_packet(forward_of(flow_of(i, service), *snapshot, service),
                        now);
    const auto start = std::chrono::steady_clock::now();
    for (std::uint32_t i = 0; i < min_packets; ++i)
        owner.on_packet(
            forward_of(flow_of(i % flows, service), *snapshot, service), now);
    const double ns = elapsed_ns(start) / min_packets;
    const auto owned = static_cast<double>(owner.flow_count());
    const std::string notes =
        "role=host flows=" + std::to_string(owner.flow_count()) +
        " datagram=200 packet_construction=included";
    sink({"decide_ns", ns, "ns", 0, "none", seed, notes});
    sink({"bytes_per_flow", static_cast<double>(owner.memory_bytes()) / owned,
          "bytes", 0, "none", seed, notes});
}

void bench_codec(std::uint64_t seed, const figure_sink& sink) {
    flow_world world(7, 3, 1);
    const auto& service = world.service(session_service);
    wire::packet it = forward_of(flow_of(1, service), world.draft(), service);
    for (std::size_t i = 0; i < wire::max_candidates; ++i)
        it.candidates.push_back(
            {service.hosts[i].id, service.hosts[i].packets});
    wire::keyring keys;
    keys.add(key_id(1), {1, 2, 3}, true);
    bytes buf;
    auto start = std::chrono::steady_clock::now();
    for (std::uint32_t i = 0; i < codec_rounds; ++i) {
        buf.clear();
        wire::encode_packet(it, keys, buf);
    }
    const std::string notes =
        "body=200 candidates=4 packet=" + std::to_string(buf.size());
    sink({"packet_codec_ns", elapsed_ns(start) / codec_rounds, "ns", 0, "none",
          seed, "step=encode " + notes});
    std::size_t accepted = 0;
    start = std::chrono::steady_clock::now();
    for (std::uint32_t i = 0; i < codec_rounds; ++i)
        accepted += wire::decode_packet(buf, keys).has_value() ? 1 : 0;
    const double ns = elapsed_ns(start) / codec_rounds;
    sink({"packet_codec_ns", ns, "ns", 0, "none", seed,
          "step=decode accepted=" + std::to_string(accepted) + " " + notes});
}

} // namespace

void bench_routing_costs(std::uint64_t seed, const figure_sink& sink) {
    for (const std::uint32_t flows : {10'000U, 100'000U, 500'000U})
        bench_entry(flows, seed, sink);
    for (const std::uint32_t flows : {1'000U, 8'192U})
        bench_host(flows, seed, sink);
    bench_codec(seed, sink);
}

} // namespace arbutusport::emulator
