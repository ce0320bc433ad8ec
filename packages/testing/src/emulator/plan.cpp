// Records, settings and command lines of a small deployment.

#include <arbutusport/emulator/plan.hpp>

#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace arbutusport::emulator {

namespace {

using nlohmann::json;

// First port of each kind; processes of one kind use consecutive ports.
constexpr std::uint16_t service_port = 5683;
constexpr std::uint16_t fabric_port = 7000;
constexpr std::uint16_t fabric_admin_port = 7001;
constexpr std::uint16_t entry_fabric_port = 7100;
constexpr std::uint16_t packets_port = 7200;
constexpr std::uint16_t control_port = 7400;
constexpr std::uint16_t metrics_port = 7600;
constexpr std::uint16_t upstream_port = 7800;
constexpr std::uint16_t upstream_admin_port = 8000;
constexpr std::uint16_t platform_port = 8500;
constexpr std::uint16_t platform_admin_port = 8501;
// Needs no protection, since it only signs packets on the loopback interface.
const char* const packet_secret = "00112233445566778899aabbccddeeff";

class planner {
public:
    explicit planner(const plan_options& options) : options_(options) {}

    plan make() {
        out_.platform = at(platform_port);
        out_.platform_admin = at(platform_admin_port);
        out_.fabric_admin = at(fabric_admin_port);
        add_shared_records();
        add_platform();
        for (std::size_t i = 0; i < options_.entries; ++i)
            add_entry(i);
        for (const service_plan& it : options_.services)
            add_service(it);
        add_fabric();
        return std::move(out_);
    }

private:
    endpoint at(std::size_t port) const {
        return {options_.address, static_cast<std::uint16_t>(port)};
    }

    const std::string& data_centre(std::size_t index) const {
        return options_.data_centres[index % options_.data_centres.size()];
    }

    std::string program(const std::string& name) const {
        return options_.programs + "/" + name;
    }

    std::string file(const std::string& name) const {
        return options_.directory + "/" + name;
    }

    void add_process(planned_process it) {
        if (!it.program.ends_with("/arbutusd"))
            it.arguments.insert(
                it.arguments.end(),
                {"--max-seconds", std::to_string(options_.max_seconds)});
        out_.processes.push_back(std::move(it));
    }

    void add_shared_records() {
        out_.records["fleet/main"] = json{
            {"schema", 2},
            {"kind", "fleet"},
            {"name", "main"},
            {"epoch", 1}}.dump(2);
        const json key{
            {"id", 1}, {"secret", packet_secret}, {"state", "active"}};
        out_.records["keys/packets"] = json{
            {"schema", 2},
            {"kind", "keys"},
            {"name", "packets"},
            {"keys", json::array({key})}}.dump(2);
    }

    void add_platform() {
        add_process(
            {"platform",
             program("arbutus_platform"),
             {"--listen", to_string(out_.platform), "--admin",
              to_string(out_.platform_admin), "--records", file("records")},
             {}});
    }

    // Adds the next arbutusd process with its settings; returns its endpoints
    // for the record.
    json next_daemon(const std::string& name, const std::string& dc,
                     const std::string& role, const std::string& rest) {
        const std::size_t n = daemons_++;
        out_.control[name] = at(control_port + n);
        out_.metrics[name] = at(metrics_port + n);
        const std::string packets = to_string(at(packets_port + n));
        const std::string control = to_string(out_.control[name]);
        std::ostringstream ini;
        ini << "[process]\nname = " << name << "\nrole = " << role
            << "\ndata_centre = " << dc << "\nregion = " << options_.region
            << "\n\n[listen]\npackets = " << packets
            << "\ncontrol = " << control
            << "\nmetrics = " << to_string(out_.metrics[name]) << '\n'
            << rest << "\n[platform]\naddress = " << to_string(out_.platform)
            << "\n\n[peers]\nseeds = " << to_string(at(control_port)) << ", "
            << to_string(at(control_port + options_.entries)) << '\n';
        out_.settings[name] = ini.str();
        add_process({name,
                     program("arbutusd"),
                     {"--settings", file("settings/" + name + ".ini")},
                     {}});
        return {{"name", name}, {"packets", packets}, {"control", control}};
    }

