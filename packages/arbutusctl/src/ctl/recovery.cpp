// Collects the steps of processes and prints their distribution.

#include <arbutusport/ctl/recovery.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <ostream>
#include <string_view>
#include <utility>

namespace arbutusport::ctl {

namespace {

constexpr double us_per_ms = 1000;
constexpr std::string_view unknown_role = "unknown";

struct step_definition {
    std::string_view name;
    std::string_view event;
};

constexpr std::string_view start_step = "started";
constexpr std::string_view directory_step = "directory";
// In the order in which processes reach them.
constexpr std::array steps{
    step_definition{start_step, "started"},
    step_definition{"store restored", "store_restored"},
    step_definition{directory_step, "directory_changed"},
    step_definition{"reader chosen", "follows_reader"},
    step_definition{"first flow placed", "flow_placed"},
    step_definition{"first flow opened", "flow_opened"},
    step_definition{"first owner searched", "owner_searched"},
    step_definition{"first flow reset", "flow_reset"}};

const step_definition* find_step(const std::string& event) {
    const auto* it = std::ranges::find_if(
        steps, [&](const auto& step) { return event == step.event; });
    return it == steps.end() ? nullptr : it;
}

// Returns the value of a field in the unparsed rest of a line.
std::string field_of(const log_record& it, const std::string& key) {
    const std::string start = ' ' + key + '=';
    const auto at = it.rest.find(start);
    if (at == std::string::npos)
        return {};
    const auto begin = at + start.size();
    return it.rest.substr(begin, it.rest.find(' ', begin) - begin);
}

std::uint64_t version_of(const log_record& it) {
    std::uint64_t out = 0;
    for (const char c : field_of(it, "version")) {
        if (c < '0' || c > '9')
            return 0;
        out = 10 * out + static_cast<std::uint64_t>(c - '0');
    }
    return out;
}

// Times of one step by process.
using step_times = std::vector<std::pair<std::int64_t, std::string>>;

recovery_step summarize(std::string role, std::string name, step_times times,
                        std::int64_t origin_us) {
    std::ranges::sort(times);
    const auto ms_at = [&](double share) {
        const auto rank = std::ceil(share * static_cast<double>(times.size()));
        const auto i = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
        return static_cast<double>(times[i].first - origin_us) / us_per_ms;
    };
    constexpr double half = 0.5;
    constexpr double most = 0.99;
    return {.role = std::move(role),
            .name = std::move(name),
            .processes = times.size(),
            .first_ms = ms_at(0),
            .half_ms = ms_at(half),
            .p99_ms = ms_at(most),
            .last_ms = ms_at(1),
            .slowest = times.back().second};
}

nlohmann::json to_json(const recovery_account& it) {
    nlohmann::json list = nlohmann::json::array();
    for (const recovery_step& step : it.steps)
        list.push_back({{"role", step.role},
                        {"step", step.name},
                        {"processes", step.processes},
                        {"first_ms", step.first_ms},
                        {"half_ms", step.half_ms},
                        {"p99_ms", step.p99_ms},
                        {"last_ms", step.last_ms},
                        {"slowest", step.slowest}});
    return {{"origin", format_time(it.origin_us)},
            {"processes", it.processes},
            {"restarted_again", it.restarted_again},
            {"directory_sources", it.directory_sources},
            {"newest_version", it.newest_version},
            {"steps", list}};
}

void print_text(const recovery_account& it, std::ostream& out) {
    out << "origin " << format_time(it.origin_us) << "; times in ms after it\n";
    for (const auto& [role, n] : it.processes)
        out << "processes in role " << role << ": " << n << '\n';
    if (it.restarted_again > 0)
        out << "started more than once: " << it.restarted_again << '\n';
    for (const auto& [source, n] : it.directory_sources)
        out << "first directory by " << source << ": " << n << '\n';
    constexpr int role_width = 8;
    constexpr int name_width = 24;
    constexpr int number_width = 10;
    out << std::left << std::setw(role_width) << "role" << std::setw(name_width)
        << "step" << std::right;
    for (const char* title : {"processes", "first", "half", "99%", "last"})
        out << std::setw(number_width) << title;
    out << "  slowest\n" << std::fixed << std::setprecision(0);
    for (const recovery_step& step : it.steps) {
        out << std::left << std::setw(role_width) << step.role
            << std::setw(name_width) << step.name << std::right
            << std::setw(number_width) << step.processes;
        for (const double ms :
             {step.first_ms, step.half_ms, step.p99_ms, step.last_ms})
            out << std::setw(number_width) << ms;
        out << "  " << step.slowest << '\n';
    }
}

} // namespace

void recovery_collector::add(const log_record& line) {
    const step_definition* step = find_step(line.event);
    if (step != nullptr && step->name == start_step)
        roles_[line.process] = field_of(line, "role");
    if (step == nullptr || (from_us_ && line.at_us < *from_us_))
        return;
    const std::uint64_t version = version_of(line);
    const bool is_directory = step->name == directory_step;
    // A directory without a configuration serves nothing.
    if (is_directory && version == 0)
        return;
    progress& it = processes_[line.process];
    if (step->name == start_step)
        it = {.starts = it.starts + 1};
    origin_us_ = std::min(origin_us_.value_or(line.at_us), line.at_us);
    const bool is_first =
        it.steps.emplace(std::string(step->name), line.at_us).second;
    if (!is_directory)
        return;
    if (is_first)
        it.directory_source = field_of(line, "reason");
    it.versions.emplace(version, line.at_us);
}

std::optional<recovery_account> recovery_collector::account() const {
    if (!origin_us_)
        return std::nullopt;
    recovery_account out{.origin_us = *origin_us_};
    for (const auto& [name, it] : processes_)
        if (!it.versions.empty())
            out.newest_version =
                std::max(out.newest_version, it.versions.rbegin()->first);
    const std::string version_step =
        "version " + std::to_string(out.newest_version);
    std::map<std::string, std::map<std::string, step_times>> times;
    for (const auto& [name, it] : processes_) {
        const auto known_role = roles_.find(name);
        const std::string role = known_role == roles_.end()
                                     ? std::string(unknown_role)
                                     : known_role->second;
        ++out.processes[role];
        out.restarted_again += it.starts > 1 ? 1 : 0;
        if (!it.directory_source.empty())
            ++out.directory_sources[it.directory_source];
        for (const auto& [step, at_us] : it.steps)
            times[role][step].emplace_back(at_us, name);
        if (const auto version = it.versions.find(out.newest_version);
            version != it.versions.end())
            times[role][version_step].emplace_back(version->second, name);
    }
    std::vector<std::string> order;
    for (const step_definition& it : steps) {
        order.emplace_back(it.name);
        if (it.name == directory_step)
            order.push_back(version_step);
    }
    for (const auto& [role, reached] : times)
        for (const std::string& step : order)
            if (const auto found = reached.find(step); found != reached.end())
                out.steps.push_back(
                    summarize(role, step, found->second, out.origin_us));
    return out;
}

int print_recovery(const recovery_options& options, output_format format,
                   std::ostream& out) {
    recovery_collector collector(options.from_us);
    if (!read_logs(options.logs, [&](log_record&& it) { collector.add(it); }))
        return exit_findings;
    const auto account = collector.account();
    if (!account) {
        out << "no log line shows a step of a recovery\n";
        return exit_findings;
    }
    if (format == output_format::json)
        out << to_json(*account).dump(2) << '\n';
    else
        print_text(*account, out);
    return exit_success;
}

} // namespace arbutusport::ctl
