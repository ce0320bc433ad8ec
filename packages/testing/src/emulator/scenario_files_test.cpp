// Runs every scenario file in scenarios/ as one test; each file names the
// invariants that it checks.

#include <arbutusport/emulator/scenario_runner.hpp>

#include <cppunit/TestCase.h>
#include <cppunit/TestSuite.h>
#include <cppunit/extensions/HelperMacros.h>
#include <cppunit/extensions/TestFactory.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

namespace arbutusport::emulator {

namespace {

namespace fs = std::filesystem;

const std::string source_dir = ARBUTUSPORT_SOURCE_DIR;

class scenario_file_test : public CppUnit::TestCase {
public:
    explicit scenario_file_test(fs::path path)
        : TestCase("scenario::" + path.stem().string()),
          path_(std::move(path)) {}

    void runTest() override {
        std::ifstream in(path_);
        const std::string text{std::istreambuf_iterator<char>(in), {}};
        const scenario plan = handle_failure(
            [&] { return parse_scenario(path_.filename().string(), text); },
            [](const failure& it) -> scenario {
                CPPUNIT_FAIL(it.peer + ": " + it.reason);
                return {};
            });
        const auto outcome =
            run_scenario(plan, source_dir + "/examples/records");
        std::string unmet;
        for (const auto& it : outcome.unmet)
            unmet += to_string(it) + "; ";
        CPPUNIT_ASSERT_MESSAGE(unmet, outcome.passed());
    }

private:
    fs::path path_;
};

class scenario_factory : public CppUnit::TestFactory {
public:
    CppUnit::Test* makeTest() override {
        std::vector<fs::path> files;
        for (const auto& it : fs::directory_iterator(source_dir + "/scenarios"))
            if (it.path().extension() == ".scenario")
                files.push_back(it.path());
        std::ranges::sort(files);
        auto* suite = new CppUnit::TestSuite("scenarios");
        for (const auto& it : files)
            suite->addTest(new scenario_file_test(it));
        return suite;
    }
};

scenario_factory factory;

// Registers the factory when the program starts.
const bool registered = [] {
    CppUnit::TestFactoryRegistry::getRegistry().registerFactory(&factory);
    return true;
}();

} // namespace

} // namespace arbutusport::emulator
