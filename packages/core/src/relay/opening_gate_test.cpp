// Guards the limits of opening packets beside a host: what a cold host bears in
// any second, also after restarts, and evacuations in any order of arrival.

#include <arbutusport/relay/opening_gate.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cmath>
#include <vector>

namespace arbutusport::relay {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start{seconds(100)};
// The process has run for long enough that only the host's state counts.
const time_point settled = start + seconds(60);
const opening_gate_options with_limit{
    .warmup = warmup_bounds{.overage = 1.5, .slack = 5}};
const unix_milliseconds first_boot(1'700'000'000'000);

hello make_hello(std::optional<host_directive> directive = {},
                 unix_milliseconds host_started = first_boot) {
    return {.registered = registration::ready,
            .host_started = host_started,
            .wants_work = true,
            .directive = directive};
}

hello cold_hello(double rate, duration cold_left,
                 unix_milliseconds host_started = first_boot) {
    return make_hello(
        host_directive{.openings_per_second = rate, .cold_left = cold_left},
        host_started);
}

hello evacuation_hello(std::uint64_t position, bool evacuated) {
    return make_hello(
        host_directive{.as_of = revision(position), .evacuated = evacuated});
}

// A gate of a process that has run for a while beside a warm host.
opening_gate settled_gate() {
    opening_gate it(with_limit, start);
    it.on_hello(make_hello(), start);
    return it;
}

std::size_t admit_many(opening_gate& gate, std::size_t count, time_point now) {
    std::size_t admitted = 0;
    for (std::size_t i = 0; i < count; ++i)
        admitted += gate.admit(now) == opening_verdict::deliver ? 1 : 0;
    return admitted;
}

// A second, and 100 ms by which a packet may be delayed after the decision.
constexpr duration window = milliseconds(1100);

std::size_t most_in_a_window(const std::vector<time_point>& ascending) {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < ascending.size(); ++last) {
        while (ascending[last] - ascending[first] > window)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

hello registered_as(registration it, std::uint64_t host_started) {
    return {.registered = it, .host_started = unix_milliseconds(host_started)};
}

opening_gate draining_gate() {
    opening_gate it({.returns_draining = true}, start);
    it.on_hello(registered_as(registration::ready, 7), start);
    it.on_hello(registered_as(registration::draining, 7), settled);
    return it;
}

} // namespace

class opening_gate_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(opening_gate_test);
    CPPUNIT_TEST(a_draining_host_gets_no_opening);
    CPPUNIT_TEST(a_lagging_entry_does_not_end_a_drain);
    CPPUNIT_TEST(the_next_host_is_not_taken_for_the_drained_one);
    CPPUNIT_TEST(a_drain_that_nobody_confirms_ends);
    CPPUNIT_TEST(without_a_bound_a_draining_host_gets_openings);
    CPPUNIT_TEST(no_second_exceeds_the_limit);
    CPPUNIT_TEST(a_window_is_full_up_to_and_including_its_end);
    CPPUNIT_TEST(deliveries_before_the_directive_count);
    CPPUNIT_TEST(nothing_is_limited_after_the_cold_time);
    CPPUNIT_TEST(without_a_limit_in_the_settings_everything_passes);
    CPPUNIT_TEST(a_restarted_process_waits_for_the_word_of_an_entry);
    CPPUNIT_TEST(a_process_that_only_hears_earlier_builds_waits_one_second);
    CPPUNIT_TEST(after_a_restart_the_first_second_counts_as_full);
    CPPUNIT_TEST(an_entry_that_does_not_know_the_limit_does_not_open_the_gate);
    CPPUNIT_TEST(an_entry_that_lags_does_not_end_the_cold_time);
    CPPUNIT_TEST(the_lowest_rate_counts_while_it_is_repeated);
    CPPUNIT_TEST(a_host_that_boots_anew_is_cold_before_its_registration);
    CPPUNIT_TEST(the_first_boot_beside_a_running_process_is_limited);
    CPPUNIT_TEST(a_new_registration_replaces_the_assumed_cold_time);
    CPPUNIT_TEST(entries_that_lag_do_not_warm_a_host_that_boots_anew);
    CPPUNIT_TEST(steps_of_the_wall_clock_have_no_effect);
    CPPUNIT_TEST(the_newest_position_of_an_evacuation_counts);
    CPPUNIT_TEST(an_evacuation_is_set_lifted_and_set_again);
    CPPUNIT_TEST(an_unconfirmed_evacuation_ends_after_five_seconds);
    CPPUNIT_TEST(an_evacuated_host_has_no_room);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against more openings than a cold host bears in some span of one
    // second, whatever the schedule, the limit and the restarts of the host's
    // process are.
    void a_draining_host_gets_no_opening() {
        opening_gate it = draining_gate();
        CPPUNIT_ASSERT(it.admit(settled) == opening_verdict::draining);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{0}, it.room(settled));
        // It still serves its flows after its registration has gone.
        it.on_hello(registered_as(registration::absent, 0),
                    settled + seconds(4));
        CPPUNIT_ASSERT(it.is_draining(settled + seconds(8)));
    }

    void a_lagging_entry_does_not_end_a_drain() {
        opening_gate it = draining_gate();
        for (const auto state : {registration::ready, registration::unknown})
            it.on_hello(registered_as(state, 7), settled + seconds(1));
        it.on_hello(registered_as(registration::ready, 6),
                    settled + seconds(1));
        CPPUNIT_ASSERT(it.is_draining(settled + seconds(2)));
    }

    // The host starts anew beside the process. Its clock may have been set back
    // meanwhile, and lagging entries still state the drain before.
    void the_next_host_is_not_taken_for_the_drained_one() {
        opening_gate it = draining_gate();
        it.on_hello(registered_as(registration::ready, 8), settled);
        CPPUNIT_ASSERT(it.admit(settled) == opening_verdict::deliver);
        it.on_hello(registered_as(registration::draining, 7), settled);
        CPPUNIT_ASSERT(it.admit(settled) == opening_verdict::deliver);
        opening_gate restarted = draining_gate();
        restarted.on_host_started(settled);
        restarted.on_hello(registered_as(registration::ready, 5), settled);
        restarted.on_hello(registered_as(registration::draining, 7), settled);
        CPPUNIT_ASSERT(restarted.admit(settled) == opening_verdict::deliver);
    }

    void a_drain_that_nobody_confirms_ends() {
        opening_gate it = draining_gate();
        CPPUNIT_ASSERT(it.is_draining(settled + seconds(5)));
        CPPUNIT_ASSERT(!it.is_draining(settled + seconds(6)));
    }

    void without_a_bound_a_draining_host_gets_openings() {
        opening_gate it({}, start);
        it.on_hello(registered_as(registration::draining, 7), start);
        CPPUNIT_ASSERT(it.admit(start) == opening_verdict::deliver);
    }

    void no_second_exceeds_the_limit() {
        CPPUNIT_ASSERT(rc::check("no second exceeds the limit", [] {
            const auto rate = *rc::gen::inRange(1, 60);
            const auto slack = *rc::gen::inRange(0, 6);
            const auto overage = *rc::gen::inRange(10, 30) / 10.0;
            const auto limit =
                static_cast<std::size_t>(std::floor(rate * overage + slack));
            const auto gaps = *rc::gen::container<std::vector<int>>(
                rc::gen::weightedOneOf<int>({{8, rc::gen::inRange(0, 30)},
                                             {2, rc::gen::inRange(900, 1200)},
                                             // The process restarts.
                                             {1, rc::gen::just(-1)}}));
            const opening_gate_options options{
                .warmup = warmup_bounds{overage, double(slack)}};
            opening_gate gate(options, start);
            gate.on_hello(cold_hello(rate, seconds(3600)), start);
            std::vector<time_point> delivered;
            time_point now = start + seconds(2);
            for (const int gap : gaps) {
                if (gap < 0) {
                    gate = opening_gate(options, now);
                    gate.on_hello(cold_hello(rate, seconds(3600)), now);
                    continue;
                }
                now += milliseconds(gap);
                const auto room = gate.room(now);
                const auto admitted = admit_many(gate, 20, now);
                RC_ASSERT(admitted == std::min<std::size_t>(room, 20));
                delivered.insert(delivered.end(), admitted, now);
            }
            RC_ASSERT(most_in_a_window(delivered) <= limit);
        }));
    }

    // Guards against twice the limit within a second at the host, when the
    // first packets are delayed after the decision and the later ones are not.
    // Both ends of the window belong to it.
    void a_window_is_full_up_to_and_including_its_end() {
        auto gate = settled_gate();
        gate.on_hello(cold_hello(10, seconds(20)), settled);
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, admit_many(gate, 50, settled));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             admit_many(gate, 50, settled + seconds(1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             admit_many(gate, 50, settled + window));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{20},
            admit_many(gate, 50, settled + window + duration(1)));
    }

    // Guards against twice the limit when the hello arrives after the first
    // opening packets.
    void deliveries_before_the_directive_count() {
        auto gate = settled_gate();
        CPPUNIT_ASSERT_EQUAL(std::size_t{15}, admit_many(gate, 15, settled));
        gate.on_hello(cold_hello(10, seconds(20)), settled + milliseconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{5},
                             admit_many(gate, 50, settled + milliseconds(20)));
    }

    void nothing_is_limited_after_the_cold_time() {
        auto gate = settled_gate();
        gate.on_hello(cold_hello(10, seconds(20)), settled);
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, admit_many(gate, 1000, settled));
        const auto warm = settled + seconds(20);
        CPPUNIT_ASSERT(gate.room(warm) == host_work::unlimited_room);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1000}, admit_many(gate, 1000, warm));
    }

    // Guards the behaviour of deployments without limits: also right after the
    // start, and when an entry states one.
    void without_a_limit_in_the_settings_everything_passes() {
        opening_gate gate({}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1000}, admit_many(gate, 1000, start));
        gate.on_hello(cold_hello(10, seconds(20)), start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1000}, admit_many(gate, 1000, start));
        gate.on_host_started(start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1000}, admit_many(gate, 1000, start));
        CPPUNIT_ASSERT(gate.room(start) == host_work::unlimited_room);
    }

    void a_restarted_process_waits_for_the_word_of_an_entry() {
        opening_gate gate(with_limit, start);
        CPPUNIT_ASSERT(gate.admit(start) == opening_verdict::cold);
        const auto now = start + milliseconds(30);
        // An earlier build does not know whether the host is cold.
        gate.on_hello({.registered = registration::ready}, now);
        CPPUNIT_ASSERT(gate.admit(now) == opening_verdict::cold);
        // This entry does not know the host.
        gate.on_hello({.registered = registration::absent, .wants_work = true},
                      now);
        CPPUNIT_ASSERT(gate.admit(now) == opening_verdict::cold);
        gate.on_hello(make_hello(), now);
        CPPUNIT_ASSERT(gate.admit(now) == opening_verdict::deliver);
    }

    // Guards against a fleet of earlier entries that can place nothing.
    void a_process_that_only_hears_earlier_builds_waits_one_second() {
        opening_gate gate(with_limit, start);
        CPPUNIT_ASSERT(gate.admit(start + seconds(1)) == opening_verdict::cold);
        CPPUNIT_ASSERT(gate.admit(start + seconds(1) + duration(1)) ==
                       opening_verdict::deliver);
    }

    // Guards against twice the limit in the second around a restart of the
    // process: it does not know what it delivered before.
    void after_a_restart_the_first_second_counts_as_full() {
        opening_gate gate(with_limit, start);
        gate.on_hello(cold_hello(10, seconds(20)), start + milliseconds(5));
        for (const int ms : {5, 500, 1000, 1100})
            CPPUNIT_ASSERT(gate.admit(start + milliseconds(ms)) ==
                           opening_verdict::cold);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{20},
            admit_many(gate, 50, start + window + duration(1)));
    }

    // Guards against an unlimited second when an entry that has just started
    // knows the registration but not the configuration.
    void an_entry_that_does_not_know_the_limit_does_not_open_the_gate() {
        opening_gate gate(with_limit, start);
        gate.on_hello(cold_hello(0, seconds(20)), start);
        CPPUNIT_ASSERT(gate.admit(start) == opening_verdict::cold);
        auto running = settled_gate();
        running.on_hello(cold_hello(10, seconds(20)), settled);
        running.on_hello(cold_hello(0, seconds(20)), settled);
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, admit_many(running, 50, settled));
    }

    void an_entry_that_lags_does_not_end_the_cold_time() {
        auto gate = settled_gate();
        gate.on_hello(cold_hello(10, seconds(20)), settled);
        gate.on_hello(make_hello(), settled);
        gate.on_hello(cold_hello(10, seconds(1)), settled);
        CPPUNIT_ASSERT(gate.is_cold(settled + seconds(19)));
    }

    // Guards against an alternating limit while entries have different
    // configurations, and against a limit that the operator cannot raise.
    void the_lowest_rate_counts_while_it_is_repeated() {
        auto gate = settled_gate();
        gate.on_hello(cold_hello(4, seconds(20)), settled);
        gate.on_hello(cold_hello(10, seconds(20)), settled);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{11}, gate.room(settled));
        const auto later = settled + seconds(2) + duration(1);
        gate.on_hello(cold_hello(10, seconds(18)), later);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{20}, gate.room(later));
    }

    // Guards against a burst between the boot of a host and the hello with its
    // new registration.
    void a_host_that_boots_anew_is_cold_before_its_registration() {
        auto gate = settled_gate();
        gate.on_hello(cold_hello(10, seconds(20)), settled);
        const auto again = settled + seconds(100);
        gate.on_host_started(again);
        // This entry still has the previous registration.
        gate.on_hello(make_hello(), again);
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, admit_many(gate, 50, again));
        CPPUNIT_ASSERT(gate.is_cold(again + seconds(19)));
        CPPUNIT_ASSERT(!gate.is_cold(again + seconds(20)));

        // No rate is known yet: nothing passes until an entry knows the host.
        auto without_rate = settled_gate();
        without_rate.on_host_started(settled);
        without_rate.on_hello(make_hello(), settled);
        CPPUNIT_ASSERT(without_rate.admit(settled) == opening_verdict::cold);
        without_rate.on_hello(cold_hello(10, seconds(20), unix_milliseconds(1)),
                              settled);
        CPPUNIT_ASSERT_EQUAL(std::size_t{20},
                             admit_many(without_rate, 50, settled));
    }

    // Guards against unlimited openings one second after the first boot of a
    // host beside its process, while no entry can learn of the boot because the
    // store is down.
    void the_first_boot_beside_a_running_process_is_limited() {
        const auto warm = make_hello(
            host_directive{.openings_per_second = 10, .warmup = seconds(20)});
        auto gate = settled_gate();
        gate.on_hello(warm, settled);
        CPPUNIT_ASSERT(!gate.is_cold(settled));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1000},
                             admit_many(gate, 1000, settled));
        const auto booted = settled + seconds(100);
        gate.on_host_started(booted);
        // Entries have the previous registration.
        gate.on_hello(warm, booted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, admit_many(gate, 50, booted));
        CPPUNIT_ASSERT_EQUAL(std::size_t{20},
                             admit_many(gate, 50, booted + seconds(19)));
        CPPUNIT_ASSERT(!gate.is_cold(booted + seconds(20)));
        // The last rate stated for the warm host counts; a lagging entry does
        // not raise it while the host is cold.
        const auto again = settled + seconds(200);
        gate.on_hello(make_hello(host_directive{.openings_per_second = 4,
                                                .warmup = seconds(20)}),
                      again);
        gate.on_host_started(again);
        gate.on_hello(warm, again);
        CPPUNIT_ASSERT_EQUAL(std::size_t{11}, admit_many(gate, 50, again));
    }

    void a_new_registration_replaces_the_assumed_cold_time() {
        auto gate = settled_gate();
        gate.on_hello(cold_hello(10, seconds(20)), settled);
        const unix_milliseconds second_boot(first_boot.value() + 100'000);
        const auto again = settled + seconds(100);
        gate.on_host_started(again);
        gate.on_hello(cold_hello(10, seconds(5), second_boot), again);
        CPPUNIT_ASSERT(gate.is_cold(again + seconds(4)));
        CPPUNIT_ASSERT(!gate.is_cold(again + seconds(5)));
        gate.on_host_started(again + seconds(50));
        gate.on_hello(
            make_hello({}, unix_milliseconds(first_boot.value() + 200'000)),
            again + seconds(50));
        CPPUNIT_ASSERT(!gate.is_cold(again + seconds(50)));
    }

    // Guards against unlimited openings at a host that had booted: hellos with
    // its old and new registration, and with none, arrived before its process
    // noticed the boot (found by relay_cold_host_test).
    void entries_that_lag_do_not_warm_a_host_that_boots_anew() {
        auto gate = settled_gate();
        const unix_milliseconds second_boot(first_boot.value() + 100'000);
        gate.on_hello(cold_hello(10, seconds(20), second_boot), settled);
        gate.on_hello({.registered = registration::absent, .wants_work = true},
                      settled);
        gate.on_host_started(settled);
        gate.on_hello(make_hello(), settled);
        CPPUNIT_ASSERT(gate.is_cold(settled + seconds(19)));
        CPPUNIT_ASSERT(!gate.is_cold(settled + seconds(20)));
    }

    // The times of the gate are of the steady clock. The host's start time is
    // of the wall clock, and only decides which entries know the present host.
    void steps_of_the_wall_clock_have_no_effect() {
        auto gate = settled_gate();
        gate.on_hello(cold_hello(10, seconds(20)), settled);
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, admit_many(gate, 50, settled));
        for (const auto started :
             {first_boot.value() - 3'600'000, first_boot.value() + 3'600'000}) {
            gate.on_hello(
                cold_hello(10, seconds(20), unix_milliseconds(started)),
                settled);
            CPPUNIT_ASSERT(gate.is_cold(settled + seconds(19)));
            CPPUNIT_ASSERT(!gate.is_cold(settled + seconds(20)));
            CPPUNIT_ASSERT_EQUAL(std::uint16_t{0}, gate.room(settled));
        }
        // A host whose clock was set back boots: its registration counts.
        gate.on_host_started(settled + seconds(50));
        gate.on_hello(cold_hello(10, seconds(20), unix_milliseconds(1)),
                      settled + seconds(50));
        CPPUNIT_ASSERT(gate.is_cold(settled + seconds(69)));
    }

    // Guards against an older view that undoes a newer one, in whatever order
    // the hellos of entries that lag arrive.
    void the_newest_position_of_an_evacuation_counts() {
        auto gate = settled_gate();
        gate.on_hello(evacuation_hello(20, true), settled);
        gate.on_hello(evacuation_hello(10, false), settled);
        // An entry that knows of no evacuation.
        gate.on_hello(evacuation_hello(0, false), settled);
        gate.on_hello(make_hello(), settled);
        CPPUNIT_ASSERT(gate.admit(settled) == opening_verdict::evacuated);
        gate.on_hello(evacuation_hello(30, false), settled);
        CPPUNIT_ASSERT(gate.admit(settled) == opening_verdict::deliver);
        gate.on_hello(evacuation_hello(20, true), settled);
        CPPUNIT_ASSERT(gate.admit(settled) == opening_verdict::deliver);
        CPPUNIT_ASSERT(gate.evacuation_position() == revision(30));
        // A restored store gives out numbers again, in a later era.
        gate.on_hello(
            make_hello(host_directive{.as_of = revision(5, store_era(2)),
                                      .evacuated = true}),
            settled);
        CPPUNIT_ASSERT(gate.admit(settled) == opening_verdict::evacuated);
    }

    void an_evacuation_is_set_lifted_and_set_again() {
        auto gate = settled_gate();
        for (std::uint64_t position = 1; position <= 6; ++position) {
            const bool evacuated = position % 2 == 1;
            gate.on_hello(evacuation_hello(position, evacuated), settled);
            CPPUNIT_ASSERT_EQUAL(evacuated, gate.is_evacuated(settled));
        }
    }

    // Guards against a host that no flow reaches because the entries that knew
    // the removal of the request no longer reach it.
    void an_unconfirmed_evacuation_ends_after_five_seconds() {
        auto gate = settled_gate();
        gate.on_hello(evacuation_hello(20, true), settled);
        gate.on_hello(evacuation_hello(20, true), settled + seconds(3));
        CPPUNIT_ASSERT(gate.is_evacuated(settled + seconds(8)));
        // An older position does not confirm it.
        gate.on_hello(evacuation_hello(10, true), settled + seconds(8));
        const auto expired = settled + seconds(8) + duration(1);
        CPPUNIT_ASSERT(gate.admit(expired) == opening_verdict::deliver);
        gate.on_hello(evacuation_hello(20, true), expired);
        CPPUNIT_ASSERT(gate.admit(expired) == opening_verdict::evacuated);
    }

    void an_evacuated_host_has_no_room() {
        opening_gate gate({}, start);
        gate.on_hello(evacuation_hello(20, true), start);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{0}, gate.room(start));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(opening_gate_test);

} // namespace arbutusport::relay
