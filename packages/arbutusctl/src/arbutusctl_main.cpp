// Read-only command-line client for operators.

#include <arbutusport/ctl/commands.hpp>
#include <arbutusport/ctl/flow_timeline.hpp>
#include <arbutusport/ctl/recovery.hpp>

#include <boost/program_options.hpp>

#include <functional>
#include <iostream>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace {

namespace po = boost::program_options;
using namespace arbutusport;

constexpr const char* overview =
    R"(arbutusctl: checks records and inspects running processes; it is read-only.

  arbutusctl check   --records DIR --settings FILE...
  arbutusctl diff    --from DIR --to DIR
  arbutusctl explain --records DIR --service NAME --client IP:PORT
  arbutusctl explain --log FILE... --flow CLIENT>SERVICE   (timeline of a flow)
  arbutusctl recovery --log PATH... [--from TIME]   (steps after a restart)
  arbutusctl status  --process IP:PORT...   (control endpoints)
  arbutusctl report  --process IP:PORT...   (metrics endpoints of hosts)

Every command takes --output text|json and --help.

Examples:
  arbutusctl check --records examples/records/consulta-sul
  arbutusctl diff --from published --to planned
  arbutusctl explain --records published --service participa \
      --client 127.0.0.9:5000
  arbutusctl explain --log edge-*.log side-*.log --flow "198.18.0.1:8443"
  arbutusctl recovery --log logs/ --from 2026-01-24T09:36:12Z --output json
  arbutusctl status --process 127.0.1.1:7002 127.0.1.2:7002 --output json
  arbutusctl report --process 127.0.2.1:7003 --plot burn.gp && gnuplot burn.gp

Exit codes: 0 success; 1 errors were found or a process did not answer;
2 the command line is invalid and nothing was done.
)";

struct usage_error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

endpoint to_endpoint(const std::string& text, const char* option) {
    if (const auto it = parse_endpoint(text))
        return *it;
    throw usage_error(std::string("--") + option + ": found " + text +
                      ", allowed IP:PORT");
}

std::vector<endpoint> to_endpoints(const std::vector<std::string>& texts) {
    std::vector<endpoint> out;
    for (const std::string& it : texts)
        out.push_back(to_endpoint(it, "process"));
    return out;
}

// Command line of one command: parses the options, prints the help and
// validates the output format.
class command_line {
public:
    explicit command_line(const std::string& name)
        : options_("arbutusctl " + name) {
        options_.add_options()("help", "show this text")(
            "output", po::value(&output_)->default_value("text"),
            "text or json");
    }

    po::options_description_easy_init add() { return options_.add_options(); }

    // False if the help text was requested and printed.
    bool parse(const std::vector<std::string>& arguments) {
        po::variables_map values;
        po::store(po::command_line_parser(arguments)
                      .options(options_)
                      .positional({})
                      .run(),
                  values);
        if (values.contains("help")) {
            std::cout << options_;
            return false;
        }
        po::notify(values);
        if (output_ != "text" && output_ != "json")
            throw usage_error("--output: found " + output_ +
                              ", allowed text, json");
        return true;
    }

    ctl::output_format format() const {
        return output_ == "json" ? ctl::output_format::json
                                 : ctl::output_format::text;
    }

private:
    po::options_description options_;
    std::string output_;
};

using arguments = std::vector<std::string>;

int run_check(const arguments& args) {
    ctl::check_options options;
    command_line line("check");
    line.add()("records", po::value(&options.records),
               "directory of <kind>.<name>.json files")(
        "settings", po::value(&options.settings)->multitoken(),
        "settings files");
    if (!line.parse(args))
        return ctl::exit_success;
    if (options.records.empty() && options.settings.empty())
        throw usage_error("check needs --records or --settings");
    return ctl::check(options, line.format(), std::cout);
}

int run_diff(const arguments& args) {
    ctl::diff_options options;
    command_line line("diff");
    line.add()("from", po::value(&options.from)->required(),
               "directory of the published records")(
        "to", po::value(&options.to)->required(),
        "directory of the planned records");
    if (!line.parse(args))
        return ctl::exit_success;
    return ctl::diff(options, line.format(), std::cout);
}

