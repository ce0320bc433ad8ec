// Load generator for many clients of one or more services. Prints a summary as
// key=value pairs.
//
// Example: arbutus_client --service participa=127.0.0.1:5683 --clients 20
//          --rate 50 --seconds 10 --history client.jsonl

#include <arbutusport/emulator/history_file.hpp>
#include <arbutusport/emulator/load_generator.hpp>
#include <arbutusport/emulator/tool.hpp>

#include <exception>
#include <iostream>

namespace {

namespace po = boost::program_options;
using namespace arbutusport;
using namespace arbutusport::emulator;

struct command_line {
    std::vector<std::string> services;
    std::string history;
    double seconds = 10;
    double rebind_at_s = 5;
    int ack_timeout_ms = 2000;
    int request_timeout_ms = 30000;
    int deadline_ms = 0;
    int max_seconds = 600;
    load_settings settings;
};

po::options_description describe(command_line& it) {
    load_settings& load = it.settings;
    po::options_description all("arbutus_client");
    auto add = all.add_options();
    add("help", "show this text");
    add("service", po::value(&it.services)->required(),
        "name=ip:port; repeatable");
    add("clients", po::value(&load.clients), "clients of each service");
    add("rate", po::value(&load.rate), "requests/s to each service");
    add("seconds", po::value(&it.seconds), "length of the load");
    add("contributions", po::value(&load.contributions),
        "share of contributions; the other requests read texts");
    add("large-texts", po::value(&load.large_texts),
        "share of the texts that are large");
    add("observers", po::value(&load.observers),
        "share of the clients that observe deadlines");
    add("rebind", po::value(&load.rebind),
        "share of the clients that change their source port");
    add("rebind-at-s", po::value(&it.rebind_at_s),
        "seconds until these clients change it");
    add("ack-timeout-ms", po::value(&it.ack_timeout_ms),
        "time until the first retransmission");
    add("request-timeout-ms", po::value(&it.request_timeout_ms),
        "time after which a request without an outcome is lost");
    add("deadline-ms", po::value(&it.deadline_ms),
        "deadline option of each request; 0 for none");
    add("prefix", po::value(&load.prefix), "prefix of each client name");
    add("history", po::value(&it.history), "written at the end and on SIGTERM");
    add("seed", po::value(&load.seed), "seed of every random choice");
    add("max-seconds", po::value(&it.max_seconds),
        "exit after this many seconds");
    return all;
}

service_target parse_target(const std::string& text) {
    const auto equal = text.find('=');
    if (equal == std::string::npos)
        throw po::error("service " + text + " is not name=ip:port");
    return {text.substr(0, equal), loopback_endpoint(text.substr(equal + 1))};
}

duration from_seconds(double seconds) {
    return duration(static_cast<duration::rep>(seconds * 1e6));
}

void run(command_line& it) {
    load_settings& load = it.settings;
    for (const std::string& one : it.services)
        load.services.push_back(parse_target(one));
    if (load.clients == 0)
        throw po::error("clients=0; at least 1 is needed");
    load.length = from_seconds(it.seconds);
    load.rebind_at = from_seconds(it.rebind_at_s);
    load.client.ack_timeout = std::chrono::milliseconds(it.ack_timeout_ms);
    load.client.request_timeout =
        std::chrono::milliseconds(it.request_timeout_ms);
    load.client.deadline = std::chrono::milliseconds(it.deadline_ms);
    const tool_lifetime lifetime{std::chrono::seconds(it.max_seconds)};
    load_generator generator(load);
    bool stopped = false;
    generator.run([&] {
        stopped = stopped || lifetime.stopped(std::chrono::milliseconds(0));
        return stopped;
    });
    if (!it.history.empty())
        save_history(generator.events(), it.history);
    std::cout << to_string(generator.summary()) << std::endl;
}

} // namespace

int main(int argc, char** argv) {
    command_line it;
    return run_tool(argc, argv, describe(it), [&] { run(it); });
}
