// Checks the choice of a host for a new flow: busy hosts, clients shifted from
// another data centre, a host that has just started, an unresponsive host.

#include <arbutusport/relay/load_meter.hpp>
#include <arbutusport/relay/placement.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>

namespace arbutusport::relay {

namespace {

candidate local(std::uint32_t machine) {
    return {.machine = machine_address(machine), .local = true, .slots = 2};
}

candidate remote(std::uint32_t machine) {
    return {.machine = machine_address(machine), .local = false, .slots = 2};
}

std::uint32_t chosen(const std::vector<candidate>& hosts,
                     std::uint64_t tie_breaker = 0) {
    return choose_host(hosts, {}, tie_breaker)->machine.value();
}

} // namespace

class placement_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(placement_test);
    CPPUNIT_TEST(equal_hosts_share_evenly);
    CPPUNIT_TEST(a_busy_host_gets_no_flow);
    CPPUNIT_TEST(idle_flows_count_as_well);
    CPPUNIT_TEST(flows_placed_since_the_report_count);
    CPPUNIT_TEST(local_hosts_come_first_until_they_are_busy);
    CPPUNIT_TEST(a_warming_up_host_is_avoided_at_equal_load);
    CPPUNIT_TEST(a_host_with_unanswered_openings_is_avoided);
    CPPUNIT_TEST(unreachable_hosts_are_the_last_resort);
    CPPUNIT_TEST(tried_hosts_are_left_out);
    CPPUNIT_TEST(hosts_without_room_are_left_out);
    CPPUNIT_TEST(ranked_hosts_are_limited_and_deterministic);
    CPPUNIT_TEST(an_added_host_changes_few_ranked_hosts);
    CPPUNIT_TEST(flows_are_divided_by_weight);
    CPPUNIT_TEST(a_full_service_spills_to_one_with_capacity);
    CPPUNIT_TEST(load_meter_follows_requests);
    CPPUNIT_TEST(without_measurement_requests_and_flows_decide);
    CPPUNIT_TEST(placements_count_in_full_until_hosts_are_measured);
    CPPUNIT_TEST(one_opening_sends_no_flow_to_another_data_centre);
    CPPUNIT_TEST(the_host_that_is_done_first_is_chosen);
    CPPUNIT_TEST(a_host_without_samples_is_not_idle);
    CPPUNIT_TEST(flows_follow_the_speed_of_hosts);
    CPPUNIT_TEST(small_differences_of_speed_do_not_count);
    CPPUNIT_TEST_SUITE_END();

public:
    void equal_hosts_share_evenly() {
        const std::vector<candidate> hosts{local(1), local(2), local(3)};
        std::map<std::uint32_t, int> counts;
        constexpr int flows = 3000;
        for (int i = 0; i < flows; ++i)
            ++counts[chosen(hosts, static_cast<std::uint64_t>(i) * 7919)];
        for (const auto& [machine, n] : counts)
            CPPUNIT_ASSERT(n > 800 && n < 1200);
    }

    void a_busy_host_gets_no_flow() {
        std::vector<candidate> hosts{local(1), local(2)};
        hosts[0].busy = 1.5;
        hosts[0].flows = hosts[1].flows = 10;
        CPPUNIT_ASSERT_EQUAL(2U, chosen(hosts));
    }

    // All flows are idle now, but their next requests go to their hosts.
    void idle_flows_count_as_well() {
        std::vector<candidate> hosts{local(1), local(2)};
        hosts[0].flows = 40;
        hosts[1].flows = 10;
        CPPUNIT_ASSERT_EQUAL(2U, chosen(hosts));
    }

    // Guards against placing all flows of one report interval at one host.
    void flows_placed_since_the_report_count() {
        std::vector<candidate> hosts{local(1), local(2)};
        for (std::uint64_t i = 0; i < 100; ++i)
            ++hosts[chosen(hosts, i) - 1].placed_since;
        CPPUNIT_ASSERT_EQUAL(50U, hosts[0].placed_since);
    }