    void add_entry(std::size_t i) {
        const std::string& dc = data_centre(i);
        const std::string name = "entry-" + std::to_string(i + 1);
        out_.entry_fabric[name] = at(entry_fabric_port + i);
        const json it = next_daemon(
            name, dc, "entry",
            "fabric = " + to_string(out_.entry_fabric[name]) +
                "\n\n[fabric]\naddress = " + to_string(at(fabric_port)) + "\n");
        json record{{"schema", 2},
                    {"kind", "entries"},
                    {"name", dc},
                    {"data_centre", dc},
                    {"region", options_.region},
                    {"entries", json::array()}};
        std::string& text = out_.records["entries/" + dc];
        if (!text.empty())
            record = json::parse(text);
        record["entries"].push_back(it);
        text = record.dump(2);
    }

    void add_service(const service_plan& it) {
        planned_service service{
            it.name, at(service_port + out_.services.size()), {}};
        json hosts = json::array();
        for (std::size_t i = 0; i < it.hosts; ++i) {
            const std::string name = it.name + "-" + std::to_string(i + 1);
            hosts.push_back(add_host(it.name, name, data_centre(i)));
            service.hosts.push_back(name);
        }
        out_.records["service/" + it.name] = json{
            {"schema", 2},
            {"kind", "service"},
            {"name", it.name},
            {"organisation", options_.organisation},
            {"address", to_string(service.address)},
            {"limits", {{"slots", 2}, {"connections", 2000}, {"queue", 16}}},
            {"objectives",
             {{"flows_kept", 0.9999},
              {"requests_served", 0.999},
              {"latency_ms", 250},
              {"requests_in_time", 0.99}}},
            {"drain_timeout_s", options_.drain_timeout_s},
            {"slow_start_s", options_.slow_start_s},
            {"hosts", hosts}}.dump(2);
        out_.services.push_back(std::move(service));
    }

    json add_host(const std::string& service, const std::string& name,
                  const std::string& dc) {
        const std::size_t n = upstreams_++;
        const std::string upstream = to_string(at(upstream_port + n));
        out_.upstream_admin[name] = at(upstream_admin_port + n);
        const std::string history = file("upstream-" + name + ".jsonl");
        add_process(
            {"upstream-" + name,
             program("arbutus_upstream"),
             {"--service", service, "--host", name, "--listen", upstream,
              "--admin", to_string(out_.upstream_admin[name]), "--history",
              history, "--seed", std::to_string(options_.seed + n)},
             history});
        json record = next_daemon(name, dc, "host",
                                  "\n[host]\nservice = " + service +
                                      "\nupstream = " + upstream + "\n");
        record.update(
            {{"data_centre", dc}, {"weight", 1.0}, {"state", "active"}});
        return record;
    }

    void add_fabric() {
        planned_process it{"fabric",
                           program("arbutus_fabric"),
                           {"--listen", to_string(at(fabric_port)), "--admin",
                            to_string(out_.fabric_admin), "--seed",
                            std::to_string(options_.seed)},
                           {}};
        for (const planned_service& one : out_.services)
            it.arguments.insert(it.arguments.end(),
                                {"--service", to_string(one.address)});
        for (const auto& [name, address] : out_.entry_fabric)
            it.arguments.insert(it.arguments.end(),
                                {"--entry", to_string(address)});
        add_process(std::move(it));
    }

    const plan_options& options_;
    plan out_;
    std::size_t daemons_ = 0;
    std::size_t upstreams_ = 0;
};

void write_file(const std::filesystem::path& path, const std::string& text) {
    std::ofstream out(path);
    out << text;
    if (!out.flush())
        throw std::runtime_error("file " + path.string() +
                                 " cannot be written");
}

} // namespace

plan make_plan(const plan_options& options) {
    return planner(options).make();
}

void write_files(const plan& it, const std::string& directory) {
    const std::filesystem::path top(directory);
    std::filesystem::create_directories(top / "records");
    std::filesystem::create_directories(top / "settings");
    for (const auto& [key, text] : it.records) {
        std::string name = key;
        name.replace(name.find('/'), 1, ".");
        write_file(top / "records" / (name + ".json"), text);
    }
    for (const auto& [name, text] : it.settings)
        write_file(top / "settings" / (name + ".ini"), text);
}

std::string with_host_state(const std::string& service_record,
                            const std::string& host, const std::string& state) {
    json record = json::parse(service_record);
    for (json& it : record.at("hosts"))
        if (it.at("name") == host) {
            it["state"] = state;
            return record.dump(2);
        }
    throw std::invalid_argument("host " + host + " is not in the record");
}

} // namespace arbutusport::emulator
