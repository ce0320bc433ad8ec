// Benchmark of the measurement of a host's work on the packet path.

#include <arbutusport/emulator/bench.hpp>
#include <arbutusport/relay/work_meter.hpp>

#include <chrono>

namespace arbutusport::emulator {

namespace {

constexpr std::uint32_t rounds = 200'000;
constexpr std::uint32_t slots = 2;
constexpr std::uint32_t routes = 8;

double elapsed_ns(std::chrono::steady_clock::time_point since) {
    return std::chrono::duration<double, std::nano>(
               std::chrono::steady_clock::now() - since)
        .count();
}

flow_key flow_of(std::uint32_t number) {
    return {{0x64400000 + number, 40001}, {0xc6120000 + number % routes, 443}};
}

// Each round: a request arrives and the one `in_progress` before it is
// answered.
void bench_meter(std::uint32_t in_progress, std::uint64_t seed,
                 const figure_sink& sink) {
    relay::work_meter meter;
    time_point now(std::chrono::seconds(1));
    meter.set_slots(slots, now);
    const auto request = [&](std::uint32_t number) {
        now += std::chrono::milliseconds(15);
        const flow_key flow = flow_of(number);
        meter.on_request(flow, flow.service, now);
    };
    for (std::uint32_t i = 0; i < in_progress; ++i)
        request(i);
    auto start = std::chrono::steady_clock::now();
    for (std::uint32_t i = 0; i < rounds; ++i) {
        request(in_progress + i);
        meter.on_answer(flow_of(i), now);
    }
    const std::string notes = "in_progress=" + std::to_string(in_progress) +
                              " slots=" + std::to_string(slots) +
                              " routes=" + std::to_string(meter.routes());
    sink({"work_request_ns", elapsed_ns(start) / rounds, "ns", 0, "none", seed,
          notes});
    duration total{};
    start = std::chrono::steady_clock::now();
    for (std::uint32_t i = 0; i < rounds; ++i)
        total += meter.backlog(now + duration(i));
    const double ns = elapsed_ns(start) / rounds;
    sink({"work_backlog_ns", ns, "ns", 0, "none", seed,
          notes + " mean_us=" + std::to_string(total.count() / rounds)});
}

} // namespace

void bench_work(std::uint64_t seed, const figure_sink& sink) {
    for (const std::uint32_t in_progress : {2U, 10U, 1000U})
        bench_meter(in_progress, seed, sink);
}

} // namespace arbutusport::emulator
