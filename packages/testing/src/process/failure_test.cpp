// Guards real processes under load against failures: killed, paused and
// restarted processes, a planned drain, platform outages and a changed source
// port. Each test ends with the history checker.

#include <arbutusport/emulator/deployment.hpp>
#include <arbutusport/emulator/http.hpp>
#include <arbutusport/emulator/tool.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <iostream>
#include <thread>

namespace arbutusport::emulator {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A process must apply a new configuration within this time (design, 1.5).
constexpr auto max_apply_time = seconds(19);

void pause_test(duration length) {
    std::this_thread::sleep_for(length);
}

load_settings light_load(duration length) {
    load_settings it;
    it.clients = 10;
    it.rate = 30;
    it.length = length;
    it.large_texts = 0;
    return it;
}

// Prints the first violations, since their number alone does not explain the
// failure.
void assert_no_violations(deployment& it, const load_result& got) {
    const bool ok = got.violations.empty() && got.summary.total.timeout == 0 &&
                    got.summary.total.answered > 0;
    if (!ok) {
        it.keep_files();
        std::cout << to_string(got.summary) << " files=" << it.directory()
                  << '\n';
        constexpr std::size_t shown = 5;
        for (std::size_t i = 0; i < got.violations.size() && i < shown; ++i)
            std::cout << "violation=" << to_string(got.violations[i].kind)
                      << " request=" << got.violations[i].request
                      << " reason=\"" << got.violations[i].reason << "\"\n";
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, got.violations.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, got.summary.total.timeout);
    CPPUNIT_ASSERT(got.summary.total.answered > 0);
}

// Generation in force at a process, read from its health page.
std::string read_generation(const endpoint& metrics) {
    const auto text = http_request(metrics, "GET", "/health").body;
    const auto page = nlohmann::json::parse(text, nullptr, false);
    return page.is_object() ? page.value("generation", "") : "";
}

bool wait_until_all_reach(const deployment& it, const std::string& generation) {
    const time_point end = monotonic_now() + max_apply_time;
    while (monotonic_now() < end) {
        bool all = true;
        for (const auto& [name, metrics] : it.layout().metrics)
            all = all && read_generation(metrics) == generation;
        if (all)
            return true;
        pause_test(milliseconds(100));
    }
    return false;
}

} // namespace

class failure_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(failure_test);
    CPPUNIT_TEST(serves_without_failures);
    CPPUNIT_TEST(survives_the_kill_of_an_entry);
    CPPUNIT_TEST(survives_the_kill_of_a_host);
    CPPUNIT_TEST(survives_the_pause_of_a_host);
    CPPUNIT_TEST(survives_the_pause_of_an_entry);
    CPPUNIT_TEST(survives_the_restart_of_a_host);
    CPPUNIT_TEST(drains_a_host_by_record);
    CPPUNIT_TEST(serves_while_the_platform_is_down);
    CPPUNIT_TEST(keeps_a_newer_configuration_than_a_stale_platform);
    CPPUNIT_TEST(keeps_a_session_over_a_new_source_port);
    CPPUNIT_TEST_SUITE_END();

public:
    void serves_without_failures() {
        deployment it;
        it.start_load(light_load(seconds(3)));
        const load_result got = it.finish_load();
        assert_no_violations(it, got);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, got.summary.total.unknown);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, got.summary.total.broken_flows);
    }

    void survives_the_kill_of_an_entry() {
        deployment it;
        it.start_load(light_load(seconds(5)));
        pause_test(seconds(1));
        it.kill("entry-1");
        // Delays the fabric's detection of the killed entry.
        pause_test(seconds(1));
        it.set_entries({"entry-2", "entry-3"});
        const load_result got = it.finish_load();
        assert_no_violations(it, got);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, got.summary.total.unknown);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, got.summary.total.broken_flows);
    }

    void survives_the_kill_of_a_host() {
        deployment it;
        it.start_load(light_load(seconds(5)));
        pause_test(seconds(1));
        it.kill("participa-2");
        assert_no_violations(it, it.finish_load());
    }

    void survives_the_pause_of_a_host() { pause_process("participa-1"); }
    void survives_the_pause_of_an_entry() { pause_process("entry-2"); }

    void survives_the_restart_of_a_host() {
        deployment it;
        it.start_load(light_load(seconds(5)));
        pause_test(seconds(1));
        it.kill("participa-3");
        it.restart("participa-3");
        assert_no_violations(it, it.finish_load());
        CPPUNIT_ASSERT(it.is_running("participa-3"));
    }

    // Running requests finish, and after a few seconds no request starts at
    // the draining host.
    void drains_a_host_by_record() {
        deployment it({.drain_timeout_s = 2});
        it.start_load(light_load(seconds(8)));
        pause_test(seconds(1));
        it.drain("participa", "participa-1");
        const load_result got = it.finish_load();
        assert_no_violations(it, got);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, got.summary.total.unknown);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, got.summary.total.broken_flows);
    }

    // During the outage the last valid configuration stays in force; afterwards
    // all processes apply the new one.
    void serves_while_the_platform_is_down() {
        deployment it;
        it.start_load(light_load(seconds(4)));
        const auto& all = it.layout().metrics;
        const std::string before = read_generation(all.begin()->second);
        it.set_platform("down");
        const std::string published = publish_again(it);
        pause_test(seconds(2));
        for (const auto& [name, metrics] : all)
            CPPUNIT_ASSERT_EQUAL(before, read_generation(metrics));
        it.set_platform("up");
        CPPUNIT_ASSERT(wait_until_all_reach(it, published));
        assert_no_violations(it, it.finish_load());
    }

    // Readers in two data centres only receive old records. They must take the
    // new ones from their peers and must not return to the old ones.
    void keeps_a_newer_configuration_than_a_stale_platform() {
        deployment it;
        it.start_load(light_load(seconds(4)));
        it.set_platform("stale");
        it.set_platform("up", "poa-a");
        const std::string published = publish_again(it);
        CPPUNIT_ASSERT(wait_until_all_reach(it, published));
        pause_test(seconds(2));
        for (const auto& [name, metrics] : it.layout().metrics)
            CPPUNIT_ASSERT_EQUAL(published, read_generation(metrics));
        assert_no_violations(it, it.finish_load());
    }

    void keeps_a_session_over_a_new_source_port() {
        deployment it;
        load_settings load = light_load(seconds(4));
        load.observers = 0;
        load.rebind = 0.5;
        load.rebind_at = seconds(2);
        it.start_load(load);
        const load_result got = it.finish_load();
        assert_no_violations(it, got);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, got.summary.total.unknown);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, got.summary.total.broken_flows);
    }

private:
    static void pause_process(const std::string& name) {
        deployment it;
        it.start_load(light_load(seconds(6)));
        pause_test(seconds(1));
        it.signal(name, SIGSTOP);
        pause_test(seconds(3));
        it.signal(name, SIGCONT);
        assert_no_violations(it, it.finish_load());
    }

    // Publishes the same record under a newer generation.
    static std::string publish_again(deployment& it) {
        const std::string key = "service/acervo";
        return it.publish(key, it.layout().records.at(key));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(failure_test);

} // namespace arbutusport::emulator
