// Guards against invalid record sets that are accepted, errors that do not name
// file and field, and burn rates that are combined incorrectly.

#include <arbutusport/ctl/burn_report.hpp>
#include <arbutusport/ctl/commands.hpp>
#include <arbutusport/ctl/record_directory.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace arbutusport::ctl {

namespace {

const std::string source_dir = ARBUTUSPORT_SOURCE_DIR;

std::string check_text(const std::string& records, int expected_exit) {
    std::ostringstream out;
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
        records, expected_exit,
        check({.records = records}, output_format::text, out));
    return out.str();
}

std::string slo_document(unsigned bad) {
    const std::string counts =
        R"({"good":99,"bad":)" + std::to_string(bad) + "}";
    return R"({"services":[{"name":"participa","objectives":[
        {"name":"flows_kept","target":0.99,"counts":{"5m":)" +
           counts + R"(,"1h":)" + counts + R"(,"30m":)" + counts + R"(,"6h":)" +
           counts + "}}]}]}";
}

} // namespace

class ctl_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ctl_test);
    CPPUNIT_TEST(accepts_the_examples);
    CPPUNIT_TEST(rejects_each_invalid_record_set);
    CPPUNIT_TEST(finds_lines_of_fields);
    CPPUNIT_TEST(adds_up_burn_rates);
    CPPUNIT_TEST(malformed_document_leaves_table_unchanged);
    CPPUNIT_TEST_SUITE_END();

public:
    void accepts_the_examples() {
        for (const char* it : {"consulta-sul", "van-houtkamp"})
            check_text(source_dir + "/examples/records/" + it, exit_success);
    }

    // Each directory contains one fault, which its name describes; expected.txt
    // contains the file and text of the expected error.
    void rejects_each_invalid_record_set() {
        namespace fs = std::filesystem;
        std::size_t n = 0;
        for (const auto& it : fs::directory_iterator(
                 source_dir + "/packages/arbutusctl/testdata/records")) {
            const auto text = check_text(it.path().string(), exit_findings);
            CPPUNIT_ASSERT_MESSAGE(text,
                                   text.find("1 errors") != std::string::npos);
            std::ifstream in(it.path() / "expected.txt");
            std::string expected;
            std::getline(in, expected);
            CPPUNIT_ASSERT_MESSAGE(it.path().string(), !expected.empty());
            CPPUNIT_ASSERT_MESSAGE(it.path().string() + ": " + text,
                                   text.find(expected) != std::string::npos);
            ++n;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, n);
    }

    void finds_lines_of_fields() {
        const char* json = "{\n \"a\": 1,\n \"hosts\": [\n  {\"x\": 1},\n"
                           "  {\"x\": \"}\",\n   \"y\": 2}]}\n";
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, line_of_field(json, "a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, line_of_field(json, "hosts[1].y"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, line_of_field(json, "hosts[1].z"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, line_of_field("{", "a.b"));
    }

    void adds_up_burn_rates() {
        burn_table table;
        CPPUNIT_ASSERT(add_slo_document(slo_document(1), "a", table));
        CPPUNIT_ASSERT(add_slo_document(slo_document(101), "b", table));
        const auto& it = table.at({"participa", "flows_kept"});
        // 102 bad of 300, where 1 in 100 is allowed.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(34.0, it.rate(0), 1e-9);
        CPPUNIT_ASSERT_EQUAL(std::string("fast"), std::string(it.alert()));
    }

    void malformed_document_leaves_table_unchanged() {
        burn_table table;
        const std::string good = slo_document(1);
        for (const std::string& it :
             {std::string("{"), std::string("{}"), std::string("[]"),
              good.substr(0, good.size() - 10)})
            CPPUNIT_ASSERT(handle_failure(
                [&]() -> result<bool> {
                    BOOST_LEAF_CHECK(add_slo_document(it, "p", table));
                    return false;
                },
                [](const failure&) { return true; }));
        CPPUNIT_ASSERT(table.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ctl_test);

} // namespace arbutusport::ctl
