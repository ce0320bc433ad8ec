// Starts, signals and terminates the processes of a plan.

#include <arbutusport/emulator/deployment.hpp>

#include <arbutusport/base/hash.hpp>
#include <arbutusport/emulator/history_file.hpp>
#include <arbutusport/emulator/http.hpp>
#include <arbutusport/emulator/tool.hpp>
#include <arbutusport/emulator/udp_socket.hpp>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Process.h>

#include <nlohmann/json.hpp>

#include <atomic>
#include <csignal>
#include <filesystem>
#include <map>
#include <optional>
#include <stdexcept>
#include <thread>

namespace arbutusport::emulator {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto ready_timeout = seconds(10);
constexpr auto stop_timeout = seconds(4);
constexpr auto poll_interval = milliseconds(20);
// The simulators exit after this time, in case the test is killed.
constexpr int simulator_max_runtime_s = 60;

// Returns an address that no other deployment on this machine uses, which is
// the case if the port of its platform can be bound.
std::uint32_t free_address() {
    constexpr std::uint32_t first = 0x7f200000; // 127.32.0.0
    constexpr std::uint32_t count = 0x3fffff;
    static std::atomic<std::uint64_t> used{0};
    const auto self = static_cast<std::uint64_t>(Poco::Process::id());
    while (true) {
        const auto address = static_cast<std::uint32_t>(
            first + hash_combine(self, used++) % count);
        const endpoint platform = make_plan({.address = address}).platform;
        try {
            const Poco::Net::ServerSocket probe(
                Poco::Net::SocketAddress(to_string(platform)));
            return address;
        } catch (const Poco::Exception&) {
            continue;
        }
    }
}

plan_options set_deployment_options(plan_options it) {
    it.address = free_address();
    it.programs = ARBUTUSPORT_PROGRAMS;
    it.directory = (std::filesystem::temp_directory_path() /
                    ("arbutusport-" + std::to_string(it.address) + "-" +
                     std::to_string(Poco::Process::id())))
                       .string();
    it.max_seconds = simulator_max_runtime_s;
    return it;
}

} // namespace

class deployment::impl {
public:
    explicit impl(plan_options options)
        : options_(set_deployment_options(std::move(options))),
          plan_(make_plan(options_)) {
        write_files(plan_, options_.directory);
        try {
            for (const planned_process& it : plan_.processes)
                start(it);
            for (const auto& [name, address] : plan_.metrics)
                wait_ready(name, address);
        } catch (...) {
            stop_all();
            throw;
        }
    }

    ~impl() {
        if (load_thread_)
            load_thread_->join();
        stop_all();
        std::error_code ignored;
        if (!keep_files_)
            std::filesystem::remove_all(options_.directory, ignored);
    }

    void signal(const std::string& name, int number) {
        ::kill(handle(name).id(), number);
    }

    void kill(const std::string& name) {
        signal(name, SIGKILL);
        handle(name).wait();
        running_.erase(name);
    }

    void restart(const std::string& name) {
        for (const planned_process& it : plan_.processes)
            if (it.name == name)
                start(it);
    }

    bool is_running(const std::string& name) const {
        const auto it = running_.find(name);
        return it != running_.end() && Poco::Process::isRunning(it->second);
    }

    int pid_of(const std::string& name) {
        return static_cast<int>(handle(name).id());
    }

    void set_entries(const std::vector<std::string>& names) {
        json list = json::array();
        for (const std::string& it : names)
            list.push_back(to_string(plan_.entry_fabric.at(it)));
        post_json(plan_.fabric_admin, "/admin/fabric", {{"entries", list}});
    }

    void set_platform(const std::string& mode, const std::string& data_centre) {
        json body{{"mode", mode}};
        if (!data_centre.empty())
            body["data_centre"] = data_centre;
        post_json(plan_.platform_admin, "/admin/mode", body);
    }

    std::string publish(const std::string& key, const std::string& record) {
        plan_.records[key] = record;
        return send_post(plan_.platform_admin, "/admin/records/" + key, record);
    }

    void drain(const std::string& service, const std::string& host) {
        const std::string key = "service/" + service;
        publish(key, with_host_state(plan_.records.at(key), host, "draining"));
        post_json(plan_.upstream_admin.at(host), "/admin/upstream",
                  {{"drain", true}});
    }

    void start_load(load_settings settings) {
        settings.services.clear();
        for (const planned_service& it : plan_.services)
            settings.services.push_back({it.name, it.address});
        settings.client.ack_timeout = milliseconds(200);
        settings.client.response_wait = seconds(1);
        settings.client.request_timeout = seconds(10);
        generator_ = std::make_unique<load_generator>(std::move(settings));
        load_thread_.emplace([this] { generator_->run([] { return false; }); });
    }

