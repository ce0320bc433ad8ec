// Benchmarks of the config layer by the size of the record set: bytes, memory
// and CPU time.

#include "bench_config_sizes.hpp"

#include <arbutusport/emulator/config_fleet.hpp>
#include <arbutusport/membership/membership.hpp>
#include <arbutusport/records/delta.hpp>
#include <arbutusport/records/parse.hpp>

#include <malloc.h>

#include <array>
#include <chrono>
#include <string>

namespace arbutusport::emulator {

namespace {

using namespace std::chrono_literals;
using clock = std::chrono::steady_clock;

double microseconds_since(clock::time_point start) {
    return std::chrono::duration<double, std::micro>(clock::now() - start)
        .count();
}

std::size_t heap_bytes() {
    return mallinfo2().uordblks;
}

// Creates a process that has adopted the set and knows its peers.
std::unique_ptr<config::config_sync>
make_started_process(const std::vector<records::raw_record>& set,
                     process_id self, std::string data_centre) {
    auto it = std::make_unique<config::config_sync>(config::sync_options{
        .self = self, .data_centre = std::move(data_centre)});
    config::head head{{1, 1}, {}};
    for (const auto& record : set)
        head.records.push_back({record.key, record.revision});
    time_point now{};
    it->on_tick(now);
    it->on_head(head, now);
    it->on_tick(now);
    it->on_records(set, now);
    // No peer responds: wait for the start-up window and the timeouts.
    for (; !it->current(); now += 100ms)
        it->on_tick(now);
    return it;
}

struct costs {
    double set_bytes = 0;
    double memory = 0;
    double build_us = 0;
    double round_us = 0;
    double adopt_us = 0;
    double member_tick_us = 0;
};

double time_rounds(config::config_sync& left, config::config_sync& right) {
    constexpr int rounds = 500;
    const endpoint peer{1, 1};
    time_point now(1000s);
    // Platform reads get no response, so that only gossip is measured.
    const auto start = clock::now();
    for (int n = 0; n < rounds; ++n, now += 1s)
        for (const auto& action : left.on_tick(now))
            if (const auto* it =
                    std::get_if<config::send_sync_request>(&action)) {
                const auto answer = right.on_request(it->request, now);
                left.on_reply(peer, answer.reply, now);
            }
    return microseconds_since(start) / rounds;
}

// Time to encode, decode and apply a delta of one changed record and to build
// the snapshot.
double time_adoption(config::config_sync& it,
                     const records::snapshot_ptr& next) {
    const auto delta = records::make_delta(*it.current(), *next);
    const auto start = clock::now();
    const auto sent =
        records::decode_delta(records::encode_delta(delta)).value();
    const auto raw = records::apply_delta(it.current(), sent).value();
    records::build_snapshot(next->gen, raw, it.current()).value();
    return microseconds_since(start);
}

double time_member_ticks(const records::snapshot_ptr& set) {
    // Ends before the probe timeout, since no peer responds.
    constexpr int ticks = 400;
    membership::member_table it(
        {.self = set->entries[0].id, .run = incarnation(1)});
    it.set_snapshot(set, {});
    time_point now{};
    const auto start = clock::now();
    for (int n = 0; n < ticks; ++n, now += 1ms)
        it.on_tick(now);
    return microseconds_since(start) / ticks;
}

costs measure(const record_sizes& sizes) {
    costs it;
    auto set = make_records(sizes);
    for (const auto& record : set)
        it.set_bytes += static_cast<double>(record.json.size());
    const auto before = heap_bytes();
    const auto start = clock::now();
    const auto built = records::build_snapshot({1, 1}, set).value();
    it.build_us = microseconds_since(start);
    it.memory = static_cast<double>(heap_bytes() - before);

    const auto& a = built->entries[0];
    const auto& b = built->entries[1];
    const auto left = make_started_process(set, a.id, a.data_centre);
    const auto right = make_started_process(set, b.id, b.data_centre);
    it.round_us = time_rounds(*left, *right);
    it.member_tick_us = time_member_ticks(built);
    // An additional space changes the text but not the content.
    for (auto& record : set)
        if (record.key == "service/service-0") {
            record.revision = 2;
            record.json += ' ';
        }
    const auto next = records::build_snapshot({1, 2}, set).value();
    it.adopt_us = time_adoption(*left, next);
    return it;
}

} // namespace

void bench_config_sizes(std::uint64_t seed, const figure_sink& sink) {
    constexpr std::array<record_sizes, 3> sizes{
        {{36, 500, 46, 8}, {90, 1250, 115, 8}, {360, 5000, 460, 8}}};
    costs first;
    for (const record_sizes& size : sizes) {
        const costs it = measure(size);
        if (first.memory == 0)
            first = it;
        const std::string notes = "services=" + std::to_string(size.services) +
                                  " hosts=" + std::to_string(size.hosts) +
                                  " entries=" + std::to_string(size.entries);
        const auto report = [&](const char* name, const char* unit,
                                double value, double baseline) {
            sink({.name = name,
                  .value = value,
                  .unit = unit,
                  .baseline = baseline,
                  .baseline_name = "36_services",
                  .seed = seed,
                  .notes = notes});
        };
        report("snapshot_bytes", "B", it.memory, first.memory);
        report("published_bytes", "B", it.set_bytes, first.set_bytes);
        report("snapshot_build_us", "us", it.build_us, first.build_us);
        report("sync_round_us", "us", it.round_us, first.round_us);
        report("delta_adoption_us", "us", it.adopt_us, first.adopt_us);
        report("member_tick_us", "us", it.member_tick_us, first.member_tick_us);
    }
}

} // namespace arbutusport::emulator
