// Replays recorded traces and checks expected outcomes.

#include <arbutusport/emulator/trace_replay.hpp>

#include <boost/program_options.hpp>

#include <fstream>
#include <iostream>
#include <iterator>
#include <stdexcept>
#include <string>
#include <vector>

namespace {

namespace po = boost::program_options;
using namespace arbutusport;
using namespace arbutusport::emulator;

[[noreturn]] void throw_failure(const failure& it) {
    throw std::runtime_error(it.peer + ": " + it.reason);
}

trace load(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    if (!in)
        throw std::runtime_error(path + ": cannot be read");
    const bytes data{std::istreambuf_iterator<char>(in), {}};
    return handle_failure(
        [&] { return read_trace(path, data); },
        [](const failure& it) -> trace { throw_failure(it); });
}

bool run(const std::string& path, const std::vector<std::string>& outcomes) {
    const auto done = replay(load(path));
    bool passed = !done.difference;
    std::cout << (passed ? "same " : "DIFFERENT ") << path
              << " events=" << done.events << '\n';
    if (done.difference)
        std::cout << "  " << to_string(*done.difference) << '\n';
    for (const std::string& it : outcomes) {
        const bool holds = handle_failure(
            [&] { return check_outcome(it, done); },
            [](const failure& why) -> bool { throw_failure(why); });
        if (!holds)
            std::cout << "  expected " << it << '\n';
        passed = passed && holds;
    }
    for (const auto& [kind, n] : done.counts)
        std::cout << "  " << kind << '=' << n << '\n';
    return passed;
}

} // namespace

int main(int argc, char** argv) {
    std::vector<std::string> files;
    std::vector<std::string> outcomes;
    po::options_description options("arbutus_replay FILE...");
    options.add_options()("help", "show this text")("file", po::value(&files),
                                                    "trace files")(
        "expect", po::value(&outcomes),
        "an outcome such as dropped:wrong_service==0; may be repeated");
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
        bool passed = !files.empty();
        for (const std::string& it : files)
            passed = run(it, outcomes) && passed;
        return passed ? 0 : 1;
    } catch (const std::exception& it) {
        std::cerr << "arbutus_replay: " << it.what() << '\n';
        return 2;
    }
}
