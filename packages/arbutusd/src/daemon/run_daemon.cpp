// Reads the settings, handles signals and runs the process until it stops.

#include <arbutusport/adapters/log.hpp>
#include <arbutusport/daemon/arguments.hpp>
#include <arbutusport/daemon/role_process.hpp>

#include <csignal>
#include <iostream>

#include <sodium.h>
#include <unistd.h>

namespace arbutusport::daemon {

namespace {

using adapters::log_event;
using adapters::severity;

// Interval of checks whether the process has stopped.
constexpr timespec poll_interval{0, 50'000'000};

// Blocks the signals in all threads, so that only wait_for_stop() receives
// them.
sigset_t block_stop_signals() {
    sigset_t it;
    sigemptyset(&it);
    sigaddset(&it, SIGTERM);
    sigaddset(&it, SIGINT);
    pthread_sigmask(SIG_BLOCK, &it, nullptr);
    return it;
}

int wait_for_stop(role_process& process, const sigset_t& signals) {
    bool stopping = false;
    while (!process.stopped()) {
        const int signal = sigtimedwait(&signals, nullptr, &poll_interval);
        if (signal < 0)
            continue;
        if (stopping) {
            log_event(severity::warning, "stopped_at_once")
                .field("exit_code", exit_failed);
            adapters::flush_log();
            // Skips destructors, because threads may be waiting for time-outs.
            ::_exit(exit_failed);
        }
        stopping = true;
        log_event(severity::info, "stopping").field("signal", signal);
        process.begin_stop();
    }
    log_event(severity::info, "stopped").field("exit_code", exit_ok);
    return exit_ok;
}

result<int> run_process(const settings::process_settings& settings) {
    const sigset_t signals = block_stop_signals();
    adapters::start_log(
        {.minimum_severity = static_cast<adapters::severity>(settings.level),
         .process = settings.name});
    if (sodium_init() < 0)
        return fail("start", "libsodium", "no source of random numbers");
    const bool is_host = settings.role == settings::process_role::host;
    BOOST_LEAF_AUTO(process,
                    is_host ? start_host(settings) : start_entry(settings));
    return wait_for_stop(*process, signals);
}

int print_settings_error(const failure& it, int code) {
    std::cerr << "level=error event=refused step=" << it.step
              << " file=" << adapters::quote_value(it.peer) << ' ' << it.reason
              << '\n';
    return code;
}

int log_start_failure(const failure& it) {
    log_event(severity::error, "start_failed")
        .field("step", it.step)
        .field("peer", it.peer)
        .field("reason", it.reason);
    return exit_failed;
}

} // namespace

int run_daemon(int argc, const char* const* argv) {
    const auto given = parse_arguments(argc, argv, std::cout, std::cerr);
    if (given.exit_code)
        return *given.exit_code;
    settings::process_settings settings;
    const int code = handle_failure(
        [&]() -> result<int> {
            BOOST_LEAF_ASSIGN(settings,
                              settings::read_settings(given.settings_path));
            return exit_ok;
        },
        [](const failure& it) {
            return print_settings_error(it, exit_refused);
        });
    if (code != exit_ok || given.check_only)
        return code;
    return handle_failure([&] { return run_process(settings); },
                          log_start_failure);
}

} // namespace arbutusport::daemon
