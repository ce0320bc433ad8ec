// Command-line program of the emulated platform.
//
// Example: arbutus_platform --listen 127.0.0.1:8500 --admin 127.0.0.1:8501
//          --records examples/records

#include <arbutusport/emulator/platform.hpp>
#include <arbutusport/emulator/tool.hpp>

#include <exception>
#include <iostream>

int main(int argc, char** argv) {
    namespace po = boost::program_options;
    using namespace arbutusport::emulator;

    platform_options options;
    std::string listen;
    std::string admin;
    int max_seconds = 600;
    po::options_description all("arbutus_platform");
    all.add_options()("help", "show this text")(
        "listen", po::value(&listen)->required(), "ip:port for readers")(
        "admin", po::value(&admin)->required(), "ip:port for tests")(
        "records", po::value(&options.records), "directory of record files")(
        "max-calls-per-s", po::value(&options.max_calls_per_s),
        "calls per second; further calls get status 429")(
        "max-seconds", po::value(&max_seconds), "exit after this many seconds");
    po::variables_map values;
    int status = 0;
    if (!parse_command_line(argc, argv, all, values, status))
        return status;
    try {
        // Each waiting watch occupies a thread.
        constexpr int max_watches = 256;
        const tool_lifetime lifetime{std::chrono::seconds(max_seconds)};
        platform it(options);
        const http_server readers(
            loopback_endpoint(listen),
            [&](const http_call& call) { return it.on_read(call); },
            max_watches);
        const http_server tests(
            loopback_endpoint(admin),
            [&](const http_call& call) { return it.on_admin(call); });
        lifetime.wait();
        it.stop();
    } catch (const std::exception& it) {
        std::cerr << "arbutus_platform: " << it.what() << '\n';
        return 1;
    }
    return 0;
}