    void local_hosts_come_first_until_they_are_busy() {
        std::vector<candidate> hosts{local(1), remote(2)};
        hosts[0].flows = hosts[1].flows = 20;
        hosts[0].busy = 0.4;
        CPPUNIT_ASSERT_EQUAL(1U, chosen(hosts));
        // Clients were shifted here from another data centre.
        hosts[0].busy = 2;
        hosts[0].outstanding = 3;
        CPPUNIT_ASSERT_EQUAL(2U, chosen(hosts));
    }

    void a_warming_up_host_is_avoided_at_equal_load() {
        std::vector<candidate> hosts{local(1), local(2)};
        hosts[0].busy = hosts[1].busy = 0.5;
        hosts[0].flows = hosts[1].flows = 10;
        hosts[0].warming_up = true;
        CPPUNIT_ASSERT_EQUAL(2U, chosen(hosts));
    }

    void a_host_with_unanswered_openings_is_avoided() {
        std::vector<candidate> hosts{local(1), local(2)};
        hosts[0].unanswered = 1;
        hosts[1].busy = 1;
        hosts[0].flows = hosts[1].flows = 10;
        CPPUNIT_ASSERT_EQUAL(2U, chosen(hosts));
    }

    void unreachable_hosts_are_the_last_resort() {
        std::vector<candidate> hosts{local(1), remote(2)};
        hosts[0].reachable = false;
        CPPUNIT_ASSERT_EQUAL(2U, chosen(hosts));
        hosts[1].reachable = false;
        CPPUNIT_ASSERT_EQUAL(1U, chosen(hosts));
    }

    void tried_hosts_are_left_out() {
        const std::vector<candidate> hosts{local(1), local(2)};
        const std::vector<machine_address> both{machine_address(1),
                                                machine_address(2)};
        CPPUNIT_ASSERT(
            choose_host(hosts, std::span(both).first(1), 0)->machine ==
            machine_address(2));
        CPPUNIT_ASSERT(!choose_host(hosts, both, 0));
    }