int run_explain(const arguments& args) {
    ctl::explain_options options;
    ctl::timeline_options timeline;
    std::string client;
    command_line line("explain");
    line.add()("records", po::value(&options.records),
               "directory of records")("service", po::value(&options.service),
                                       "the service's name or address")(
        "client", po::value(&client),
        "the client's IP:PORT")("log", po::value(&timeline.logs)->multitoken(),
                                "logs of processes; - is standard input")(
        "flow", po::value(&timeline.flow),
        "CLIENT>SERVICE as it appears in logs, or a part of it")(
        "context-ms", po::value(&timeline.context_ms)->default_value(2000),
        "time before and after the flow in which other events are shown");
    if (!line.parse(args))
        return ctl::exit_success;
    if (!timeline.logs.empty()) {
        if (timeline.flow.empty())
            throw usage_error("explain --log needs --flow");
        return ctl::print_flow_timeline(timeline, std::cout);
    }
    if (options.records.empty() || options.service.empty() || client.empty())
        throw usage_error("explain needs --records, --service and --client, "
                          "or --log and --flow");
    options.client = to_endpoint(client, "client");
    return ctl::explain(options, line.format(), std::cout);
}

int run_recovery(const arguments& args) {
    ctl::recovery_options options;
    std::string from;
    command_line line("recovery");
    line.add()(
        "log", po::value(&options.logs)->multitoken()->required(),
        "logs of processes, or directories of them; - is standard input")(
        "from", po::value(&from),
        "ignore lines before this time (ISO 8601), such as that of the kill");
    if (!line.parse(args))
        return ctl::exit_success;
    if (!from.empty()) {
        options.from_us = ctl::parse_time(from);
        if (!options.from_us)
            throw usage_error("--from: found " + from +
                              ", allowed a time such as 2026-01-24T09:36:12Z");
    }
    return ctl::print_recovery(options, line.format(), std::cout);
}

void add_processes(command_line& line, std::vector<std::string>& processes,
                   unsigned& timeout_ms, const char* text) {
    line.add()("process", po::value(&processes)->multitoken()->required(),
               text)("timeout-ms", po::value(&timeout_ms)->default_value(2000),
                     "time to wait for each process");
}

int run_status(const arguments& args) {
    std::vector<std::string> processes;
    unsigned timeout_ms = 0;
    command_line line("status");
    add_processes(line, processes, timeout_ms, "control endpoints, IP:PORT");
    if (!line.parse(args))
        return ctl::exit_success;
    return ctl::status({.processes = to_endpoints(processes),
                        .timeout = std::chrono::milliseconds(timeout_ms)},
                       line.format(), std::cout);
}

int run_report(const arguments& args) {
    std::vector<std::string> processes;
    unsigned timeout_ms = 0;
    ctl::report_options options;
    command_line line("report");
    add_processes(line, processes, timeout_ms,
                  "metrics endpoints of hosts, IP:PORT");
    line.add()("plot", po::value(&options.plot),
               "write a gnuplot program that draws burn.svg");
    if (!line.parse(args))
        return ctl::exit_success;
    options.processes = to_endpoints(processes);
    options.timeout = std::chrono::milliseconds(timeout_ms);
    return ctl::report(options, line.format(), std::cout);
}

const std::map<std::string, int (*)(const arguments&)> commands{
    {"check", run_check},     {"diff", run_diff},
    {"explain", run_explain}, {"recovery", run_recovery},
    {"status", run_status},   {"report", run_report},
};

int run(const arguments& args) {
    if (args.empty())
        throw usage_error("a command is missing; see arbutusctl --help");
    if (args.front() == "--help" || args.front() == "help") {
        std::cout << overview;
        return ctl::exit_success;
    }
    const auto command = commands.find(args.front());
    if (command == commands.end())
        throw usage_error("unknown command " + args.front() +
                          "; allowed check, diff, explain, recovery, "
                          "status, report");
    return command->second({args.begin() + 1, args.end()});
}

} // namespace

int main(int argc, char** argv) {
    try {
        return run({argv + 1, argv + argc});
    } catch (const po::error& it) {
        std::cerr << "arbutusctl: " << it.what() << '\n';
    } catch (const usage_error& it) {
        std::cerr << "arbutusctl: " << it.what() << '\n';
    }
    return ctl::exit_usage;
}
