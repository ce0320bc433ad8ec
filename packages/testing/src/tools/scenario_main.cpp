// Runs scenario files and prints their figures.

#include <arbutusport/emulator/history_io.hpp>
#include <arbutusport/emulator/scenario_runner.hpp>

#include <boost/program_options.hpp>

#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace {

namespace po = boost::program_options;
using namespace arbutusport;
using namespace arbutusport::emulator;

struct arguments {
    std::vector<std::string> files;
    std::string records = "examples/records";
    std::string history;
    std::string record;
    std::string process;
    std::optional<std::uint64_t> seed;
    bool quiet = false;
};

scenario read_scenario(const std::string& path) {
    std::ifstream in(path);
    if (!in)
        throw std::runtime_error(path + ": cannot be read");
    const std::string text{std::istreambuf_iterator<char>(in), {}};
    return handle_failure([&] { return parse_scenario(path, text); },
                          [](const failure& it) -> scenario {
                              throw std::runtime_error(it.peer + ": " +
                                                       it.reason);
                          });
}

bool run(const std::string& path, const arguments& args) {
    scenario plan = read_scenario(path);
    if (args.seed)
        plan.seed = *args.seed;
    std::ofstream trace;
    std::optional<recording> record;
    if (!args.record.empty()) {
        trace.open(args.record, std::ios::binary);
        if (!trace)
            throw std::runtime_error(args.record + ": cannot be written");
        record.emplace(recording{args.process, trace});
    }
    const auto outcome = run_scenario(plan, args.records, record);
    std::cout << (outcome.passed() ? "passed " : "FAILED ") << path
              << " seed=" << plan.seed << '\n';
    if (!args.quiet)
        for (const auto& [name, value] : outcome.figures)
            std::cout << "  " << name << '=' << value << '\n';
    for (const auto& it : outcome.unmet)
        std::cout << "  " << to_string(it) << '\n';
    std::size_t shown = 0;
    for (const auto& it : outcome.violations)
        if (shown++ < 10)
            std::cout << "  " << to_string(it.kind) << ' ' << it.request << ": "
                      << it.reason << '\n';
    if (!args.history.empty()) {
        std::ofstream out(args.history);
        write_history(outcome.events, out);
    }
    return outcome.passed();
}

} // namespace

int main(int argc, char** argv) {
    arguments args;
    std::uint64_t seed = 0;
    po::options_description options("arbutus_scenario FILE...");
    options.add_options()("help", "show this text")(
        "file", po::value(&args.files), "scenario files")(
        "records", po::value(&args.records), "root of the record directories")(
        "seed", po::value(&seed), "overrides the seed of the file")(
        "history", po::value(&args.history), "write the history to a file")(
        "record", po::value(&args.record),
        "write a trace of the process to a file")(
        "process", po::value(&args.process), "the process to record")(
        "quiet", po::bool_switch(&args.quiet), "print unmet expectations only");
    po::positional_options_description positional;
    positional.add("file", -1);
    try {
        po::variables_map values;
        po::store(po::command_line_parser(argc, argv)
                      .options(options)
                      .positional(positional)
                      .run(),
                  values);
        po::notify(values);
        if (values.contains("help")) {
            std::cout << options;
            return 0;
        }
        if (values.contains("record") != values.contains("process") ||
            (values.contains("record") && args.files.size() != 1))
            throw std::runtime_error(
                "--record and --process go together, with one scenario");
        if (values.contains("seed"))
            args.seed = seed;
        bool passed = !args.files.empty();
        for (const std::string& it : args.files)
            passed = run(it, args) && passed;
        return passed ? 0 : 1;
    } catch (const std::exception& it) {
        std::cerr << "arbutus_scenario: " << it.what() << '\n';
        return 2;
    }
}
