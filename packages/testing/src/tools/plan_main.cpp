// Writes the records and settings of a small example deployment, and prints one
// line "<name> <program> <argument>..." for each process to start.
//
// Example: arbutus_plan --directory /tmp/demo --programs build

#include <arbutusport/emulator/plan.hpp>
#include <arbutusport/emulator/tool.hpp>

#include <exception>
#include <iostream>

int main(int argc, char** argv) {
    namespace po = boost::program_options;
    using namespace arbutusport::emulator;

    plan_options options;
    // Only the address is used; the port is ignored.
    std::string address = "127.100.0.1:1";
    std::string drain;
    po::options_description all("arbutus_plan");
    auto add = all.add_options();
    add("help", "show this text");
    add("directory", po::value(&options.directory)->required(),
        "where records/, settings/ and histories go");
    add("programs", po::value(&options.programs)->required(),
        "directory of the programs");
    add("address", po::value(&address), "loopback address, as ip:1");
    add("max-seconds", po::value(&options.max_seconds),
        "emulated processes exit after this many seconds");
    add("drain", po::value(&drain),
        "only print the record of participa with this host draining");
    po::variables_map values;
    int status = 0;
    if (!parse_command_line(argc, argv, all, values, status))
        return status;
    try {
        options.address = loopback_endpoint(address).address;
        const plan it = make_plan(options);
        if (!drain.empty()) {
            std::cout << with_host_state(it.records.at("service/participa"),
                                         drain, "draining")
                      << '\n';
            return 0;
        }
        write_files(it, options.directory);
        for (const planned_process& one : it.processes) {
            std::cout << one.name << ' ' << one.program;
            for (const std::string& argument : one.arguments)
                std::cout << ' ' << argument;
            std::cout << '\n';
        }
    } catch (const std::exception& it) {
        std::cerr << "arbutus_plan: " << it.what() << '\n';
        return 1;
    }
    return 0;
}
