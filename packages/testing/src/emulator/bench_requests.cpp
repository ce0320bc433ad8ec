// Benchmarks of the requests layer.

#include <arbutusport/emulator/bench.hpp>

#include <arbutusport/emulator/history_checker.hpp>
#include <arbutusport/emulator/request_load.hpp>
#include <arbutusport/emulator/request_world.hpp>

#include <array>
#include <string>

namespace arbutusport::emulator {

namespace {

constexpr std::uint64_t schedule_count = 10'000;
// With a guard disabled, violations are frequent enough for fewer schedules.
constexpr std::uint64_t baseline_count = 1'000;

struct schedule_totals {
    std::array<std::size_t, 7> violations{};
    std::size_t sent = 0;
    std::array<std::size_t, 5> outcomes{};

    std::size_t count_of(violation_kind kind) const {
        return violations[static_cast<std::size_t>(kind)];
    }
    std::size_t count_of(outcome kind) const {
        return outcomes[static_cast<std::size_t>(kind)];
    }
};

schedule_totals run_schedules(std::uint64_t seed, std::uint64_t schedules,
                              const requests::safety_checks& enabled) {
    schedule_totals out;
    for (std::uint64_t i = 0; i < schedules; ++i) {
        const auto events = run_schedule({.seed = seed + i, .checks = enabled});
        for (const event& it : events) {
            out.sent += it.kind == event_kind::sent ? 1 : 0;
            if (it.kind == event_kind::told)
                ++out.outcomes[static_cast<std::size_t>(it.result)];
        }
        for (const violation& it : check(events))
            ++out.violations[static_cast<std::size_t>(it.kind)];
    }
    return out;
}

std::string describe(const schedule_totals& it) {
    return "schedules=" + std::to_string(schedule_count) +
           " baseline_schedules=" + std::to_string(baseline_count) +
           " requests=" + std::to_string(it.sent) +
           " answered=" + std::to_string(it.count_of(outcome::answered)) +
           " not_run=" + std::to_string(it.count_of(outcome::not_run)) +
           " unknown=" + std::to_string(it.count_of(outcome::unknown)) +
           " timeout=" + std::to_string(it.count_of(outcome::timeout)) +
           " lost=" + std::to_string(it.count_of(violation_kind::lost_request));
}

void bench_schedules(std::uint64_t seed, const figure_sink& sink) {
    using requests::safety_checks;
    const auto guarded = run_schedules(seed, schedule_count, {});
    const auto notes = describe(guarded);
    const auto print = [&](const char* name, violation_kind kind,
                           const char* guard, const safety_checks& enabled) {
        const auto without = run_schedules(seed, baseline_count, enabled);
        sink({name, static_cast<double>(guarded.count_of(kind)), "violations",
              static_cast<double>(without.count_of(kind)),
              std::string("without_") + guard, seed, notes});
    };
    print("double_runs", violation_kind::double_run, "deduplicate",
          {.deduplicate = false});
    print("double_runs", violation_kind::double_run, "check_binding",
          {.check_binding = false});
    print("double_runs", violation_kind::double_run, "recheck_deadlines",
          {.recheck_deadlines = false});
    print("false_not_run", violation_kind::false_not_run, "record_refusals",
          {.record_refusals = false});
    print("crossed_answers", violation_kind::crossed_answer, "match_exchanges",
          {.match_exchanges = false});
    print("cut_requests", violation_kind::cut_answer, "match_exchanges",
          {.match_exchanges = false});
}

void bench_goodput(std::uint64_t seed, const figure_sink& sink) {
    for (const double load : {0.5, 1.0, 2.0, 4.0}) {
        const load_options options{.seed = seed, .load = load};
        const auto with = run_load(options);
        const auto without = run_naive_load(options);
        sink({"goodput_ratio", with.goodput_ratio, "of_capacity",
              without.goodput_ratio, "unbounded_queue_naive_retries", seed,
              "load=" + std::to_string(load) +
                  " requests=" + std::to_string(with.requests) +
                  " virtual_s=60 slots=2 deadline_ms=500"
                  " refused=" +
                  std::to_string(with.refused)});
    }
}

void bench_retries(std::uint64_t seed, const figure_sink& sink) {
    const auto with = run_retries(seed, 0.1);
    const auto unlimited = run_retries(seed, 100);
    const auto naive = run_naive_retries(seed);
    sink({"retry_amplification", with.amplification, "tries_per_request",
          naive.amplification, "naive_retries", seed,
          "hosts=7 shedding=1 requests=" + std::to_string(with.requests) +
              " served_elsewhere=" + std::to_string(with.served_elsewhere) +
              " amplification_without_budget=" +
              std::to_string(unlimited.amplification)});
}

void bench_costs(std::uint64_t seed, const figure_sink& sink) {
    for (const std::size_t sessions : {500, 2'000, 8'000}) {
        const auto it = measure_broker(seed, sessions);
        const auto notes = "sessions=" + std::to_string(sessions) +
                           " requests=" + std::to_string(it.requests);
        sink({"broker_us_per_request", it.us_per_request, "us", it.us_codec,
              "parse_and_serialise_only", seed, notes});
        sink({"bytes_per_session", it.bytes_per_session, "B",
              it.bytes_session_only, "without_requests_and_observation", seed,
              notes});
    }
}

} // namespace

void bench_requests(std::uint64_t seed, const figure_sink& sink) {
    bench_schedules(seed, sink);
    bench_goodput(seed, sink);
    bench_retries(seed, sink);
    bench_costs(seed, sink);
}

} // namespace arbutusport::emulator
