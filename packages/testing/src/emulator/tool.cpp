// Signals, time limit and command line of the tools.

#include <arbutusport/emulator/tool.hpp>

#include <algorithm>
#include <csignal>
#include <ctime>
#include <iostream>

namespace arbutusport::emulator {

namespace po = boost::program_options;

namespace {

constexpr std::uint32_t loopback_network = 127;

sigset_t handled_signals() {
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGUSR1);
    return set;
}

// Returns the signal that arrived within `timeout`, or -1.
int wait_for_signal(duration timeout) {
    const sigset_t set = handled_signals();
    const auto us = std::max<duration::rep>(timeout.count(), 0);
    const timespec limit{us / 1'000'000, us % 1'000'000 * 1000};
    return sigtimedwait(&set, nullptr, &limit);
}

} // namespace

time_point monotonic_now() {
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
}

tool_lifetime::tool_lifetime(std::chrono::seconds limit)
    : end_(monotonic_now() + limit) {
    const sigset_t set = handled_signals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void tool_lifetime::wait(const std::function<void()>& on_usr1) const {
    while (true) {
        const auto left = end_ - monotonic_now();
        if (left <= duration::zero())
            return;
        const int signal = wait_for_signal(left);
        if (signal == SIGTERM || signal == SIGINT)
            return;
        if (signal == SIGUSR1 && on_usr1)
            on_usr1();
    }
}

bool tool_lifetime::stopped(std::chrono::milliseconds timeout) const {
    const duration left = end_ - monotonic_now();
    const int signal = wait_for_signal(std::min<duration>(timeout, left));
    return signal == SIGTERM || signal == SIGINT || monotonic_now() >= end_;
}

bool parse_command_line(int argc, char** argv,
                        const po::options_description& all,
                        po::variables_map& values, int& status) {
    try {
        po::store(po::parse_command_line(argc, argv, all), values);
        if (values.contains("help")) {
            std::cout << all;
            status = 0;
            return false;
        }
        po::notify(values);
        return true;
    } catch (const po::error& it) {
        std::cerr << argv[0] << ": " << it.what() << '\n';
        status = 2;
        return false;
    }
}

int run_tool(int argc, char** argv, const po::options_description& all,
             const std::function<void()>& run) {
    po::variables_map values;
    int status = 0;
    if (!parse_command_line(argc, argv, all, values, status))
        return status;
    try {
        run();
    } catch (const std::exception& it) {
        std::cerr << argv[0] << ": " << it.what() << '\n';
        return 1;
    }
    return 0;
}

endpoint loopback_endpoint(const std::string& text) {
    const auto it = parse_endpoint(text);
    if (!it || it->address >> 24 != loopback_network)
        throw po::error("endpoint " + text + " is not 127.a.b.c:port");
    return *it;
}

std::vector<endpoint>
loopback_endpoints(const std::vector<std::string>& texts) {
    std::vector<endpoint> all;
    std::ranges::transform(texts, std::back_inserter(all), loopback_endpoint);
    return all;
}

} // namespace arbutusport::emulator
