// Command-line program of the emulated upstream.
//
// Example: arbutus_upstream --service participa --host participa-1
//          --listen 127.0.0.1:7801 --admin 127.0.0.1:7901
//          --history participa-1.jsonl

#include <arbutusport/emulator/history_file.hpp>
#include <arbutusport/emulator/tool.hpp>
#include <arbutusport/emulator/upstream_server.hpp>

#include <exception>
#include <mutex>
#include <thread>

namespace {

namespace po = boost::program_options;
using namespace arbutusport;
using namespace arbutusport::emulator;

struct command_line {
    std::string listen;
    std::string admin;
    std::string history;
    int service_ms = 20;
    int jitter_ms = 10;
    int cold_s = 0;
    int max_seconds = 600;
    upstream_options options;
};

po::options_description describe(command_line& it) {
    po::options_description all("arbutus_upstream");
    all.add_options()("help", "show this text")(
        "service", po::value(&it.options.service)->required(),
        "name of the service")("host", po::value(&it.options.host)->required(),
                               "name of the host")(
        "listen", po::value(&it.listen)->required(), "ip:port (CoAP)")(
        "admin", po::value(&it.admin), "ip:port for tests (HTTP)")(
        "history", po::value(&it.history), "written at the end and on SIGUSR1")(
        "slots", po::value(&it.options.slots),
        "concurrent requests; further requests are shed")(
        "service-ms", po::value(&it.service_ms), "service time of one request")(
        "jitter-ms", po::value(&it.jitter_ms),
        "largest extra time")("cold-s", po::value(&it.cold_s),
                              "seconds of slower service after the start")(
        "large-bytes", po::value(&it.options.large_text),
        "size of /texts/large")("seed", po::value(&it.options.seed),
                                "seed of every random choice")(
        "max-seconds", po::value(&it.max_seconds),
        "exit after this many seconds");
    return all;
}

// Serves datagrams until `stop`; `mutex` guards `server`.
void serve(udp_socket& socket, upstream_server& server, std::mutex& mutex,
           const std::stop_token& stop) {
    constexpr int poll_ms = 2;
    while (!stop.stop_requested()) {
        wait_readable({socket.descriptor()}, poll_ms);
        const std::scoped_lock lock(mutex);
        socket.receive([&](const endpoint& from, byte_view data) {
            socket.send(server.on_datagram(from, data, monotonic_now()));
        });
        socket.send(server.on_tick(monotonic_now()));
    }
}

void run(command_line& it) {
    it.options.service_time = std::chrono::milliseconds(it.service_ms);
    it.options.jitter = std::chrono::milliseconds(it.jitter_ms);
    it.options.cold_start = std::chrono::seconds(it.cold_s);
    const tool_lifetime lifetime{std::chrono::seconds(it.max_seconds)};
    std::mutex mutex;
    upstream_server server(it.options, monotonic_now());
    udp_socket socket(loopback_endpoint(it.listen));
    std::unique_ptr<http_server> admin;
    if (!it.admin.empty())
        admin = std::make_unique<http_server>(
            loopback_endpoint(it.admin), [&](const http_call& call) {
                const std::scoped_lock lock(mutex);
                return server.on_admin(call, monotonic_now());
            });
    const auto save = [&] {
        const std::scoped_lock lock(mutex);
        if (!it.history.empty())
            save_history(server.events(), it.history);
    };
    std::jthread worker([&](const std::stop_token& stop) {
        serve(socket, server, mutex, stop);
    });
    lifetime.wait(save);
    worker.request_stop();
    worker.join();
    save();
}

} // namespace

int main(int argc, char** argv) {
    command_line it;
    return run_tool(argc, argv, describe(it), [&] { run(it); });
}
