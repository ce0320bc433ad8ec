// Command-line program of the emulated fabric.
//
// Example: arbutus_fabric --service 127.0.1.1:5683 --listen 127.0.0.1:7000
//          --entry 127.0.0.1:7101 --entry 127.0.0.1:7102
//          --admin 127.0.0.1:7001 --loss 0.01

#include <arbutusport/emulator/fabric.hpp>
#include <arbutusport/emulator/tool.hpp>

#include <exception>

namespace {

namespace po = boost::program_options;
using namespace arbutusport;
using namespace arbutusport::emulator;

struct command_line {
    std::vector<std::string> services;
    std::vector<std::string> entries;
    std::string listen;
    std::string admin;
    double delay_ms = 0;
    double jitter_ms = 0;
    int max_seconds = 600;
    fabric_options options;
};

duration from_ms(double ms) {
    return duration(static_cast<duration::rep>(ms * 1000));
}

po::options_description describe(command_line& it) {
    po::options_description all("arbutus_fabric");
    all.add_options()("help", "show this text")(
        "service", po::value(&it.services)->required(),
        "ip:port that clients send to; repeatable")(
        "entry", po::value(&it.entries)->required(),
        "ip:port where an entry receives; repeatable")(
        "listen", po::value(&it.listen)->required(),
        "ip:port that entries send answers to")("admin", po::value(&it.admin),
                                                "ip:port for tests (HTTP)")(
        "loss", po::value(&it.options.quality.loss), "ratio of lost datagrams")(
        "duplicate", po::value(&it.options.quality.duplicate),
        "ratio of duplicated datagrams")("delay-ms", po::value(&it.delay_ms),
                                         "delay of each datagram")(
        "jitter-ms", po::value(&it.jitter_ms), "largest extra delay")(
        "seed", po::value(&it.options.seed), "seed of every random choice")(
        "max-seconds", po::value(&it.max_seconds),
        "exit after this many seconds");
    return all;
}

void run(command_line& it) {
    constexpr auto poll_interval = std::chrono::milliseconds(20);
    it.options.services = loopback_endpoints(it.services);
    it.options.entries = loopback_endpoints(it.entries);
    it.options.listen = loopback_endpoint(it.listen);
    it.options.quality.delay = from_ms(it.delay_ms);
    it.options.quality.jitter = from_ms(it.jitter_ms);
    const tool_lifetime lifetime{std::chrono::seconds(it.max_seconds)};
    fabric emulated_fabric(it.options);
    std::unique_ptr<http_server> admin;
    if (!it.admin.empty())
        admin = std::make_unique<http_server>(
            loopback_endpoint(it.admin), [&](const http_call& call) {
                return emulated_fabric.on_admin(call);
            });
    while (!lifetime.stopped(std::chrono::milliseconds(0)))
        emulated_fabric.step(poll_interval);
}

} // namespace

int main(int argc, char** argv) {
    command_line it;
    return run_tool(argc, argv, describe(it), [&] { run(it); });
}
