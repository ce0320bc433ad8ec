// Guards against wrong metrics text, burn rates or status documents, which
// collectors and alerts rely on.

#include <arbutusport/telemetry/metrics.hpp>
#include <arbutusport/telemetry/slo_burn.hpp>
#include <arbutusport/telemetry/status.hpp>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace arbutusport::telemetry {

namespace {

using namespace std::chrono_literals;

constexpr time_point start{100h};

slo_burn make_burn(double target) {
    records::snapshot it;
    records::service service;
    service.name = "participa";
    service.service_objectives.requests_served = target;
    it.services.push_back(service);
    slo_burn out;
    out.set_snapshot(it);
    return out;
}

} // namespace

class telemetry_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(telemetry_test);
    CPPUNIT_TEST(text_lists_every_metric);
    CPPUNIT_TEST(latency_quantiles_are_close);
    CPPUNIT_TEST(windows_exclude_old_minutes);
    CPPUNIT_TEST(alerts_require_both_windows);
    CPPUNIT_TEST(new_configuration_keeps_counts);
    CPPUNIT_TEST(status_is_json);
    CPPUNIT_TEST_SUITE_END();

public:
    void text_lists_every_metric() {
        metrics it;
        it.count("arbutus_packets_total") += 3;
        it.drop_counter("tag") += 2;
        it.add_gauge("arbutus_flows", [] { return 7.0; });
        it.latency("arbutus_request_ms").add(4ms);
        const std::string text = it.text();
        for (const char* line :
             {"# TYPE arbutus_packets_total counter\n"
              "arbutus_packets_total 3\n",
              "arbutus_drops_total{reason=\"tag\"} 2\n",
              "# TYPE arbutus_flows gauge\narbutus_flows 7\n",
              "arbutus_request_ms{quantile=\"0.99\"} 4\n",
              "arbutus_request_ms_sum 4\n", "arbutus_request_ms_count 1\n"})
            CPPUNIT_ASSERT_MESSAGE(text, text.find(line) != std::string::npos);
    }

    void latency_quantiles_are_close() {
        latency_statistics it;
        // A permutation of 1..1009 ms; 1009 is prime.
        for (int i = 1; i <= 1009; ++i)
            it.add(std::chrono::milliseconds(1 + i * 400 % 1009));
        const auto summary = it.read();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1009}, summary.count);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(505, summary.median_ms, 25);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(999, summary.p99_ms, 25);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1009, summary.max_ms, 0);
    }

    void windows_exclude_old_minutes() {
        event_ring it;
        it.add(9, 1, start);
        it.add(10, 0, start + 4min);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, it.sum(5min, start + 4min).bad);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, it.sum(5min, start + 5min).bad);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, it.sum(1h, start + 59min).bad);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, it.sum(1h, start + 60min).bad);
        // The bucket is reused after six hours.
        it.add(1, 0, start + 6h);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, it.sum(6h, start + 6h).bad);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{11}, it.sum(6h, start + 6h).good);
    }

    // A short burst of errors in an otherwise good hour must not alert; a
    // sustained one must.
    void alerts_require_both_windows() {
        slo_burn it = make_burn(0.999);
        const auto add = [&](std::uint64_t good, std::uint64_t bad,
                             time_point at) {
            it.add("participa", objective::requests_served, good, bad, at);
        };
        const auto rates = [&](time_point at) {
            return it.rates("participa", objective::requests_served, at);
        };
        for (int i = 0; i < 60; ++i)
            add(1000, 0, start + i * 1min);
        add(950, 50, start + 60min);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10, rates(start + 60min).over_5_min, 0.1);
        CPPUNIT_ASSERT(!rates(start + 60min).fast());
        for (int i = 61; i < 90; ++i)
            add(950, 50, start + i * 1min);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(50, rates(start + 89min).over_5_min, 0.1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(25, rates(start + 89min).over_1_h, 0.1);
        CPPUNIT_ASSERT(rates(start + 89min).fast());
        CPPUNIT_ASSERT(rates(start + 89min).slow());
    }

    // Configurations change hundreds of times a day. If each change reset the
    // counts, the long windows would never fill.
    void new_configuration_keeps_counts() {
        slo_burn it = make_burn(0.99);
        it.add("participa", objective::requests_served, 90, 10, start);
        records::snapshot next;
        next.services.resize(1);
        next.services[0].name = "participa";
        next.services[0].service_objectives.requests_served = 0.9;
        it.set_snapshot(next);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            1,
            it.rates("participa", objective::requests_served, start).over_5_min,
            1e-9);
        const auto doc = nlohmann::json::parse(it.to_json(start));
        const auto& goal = doc["services"][0]["objectives"][1];
        CPPUNIT_ASSERT(goal["name"] == "requests_served");
        CPPUNIT_ASSERT(goal["counts"]["6h"]["bad"] == 10);
    }

    void status_is_json() {
        status_report it;
        it.name = "a\"b";
        it.in_force = generation{1, 7};
        it.refused = refused_generation{{1, 8}, "field weight"};
        const auto doc = nlohmann::json::parse(to_json(it));
        CPPUNIT_ASSERT(doc["name"] == "a\"b");
        CPPUNIT_ASSERT(doc["generation"] == "1.7");
        CPPUNIT_ASSERT(doc["refused"]["reason"] == "field weight");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(telemetry_test);

} // namespace arbutusport::telemetry