    // Guards against refusals while hosts of lower rank have room, and against
    // more flows than a cold host bears.
    void hosts_without_room_are_left_out() {
        std::vector<candidate> hosts;
        for (std::uint32_t i = 1; i <= 20; ++i) {
            hosts.push_back(local(i));
            hosts.back().opening_room = i == 20 ? 1 : 0;
        }
        const auto ranked = ranked_hosts(hosts, 7);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ranked.size());
        CPPUNIT_ASSERT_EQUAL(20U, chosen(hosts));
        hosts.back().opening_room = 0;
        CPPUNIT_ASSERT(!choose_host(hosts, {}, 0));
        CPPUNIT_ASSERT(ranked_hosts(hosts, 7).empty());
    }

    void ranked_hosts_are_limited_and_deterministic() {
        std::vector<candidate> hosts;
        for (std::uint32_t i = 1; i <= 20; ++i)
            hosts.push_back(i % 2 == 0 ? local(i) : remote(i));
        const auto kept = ranked_hosts(hosts, 99);
        CPPUNIT_ASSERT_EQUAL(std::size_t{12}, kept.size());
        // Every process gets the same result, regardless of the order.
        std::ranges::reverse(hosts);
        const auto again = ranked_hosts(hosts, 99);
        for (std::size_t i = 0; i < kept.size(); ++i)
            CPPUNIT_ASSERT(kept[i].machine == again[i].machine);
    }

    void an_added_host_changes_few_ranked_hosts() {
        std::vector<candidate> hosts;
        for (std::uint32_t i = 1; i <= 20; ++i)
            hosts.push_back(local(i));
        const auto before = ranked_hosts(hosts, 5);
        hosts.push_back(local(21));
        const auto after = ranked_hosts(hosts, 5);
        std::size_t moved = 0;
        for (const auto& it : before)
            moved += std::ranges::none_of(after, [&](const auto& one) {
                return one.machine == it.machine;
            });
        CPPUNIT_ASSERT(moved <= 1);
    }

    void flows_are_divided_by_weight() {
        const route weighted_route{
            .targets = {{service_id(1), 90}, {service_id(2), 10}}};
        int second = 0;
        for (std::uint64_t i = 0; i < 1000; ++i)
            second +=
                *choose_service(weighted_route, i) == service_id(2) ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(100, second);
        CPPUNIT_ASSERT(!choose_service(route{}, 1));
        const route off{.targets = {{service_id(1), 0}}};
        CPPUNIT_ASSERT(!choose_service(off, 1));
    }

    // Guards against rejected requests at a service with few slots while the
    // other service of its route was idle, as seen after a power failure.
    void a_full_service_spills_to_one_with_capacity() {
        const host_choice full{.load = 3};
        const host_choice busy{.load = 1.5};
        const host_choice free{.load = 0.2};
        const host_choice silent{.reachable = false};
        CPPUNIT_ASSERT(should_spill(full, free));
        CPPUNIT_ASSERT(should_spill(std::nullopt, free));
        CPPUNIT_ASSERT(should_spill(silent, free));
        CPPUNIT_ASSERT(!should_spill(busy, free));
        CPPUNIT_ASSERT(!should_spill(full, busy));
        CPPUNIT_ASSERT(!should_spill(full, silent));
        CPPUNIT_ASSERT(!should_spill(full, std::nullopt));
    }

    void load_meter_follows_requests() {
        using std::chrono::seconds;
        load_meter it;
        const time_point start{seconds(10)};
        it.set(2, start);
        CPPUNIT_ASSERT(it.mean(start + seconds(5)) > 1.9);
        it.set(1, start + seconds(5));
        it.set(0, start + seconds(5));
        CPPUNIT_ASSERT_EQUAL(0U, it.outstanding());
        CPPUNIT_ASSERT(it.mean(start + seconds(10)) < 0.1);
    }

    // Guards against another order at fleets whose hosts report no work.
    void without_measurement_requests_and_flows_decide() {
        std::mt19937 random(1);
        for (int round = 0; round < 2000; ++round) {
            std::vector<candidate> hosts;
            double busy = 0;
            double flows = 0;
            for (std::uint32_t i = 1; i <= 8; ++i) {
                candidate it = random() % 2 == 0 ? local(i) : remote(i);
                it.warming_up = random() % 8 == 0;
                it.busy = random() % 4000 / 1000.0;
                it.outstanding = random() % 8;
                it.flows = random() % 40;
                it.placed_since = random() % 4;
                it.opened_since = random() % 4;
                it.report_age = std::chrono::milliseconds(random() % 1000);
                it.unanswered = random() % 16 == 0 ? 1 : 0;
                if (i == 1 && round % 2 == 0)
                    it.work = host_work{.backlog_us = 9000, .service_us = 9000};
                busy += it.busy;
                flows += it.flows;
                hosts.push_back(it);
            }
            const double flow_load =
                std::max(flows > 0 ? busy / flows : 0, 0.02);
            const auto best =
                std::ranges::min_element(hosts, {}, [&](const auto& it) {
                    const double waiting =
                        it.outstanding > 2 ? it.outstanding - 2 : 0;
                    return (it.warming_up ? 1.6 : 1) *
                               (0.5 * it.busy + 0.5 * flow_load * it.flows +
                                (it.work ? it.placed_since + it.opened_since
                                         : flow_load * it.placed_since) +
                                0.5 * waiting) /
                               2 +
                           (it.local ? 0 : 0.25 + (it.work ? 0.5 : 0)) +
                           it.unanswered;
                });
            CPPUNIT_ASSERT_EQUAL(best->machine.value(), chosen(hosts));
        }
    }

    // Guards against entries that all choose the same hosts after a restart of
    // all processes: no host has a sample, and several entries place flows.
    void placements_count_in_full_until_hosts_are_measured() {
        // The second case is that of a single host with a sample.
        for (const std::uint32_t first_us : {0U, 10'000U}) {
            auto hosts = measured({first_us, 0});
            hosts[0].opened_since = 1;
            hosts[1].busy = 0.5;
            CPPUNIT_ASSERT_EQUAL(2U, chosen(hosts));
            hosts[0].opened_since = 0;
            hosts[0].placed_since = 1;
            CPPUNIT_ASSERT_EQUAL(2U, chosen(hosts));
            hosts[1].opened_since = 1;
            CPPUNIT_ASSERT_EQUAL(1U, chosen(hosts));
        }
    }

    // Guards against expensive traffic between data centres while the own
    // hosts are nearly idle.
    void one_opening_sends_no_flow_to_another_data_centre() {
        for (const std::uint32_t service_us : {0U, 10'000U}) {
            auto hosts = measured({service_us, service_us});
            hosts[1].local = false;
            hosts[0].opened_since = 1;
            CPPUNIT_ASSERT_EQUAL(1U, chosen(hosts));
            hosts[0].opened_since = 3;
            CPPUNIT_ASSERT_EQUAL(2U, chosen(hosts));
        }
    }

    // Guards against counting a request of many times the usual work as one.
    void the_host_that_is_done_first_is_chosen() {
        auto hosts = measured({10'000, 10'000});
        hosts[0].busy = hosts[0].outstanding = 1;
        hosts[0].work->backlog_us = 100'000;
        hosts[1].busy = hosts[1].outstanding = 2;
        hosts[1].work->backlog_us = 8'000;
        CPPUNIT_ASSERT_EQUAL(2U, chosen(hosts));
        // The same for what was placed since.
        hosts[0].work->backlog_us = hosts[1].work->backlog_us = 0;
        hosts[0].busy = hosts[0].outstanding = 2;
        hosts[1].opened_since = 10;
        CPPUNIT_ASSERT_EQUAL(1U, chosen(hosts));
    }

    // Guards against a host that attracts all flows because its work left is
    // unknown: its process has just started and has no sample yet.
    void a_host_without_samples_is_not_idle() {
        auto hosts = measured({10'000, 10'000, 0});
        hosts[2].outstanding = 8;
        for (int i = 0; i < 2; ++i) {
            hosts[i].busy = hosts[i].outstanding = 2;
            hosts[i].work->backlog_us = 18'000;
        }
        CPPUNIT_ASSERT(chosen(hosts) != 3);
        // The same with fewer requests, none of which waits.
        hosts[2].busy = 0.5;
        hosts[2].outstanding = 2;
        for (int i = 0; i < 2; ++i) {
            hosts[i].busy = 0.5;
            hosts[i].outstanding = 1;
            hosts[i].work->backlog_us = 5'000;
        }
        CPPUNIT_ASSERT(chosen(hosts) != 3);
        // It is not avoided either.
        hosts[2].outstanding = 0;
        CPPUNIT_ASSERT_EQUAL(3U, chosen(hosts));
    }

    // Guards against equal numbers of long flows at unequal hosts.
    void flows_follow_the_speed_of_hosts() {
        auto hosts = measured({10'000, 10'000, 20'000});
        for (std::uint64_t i = 0; i < 1000; ++i)
            ++hosts[chosen(hosts, i) - 1].flows;
        CPPUNIT_ASSERT(hosts[2].flows >= 150 && hosts[2].flows <= 250);
    }

    // Guards against ranks that change with the noise of measured means.
    void small_differences_of_speed_do_not_count() {
        auto hosts = measured({10'000, 11'000});
        hosts[0].flows = 11;
        hosts[1].flows = 10;
        CPPUNIT_ASSERT_EQUAL(2U, chosen(hosts));
        hosts[1].work->service_us = 20'000;
        CPPUNIT_ASSERT_EQUAL(1U, chosen(hosts));
    }

private:
    static std::vector<candidate>
    measured(const std::vector<std::uint32_t>& service_us) {
        std::vector<candidate> out;
        for (const std::uint32_t it : service_us) {
            out.push_back(local(static_cast<std::uint32_t>(out.size() + 1)));
            out.back().work = host_work{.service_us = it};
        }
        return out;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_test);

} // namespace arbutusport::relay
