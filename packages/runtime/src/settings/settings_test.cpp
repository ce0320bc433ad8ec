// Guards against invalid settings files that are accepted, or rejected with an
// error that does not name file, section and key: operators must be able to
// repair a file without reading the code.

#include <arbutusport/settings/settings.hpp>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>

namespace arbutusport::settings {

namespace {

struct invalid_file {
    const char* name;
    const char* section;
    const char* key;
    const char* expected;
};

constexpr std::array invalid_files{
    invalid_file{"unknown_section", "platfrom", "address",
                 "known section is platform"},
    invalid_file{"unknown_key", "host", "upsteam", "known key is upstream"},
    invalid_file{"duplicate_key", "process", "region", "duplicate key"},
    invalid_file{"wrong_unit_in_key", "host", "drain_timeout_ms", "wrong unit"},
    invalid_file{"wrong_unit_in_value", "host", "drain_timeout_s", "30ms"},
    invalid_file{"out_of_range", "limits", "max_flows", "1..1000000"},
    invalid_file{"missing_value", "host", "service", "no value"},
    invalid_file{"missing_key", "listen", "control", "nothing"},
    invalid_file{"bad_endpoint", "listen", "packets", "localhost:4811"},
    invalid_file{"key_of_other_role", "listen", "fabric", "not for role host"},
};

std::string source_path(const std::string& name) {
    return std::string(ARBUTUSPORT_SOURCE_DIR) + "/" + name;
}

std::string error_of(const std::string& path) {
    return handle_failure(
        [&]() -> result<std::string> {
            BOOST_LEAF_CHECK(read_settings(path));
            return std::string("accepted");
        },
        [](const failure& it) { return it.peer + ": " + it.reason; });
}

} // namespace

class settings_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(settings_test);
    CPPUNIT_TEST(rejects_each_invalid_file);
    CPPUNIT_TEST(reads_the_examples);
    CPPUNIT_TEST_SUITE_END();

public:
    void rejects_each_invalid_file() {
        for (const auto& it : invalid_files) {
            const auto path =
                source_path("packages/runtime/testdata/settings/" +
                            std::string(it.name) + ".ini");
            const std::string text = error_of(path);
            const std::string place =
                std::string("section=") + it.section + " key=" + it.key + " ";
            for (const auto& part : {path, place, std::string(it.expected)})
                CPPUNIT_ASSERT_MESSAGE(text,
                                       text.find(part) != std::string::npos);
            CPPUNIT_ASSERT(text.find('\n') == std::string::npos);
        }
    }

    // Operators start from the example files, so they must be valid.
    void reads_the_examples() {
        const auto host =
            read_settings(source_path("examples/settings/host.ini")).value();
        CPPUNIT_ASSERT(host.role == process_role::host);
        CPPUNIT_ASSERT_EQUAL(std::string("participa"), host.service);
        CPPUNIT_ASSERT(host.drain_timeout == std::chrono::seconds(30));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.seeds.size());
        const auto entry =
            read_settings(source_path("examples/settings/entry.ini")).value();
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:4600"),
                             to_string(entry.fabric));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_test);

} // namespace arbutusport::settings
