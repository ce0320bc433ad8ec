// Compares placement rules on the same arrivals, at hosts of unequal speed and
// with heavy tails of work, and checks the rule under the failures of its
// inputs.

#include <arbutusport/base/hash.hpp>
#include <arbutusport/emulator/relay_placement_trace.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdio>

namespace arbutusport::emulator {

namespace {

using hosts = std::span<const relay::candidate>;

std::size_t by_completion(hosts from, std::uint64_t hash) {
    const auto chosen = relay::choose_host(from, {}, hash);
    return static_cast<std::size_t>(
        std::ranges::find(from, chosen->machine, &relay::candidate::machine) -
        from.begin());
}

// The rule for hosts that report no work.
std::size_t by_requests(hosts from, std::uint64_t hash) {
    std::vector<relay::candidate> known(from.begin(), from.end());
    for (relay::candidate& it : known)
        it.work.reset();
    return by_completion(known, hash);
}

std::size_t by_connections(hosts from, std::uint64_t hash) {
    const auto least = std::ranges::min_element(from, {}, [&](const auto& it) {
        return std::pair(it.flows, hash_combine(hash, it.machine.value()));
    });
    return static_cast<std::size_t>(least - from.begin());
}

std::size_t by_two_choices(hosts from, std::uint64_t hash) {
    const auto load = [&](std::size_t i) {
        return from[i].outstanding + from[i].opened_since;
    };
    const std::size_t first = hash_combine(hash, 1) % from.size();
    const std::size_t second = hash_combine(hash, 2) % from.size();
    return load(first) <= load(second) ? first : second;
}

placement_result run(const char* name, const placement_trace_options& options,
                     const placement_rule& rule) {
    const auto it = run_placement_trace(options, rule);
    std::printf("%-26s entries=%zu load=%.1f p50_ms=%.0f p99_ms=%.0f "
                "in_time=%.4f shed=%.4f peak_400ms=%.2f peak_1s=%.2f "
                "share_of_first=%.3f\n",
                name, options.entries, options.load, it.p50_ms, it.p99_ms,
                it.in_time, it.shed, it.peak_in_report_interval,
                it.peak_in_second, it.share_of_first);
    return it;
}

// Share of host 0 in the capacity of the default hosts.
constexpr double first_capacity_share = 0.7 / (9 * (0.7 + 0.7 + 1.7));

} // namespace

class relay_placement_trace_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(relay_placement_trace_test);
    CPPUNIT_TEST(more_requests_are_in_time_than_by_other_rules);
    CPPUNIT_TEST(lost_reports);
    CPPUNIT_TEST(entries_without_reports);
    CPPUNIT_TEST(reports_a_second_old);
    CPPUNIT_TEST(host_slows_down_under_its_flows);
    CPPUNIT_TEST(host_that_answers_errors_at_once);
    CPPUNIT_TEST(host_that_hangs);
    CPPUNIT_TEST(half_of_the_hosts_report_no_work);
    CPPUNIT_TEST(half_of_the_entries_end_at_the_top);
    CPPUNIT_TEST(costs_that_no_longer_hold);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against spreading flows by number over hosts of unequal speed, and
    // against entries that all choose the host that was idle last.
    void more_requests_are_in_time_than_by_other_rules() {
        double missed = 0;
        double missed_by_requests = 0;
        for (const std::size_t entries : {6, 19})
            for (const double load : {0.5, 0.8, 1.1}) {
                const placement_trace_options it{.entries = entries,
                                                 .load = load};
                const auto best = run("expected completion", it, by_completion);
                const auto requests = run("requests", it, by_requests);
                const auto connections =
                    run("least connections", it, by_connections);
                const auto two = run("two random choices", it, by_two_choices);
                CPPUNIT_ASSERT(best.in_time >= requests.in_time);
                CPPUNIT_ASSERT(best.in_time >= connections.in_time);
                CPPUNIT_ASSERT(best.in_time >= two.in_time);
                // Herding would exceed what the rule by requests shows.
                CPPUNIT_ASSERT(best.peak_in_report_interval <=
                               requests.peak_in_report_interval);
                // A host's rank does not move by more than its load does: in
                // the mean over all seconds, the host that gets most flows gets
                // at most twice its share.
                CPPUNIT_ASSERT(best.peak_in_second <= 2);
                if (load == 0.8) {
                    missed += 1 - best.in_time;
                    missed_by_requests += 1 - requests.in_time;
                }
            }
        CPPUNIT_ASSERT(missed <= 0.9 * missed_by_requests);
    }

    // Guards against figures that stay in force when reports are lost.
    void lost_reports() {
        check_not_worse("lost reports", {.lost_reports = 0.3});
    }

    // Guards against an entry that sends all flows to the hosts that have
    // reported to it first.
    void entries_without_reports() {
        check_not_worse("entries without reports", {.started_late = 3});
    }

    // Guards against herding to hosts that were idle long ago.
    void reports_a_second_old() {
        check_not_worse("reports a second old", {.report_delay_s = 1});
    }

    // Guards against new flows at a host that cannot serve those it has.
    void host_slows_down_under_its_flows() {
        const auto it =
            check_not_worse("host slows down", {.changed_speed = 0.2});
        CPPUNIT_ASSERT(it.share_of_first <= first_capacity_share / 2);
    }

    // Guards against a host that looks fast and idle because it rejects what it
    // gets.
    void host_that_answers_errors_at_once() {
        const auto it =
            run("errors at once", {.answers_errors = true}, by_completion);
        CPPUNIT_ASSERT(it.share_of_first <= 2 * first_capacity_share);
    }

    // Guards against flows to a host that accepts them and serves none.
    void host_that_hangs() {
        const auto it = check_not_worse("host hangs", {.hangs = true});
        CPPUNIT_ASSERT(it.share_of_first <= first_capacity_share / 2);
    }

    // Guards against preferring hosts of one build to those of the other.
    void half_of_the_hosts_report_no_work() {
        check_not_worse("two builds", {.without_work = 13});
    }

    // Guards against estimates that rest on the number of entries.
    void half_of_the_entries_end_at_the_top() {
        check_not_worse("half of the entries end", {.load = 1.1, .ended = 3});
    }

    // Guards against speeds that outweigh the requests at the hosts: wrong ones
    // must do less harm than knowing no load.
    void costs_that_no_longer_hold() {
        const placement_trace_options it{.outdated_costs = true};
        CPPUNIT_ASSERT(run("outdated costs", it, by_completion).in_time >=
                       run("least connections", it, by_connections).in_time);
    }

private:
    static placement_result
    check_not_worse(const char* name, const placement_trace_options& options) {
        const auto it = run(name, options, by_completion);
        CPPUNIT_ASSERT(it.in_time >=
                       run("  by requests", options, by_requests).in_time);
        return it;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_placement_trace_test);

} // namespace arbutusport::emulator
