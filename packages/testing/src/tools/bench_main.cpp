// Runs the benchmarks of all areas, or of the areas on the command line, and
// prints their figures.

#include <arbutusport/emulator/bench.hpp>

#include <boost/program_options.hpp>

#include <algorithm>
#include <iostream>
#include <map>
#include <string>
#include <vector>

namespace {

namespace po = boost::program_options;
using namespace arbutusport::emulator;

using bench_function = void (*)(std::uint64_t, const figure_sink&);

const std::map<std::string, bench_function> areas{
    {"routing", bench_routing},   {"config", bench_config},
    {"requests", bench_requests}, {"path", bench_path},
    {"control", bench_control},   {"flow_control", bench_flow_control},
    {"process", bench_process},   {"work", bench_work},
};

} // namespace

int main(int argc, char** argv) {
    po::options_description options("arbutus_bench [area...]");
    std::uint64_t seed = 1;
    std::vector<std::string> chosen;
    options.add_options()("help", "show this text")(
        "seed", po::value(&seed), "seed of every random choice")(
        "area", po::value(&chosen),
        "routing, config, requests, path, control, flow_control, process or "
        "work");
    po::positional_options_description positional;
    positional.add("area", -1);
    po::variables_map values;
    try {
        po::store(po::command_line_parser(argc, argv)
                      .options(options)
                      .positional(positional)
                      .run(),
                  values);
        po::notify(values);
    } catch (const po::error& it) {
        std::cerr << "arbutus_bench: " << it.what() << '\n';
        return 2;
    }
    if (values.contains("help")) {
        std::cout << options;
        return 0;
    }
    const figure_sink sink = [](const figure& it) {
        std::cout << to_string(it) << std::endl;
    };
    for (const auto& name : chosen)
        if (!areas.contains(name)) {
            std::cerr << "arbutus_bench: unknown area " << name << '\n';
            return 2;
        }
    for (const auto& [name, run] : areas)
        if (chosen.empty() || std::ranges::find(chosen, name) != chosen.end())
            run(seed, sink);
    return 0;
}
