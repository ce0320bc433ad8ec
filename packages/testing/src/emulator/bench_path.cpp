// Benchmark of the packet path through loopback sockets. One thread on one core
// fills the socket of the entry, runs its loop and empties the socket of the
// host; only the loop is timed. The baseline receives and sends the same
// datagrams in the same batches without a routing decision.

#include <arbutusport/emulator/bench.hpp>

#include <arbutusport/adapters/clock.hpp>
#include <arbutusport/adapters/proxy_header.hpp>
#include <arbutusport/adapters/udp_socket.hpp>
#include <arbutusport/daemon/entry_path.hpp>
#include <arbutusport/routing/entry_router.hpp>

#include <sched.h>

#include <algorithm>
#include <array>
#include <random>
#include <stdexcept>

namespace arbutusport::emulator {

namespace {

using adapters::udp_socket;

constexpr std::uint32_t loopback = 0x7f000001;
constexpr std::size_t flow_count = 100'000;
constexpr std::size_t host_count = 7;
// Size of a small CoAP request with a binding and a Request-Tag.
constexpr std::size_t payload_bytes = 128;
constexpr std::size_t rounds = 40;
constexpr std::size_t batches_per_round = 500;
constexpr duration receive_wait = std::chrono::milliseconds(100);

const endpoint service_address{0xc0a80001, 5683};

// Pins the thread to its current core, since the figure is per core.
class core_pin {
public:
    core_pin() {
        sched_getaffinity(0, sizeof before_, &before_);
        cpu_set_t one;
        CPU_ZERO(&one);
        CPU_SET(sched_getcpu(), &one);
        sched_setaffinity(0, sizeof one, &one);
    }
    ~core_pin() { sched_setaffinity(0, sizeof before_, &before_); }

private:
    cpu_set_t before_;
};

udp_socket bind_loopback() {
    return handle_failure(
        []() -> result<udp_socket> {
            return udp_socket::bind({loopback, 0});
        },
        [](const failure& it) -> udp_socket {
            throw std::runtime_error(it.step + ": " + it.reason);
        });
}

records::snapshot_ptr make_snapshot(const endpoint& sink) {
    auto out = std::make_shared<records::snapshot>();
    out->gen = {1, 1};
    records::service service;
    service.name = "participa";
    service.id = service_id_of(service.name);
    service.address = service_address;
    for (std::size_t i = 0; i < host_count; ++i) {
        records::host host;
        host.name = "participa-" + std::to_string(i + 1);
        host.id = process_id_of(host.name);
        host.packets = sink;
        service.hosts.push_back(host);
    }
    std::ranges::sort(service.hosts, {}, &records::host::id);
    out->services.push_back(service);
    out->keys.push_back(
        {key_id(1), std::string(32, 'a'), records::key_state::active});
    return out;
}

flow_key flow_of(std::size_t i) {
    return {{0x0a000000 + static_cast<std::uint32_t>(i), 40'000},
            service_address};
}

// Sends batches of random flows and empties the receiving socket.
class traffic {
public:
    traffic(std::uint64_t seed, const endpoint& entry)
        : random_(seed), entry_(entry), source_(bind_loopback()),
          sink_(bind_loopback()) {}

    endpoint sink() const { return sink_.local(); }

    void send_datagrams() {
        while (!out_.full()) {
            bytes& buf = out_.add(entry_);
            const flow_key flow = flow_of(random_() % flow_count);
            adapters::append_proxy_header(flow.client, flow.service, buf);
            buf.resize(buf.size() + payload_bytes, 0x2a);
        }
        source_.send(out_);
    }

    // Returns the number of datagrams received.
    std::size_t drain() {
        std::size_t n = 0;
        while (sink_.receive(in_, duration::zero()) > 0)
            n += in_.size();
        return n;
    }

private:
    std::mt19937_64 random_;
    endpoint entry_;
    udp_socket source_;
    udp_socket sink_;
    adapters::send_batch out_;
    adapters::receive_batch in_;
};

struct measurement {
    std::uint64_t datagrams = 0;
    duration elapsed{};

    double per_second() const {
        return static_cast<double>(datagrams) * 1e6 /
               static_cast<double>(elapsed.count());
    }
};

template <class Loop>
void measure(traffic& load, measurement& total, Loop&& loop) {
    for (std::size_t i = 0; i < batches_per_round; ++i) {
        load.send_datagrams();
        const auto start = adapters::now();
        loop();
        total.elapsed += adapters::now() - start;
        total.datagrams += load.drain();
    }
}

node::output to_output(routing::entry_action action) {
    if (auto* it = std::get_if<routing::send_packet>(&action))
        return node::send_packet{it->to, std::move(it->message)};
    return node::dropped{"not_forwarded", process_id()};
}

// Adds a hint for each flow, as its first response does.
void learn_hints(routing::entry_router& router,
                 const records::snapshot& snapshot) {
    const records::service& service = snapshot.services.front();
    for (std::size_t i = 0; i < flow_count; ++i) {
        wire::packet answer;
        answer.type = wire::message_type::answer;
        answer.service = service.id;
        answer.sender = service.hosts[i % host_count].id;
        answer.flow = flow_of(i);
        router.on_host(std::move(answer), adapters::now());
    }
}

void forward_without_routing(const udp_socket& entry, const endpoint& sink,
                             adapters::receive_batch& in,
                             adapters::send_batch& out) {
    entry.receive(in, receive_wait);
    for (std::size_t i = 0; i < in.size(); ++i) {
        const byte_view data = in.data(i);
        out.add(sink).assign(data.begin(), data.end());
    }
    entry.send(out);
}

} // namespace

void bench_path(std::uint64_t seed, const figure_sink& sink) {
    const core_pin pin;
    const udp_socket fabric = bind_loopback();
    traffic load(seed, fabric.local());
    const auto snapshot = make_snapshot(load.sink());

    daemon::packet_port port(bind_loopback());
    port.set_keys(wire::make_keyring(snapshot->keys));
    routing::entry_router router(
        {.self = process_id_of("entry-1"), .packets = port.socket().local()});
    router.set_snapshot(snapshot);
    learn_hints(router, *snapshot);
    std::uint64_t dropped = 0;
    daemon::client_path path(
        fabric, port,
        [&](const flow_key& flow, byte_view datagram, time_point now) {
            return to_output(router.on_client(flow, datagram, now));
        },
        [&](const std::string&, const std::string&) { ++dropped; });

    adapters::receive_batch in;
    adapters::send_batch out;
    measurement entry;
    measurement bare;
    // Rounds alternate, so that both loops run under the same conditions.
    for (std::size_t i = 0; i < rounds; ++i) {
        measure(load, bare,
                [&] { forward_without_routing(fabric, load.sink(), in, out); });
        measure(load, entry, [&] { path.run_once(receive_wait); });
    }
    const double ratio = entry.per_second() / bare.per_second();
    sink({.name = "entry_packets_per_s",
          .value = entry.per_second(),
          .unit = "packets/s",
          .baseline = bare.per_second(),
          .baseline_name = "bare_loop",
          .seed = seed,
          .notes = "ratio=" + std::to_string(ratio) +
                   " payload_bytes=" + std::to_string(payload_bytes) +
                   " batch=" + std::to_string(adapters::batch_size) +
                   " flows=" + std::to_string(flow_count) +
                   " datagrams=" + std::to_string(entry.datagrams) +
                   " dropped=" + std::to_string(dropped)});
}

} // namespace arbutusport::emulator