    load_result finish_load() {
        load_thread_->join();
        load_thread_.reset();
        history all = generator_->events();
        for (const planned_process& it : plan_.processes) {
            if (it.history.empty())
                continue;
            stop(it.name);
            const history part = load_history(it.history);
            all.insert(all.end(), part.begin(), part.end());
        }
        save_history(all, options_.directory + "/merged.jsonl");
        return {generator_->summary(), check(all)};
    }

    const plan& layout() const { return plan_; }
    const std::string& directory() const { return options_.directory; }
    void keep_files() { keep_files_ = true; }

private:
    // The shell only redirects the output; exec keeps the process id.
    void start(const planned_process& it) {
        Poco::Process::Args arguments{
            "-c", "exec \"$@\" >>\"$0\" 2>&1",
            options_.directory + "/" + it.name + ".log", it.program};
        arguments.insert(arguments.end(), it.arguments.begin(),
                         it.arguments.end());
        running_.insert_or_assign(it.name,
                                  Poco::Process::launch("/bin/sh", arguments));
    }

    Poco::ProcessHandle& handle(const std::string& name) {
        const auto it = running_.find(name);
        if (it == running_.end())
            throw std::runtime_error("process " + name + " is not running");
        return it->second;
    }

    void wait_ready(const std::string& name, const endpoint& metrics) const {
        const time_point end = monotonic_now() + ready_timeout;
        while (monotonic_now() < end) {
            if (http_request(metrics, "GET", "/health").status == 200)
                return;
            std::this_thread::sleep_for(poll_interval);
        }
        throw std::runtime_error("process " + name +
                                 " was not ready within 10 s; see its log " +
                                 options_.directory + "/" + name + ".log");
    }

    // Sends SIGTERM, then SIGKILL after stop_timeout.
    void stop(const std::string& name) {
        send_sigterm(name);
        wait_for_exit(name, monotonic_now() + stop_timeout);
    }

    void send_sigterm(const std::string& name) {
        signal(name, SIGCONT);
        signal(name, SIGTERM);
    }

    void wait_for_exit(const std::string& name, time_point end) {
        Poco::ProcessHandle& it = handle(name);
        while (it.tryWait() < 0) {
            if (monotonic_now() >= end) {
                kill(name);
                return;
            }
            std::this_thread::sleep_for(poll_interval);
        }
        running_.erase(name);
    }

    // Kills arbutusd, since its planned stop would wait for sessions. That stop
    // has its own tests.
    void stop_all() {
        std::vector<std::string> names;
        for (const auto& [name, it] : running_)
            names.push_back(name);
        for (const std::string& name : names)
            if (plan_.settings.contains(name))
                kill(name);
            else
                send_sigterm(name);
        const time_point end = monotonic_now() + stop_timeout;
        for (const std::string& name : names)
            if (!plan_.settings.contains(name))
                wait_for_exit(name, end);
    }

    static void post_json(const endpoint& to, const std::string& path,
                          const json& body) {
        send_post(to, path, body.dump());
    }

    static std::string send_post(const endpoint& to, const std::string& path,
                                 const std::string& body) {
        const http_answer it = http_request(to, "POST", path, body);
        if (it.status != 200)
            throw std::runtime_error("POST " + path + " at " + to_string(to) +
                                     " returned status " +
                                     std::to_string(it.status) + " " + it.body);
        return it.body;
    }

    const plan_options options_;
    plan plan_;
    std::map<std::string, Poco::ProcessHandle> running_;
    std::unique_ptr<load_generator> generator_;
    std::optional<std::thread> load_thread_;
    bool keep_files_ = false;
};

deployment::deployment(plan_options options)
    : impl_(std::make_unique<impl>(std::move(options))) {}

deployment::~deployment() = default;

const plan& deployment::layout() const {
    return impl_->layout();
}

const std::string& deployment::directory() const {
    return impl_->directory();
}

void deployment::signal(const std::string& name, int number) {
    impl_->signal(name, number);
}

void deployment::kill(const std::string& name) {
    impl_->kill(name);
}

void deployment::restart(const std::string& name) {
    impl_->restart(name);
}

bool deployment::is_running(const std::string& name) const {
    return impl_->is_running(name);
}

int deployment::pid_of(const std::string& name) {
    return impl_->pid_of(name);
}

void deployment::set_entries(const std::vector<std::string>& names) {
    impl_->set_entries(names);
}

void deployment::set_platform(const std::string& mode,
                              const std::string& data_centre) {
    impl_->set_platform(mode, data_centre);
}

std::string deployment::publish(const std::string& key,
                                const std::string& record) {
    return impl_->publish(key, record);
}

void deployment::drain(const std::string& service, const std::string& host) {
    impl_->drain(service, host);
}

void deployment::start_load(load_settings settings) {
    impl_->start_load(std::move(settings));
}

load_result deployment::finish_load() {
    return impl_->finish_load();
}

void deployment::keep_files() {
    impl_->keep_files();
}

} // namespace arbutusport::emulator
