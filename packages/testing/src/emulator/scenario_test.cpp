// Guards the scenario parser: a misspelled statement must fail to parse, since
// the scenario would otherwise run without its faults and pass.

#include <arbutusport/emulator/scenario.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace arbutusport::emulator {

namespace {

std::string error_of(const std::string& text) {
    return handle_failure(
        [&]() -> result<std::string> {
            BOOST_LEAF_CHECK(parse_scenario("s", text));
            return std::string();
        },
        [](const failure& it) { return it.peer + " " + it.reason; });
}

} // namespace

class scenario_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(scenario_test);
    CPPUNIT_TEST(parses_every_kind_of_statement);
    CPPUNIT_TEST(rejects_malformed_lines);
    CPPUNIT_TEST_SUITE_END();

public:
    void parses_every_kind_of_statement() {
        const scenario it =
            parse_scenario("s",
                           "proves R1 R5\nseed 9\nloss 0.01  # link loss\n"
                           "clients 40 participa every 200ms observers 10\n"
                           "at 2s freeze participa-2 for 3s\n"
                           "at 3s cut entry-1,entry-2 from participa* for 1s\n"
                           "expect double_runs == 0\n")
                .value();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, it.seed);
        CPPUNIT_ASSERT_EQUAL(0.01, it.links.loss);
        CPPUNIT_ASSERT_EQUAL(40U, it.loads.at(0).clients);
        CPPUNIT_ASSERT_EQUAL(10U, it.loads.at(0).observers);
        CPPUNIT_ASSERT(it.steps.at(0).kind == step_kind::freeze);
        CPPUNIT_ASSERT(it.steps.at(0).lasting == std::chrono::seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.steps.at(1).subjects.size());
        CPPUNIT_ASSERT_EQUAL(std::string("participa*"),
                             it.steps.at(1).arguments.at(0));
        CPPUNIT_ASSERT(it.expectations.at(0).relation == comparison::equal);
    }

    void rejects_malformed_lines() {
        const std::string tail = "\nexpect double_runs == 0\n";
        for (const char* line :
             {"at 1s explode entry-1", "at 1s kill", "at one kill entry-1",
              "at 1s freeze entry-1 for", "at 1s cut entry-1", "seed -1",
              "loss 1.5", "clients 3 participa", "colour red",
              "clients 3 participa every 1s contributions 60 observers 50",
              "expect double_runs != 0"})
            CPPUNIT_ASSERT_MESSAGE(line,
                                   error_of(line + tail).starts_with("s:1 "));
        CPPUNIT_ASSERT(!error_of("seed 1").empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(scenario_test);

} // namespace arbutusport::emulator
