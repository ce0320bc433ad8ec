// Estimates clock offsets and prints the timeline of a flow.

#include <arbutusport/ctl/commands.hpp>
#include <arbutusport/ctl/flow_timeline.hpp>

#include <algorithm>
#include <iostream>
#include <set>

namespace arbutusport::ctl {

namespace {

constexpr std::int64_t us_per_ms = 1000;
// Packet delay between processes stays below this; larger differences are
// clock offsets.
constexpr std::int64_t min_clock_offset_us = 1'000'000;

// Maps addresses to processes, from the lines that processes log when they
// start.
std::map<std::string, std::string>
processes_by_address(const std::vector<log_record>& records) {
    constexpr std::string_view key = "packets=";
    std::map<std::string, std::string> out;
    for (const log_record& it : records) {
        const auto at = it.rest.find(key);
        if (it.event != "started" || at == std::string::npos)
            continue;
        const auto begin = at + key.size();
        out[it.rest.substr(begin, it.rest.find(':', begin) - begin)] =
            it.process;
    }
    return out;
}

// Time differences of receive and send events, by sender and receiver.
using clock_differences =
    std::map<std::pair<std::string, std::string>, std::vector<std::int64_t>>;

clock_differences compare_clocks(const std::vector<log_record>& records) {
    const auto names = processes_by_address(records);
    std::map<std::pair<std::string, std::string>, const log_record*> placed;
    clock_differences out;
    for (const log_record& it : records) {
        const auto to = names.find(it.machine);
        if (it.event == "flow_placed" && to != names.end())
            placed[{it.flow, to->second}] = &it;
    }
    for (const log_record& it : records) {
        const auto from = placed.find({it.flow, it.process});
        if (it.event == "flow_opened" && from != placed.end())
            out[{from->second->process, it.process}].push_back(
                it.at_us - from->second->at_us);
    }
    return out;
}

void print_clocks(const std::map<std::string, clock_offset>& clocks,
                  const std::set<std::string>& involved, std::ostream& out) {
    for (const std::string& it : involved) {
        const auto known = clocks.find(it);
        if (known == clocks.end() || known->second.pairs == 0)
            out << "clock of " << it << ": not compared, no matching events\n";
        else if (known->second.ahead_us != 0)
            out << "clock of " << it << ": "
                << known->second.ahead_us / us_per_ms << " ms ahead by "
                << known->second.pairs << " pairs of events, corrected below\n";
    }
}

void print_record(const log_record& it, char mark, std::ostream& out) {
    out << mark << ' ' << format_time(it.at_us) << ' ' << it.process << ' '
        << it.event;
    if (!it.flow.empty())
        out << " flow=" << it.flow;
    if (!it.machine.empty())
        out << " machine=" << it.machine;
    out << it.rest << '\n';
}

} // namespace

std::map<std::string, clock_offset>
clock_offsets(const std::vector<log_record>& records) {
    auto compared = compare_clocks(records);
    std::map<std::string, clock_offset> out;
    // In each group of processes connected by event pairs, the first one by
    // name is the reference.
    for (const auto& [pair, list] : compared)
        out.try_emplace(pair.first, clock_offset{0, list.size()});
    std::set<std::string> resolved;
    while (!compared.empty()) {
        auto next = std::ranges::find_if(compared, [&](const auto& it) {
            return resolved.contains(it.first.first) ||
                   resolved.contains(it.first.second);
        });
        if (next == compared.end()) {
            resolved.insert(compared.begin()->first.first);
            continue;
        }
        auto list = std::move(next->second);
        const auto [sender, receiver] = next->first;
        compared.erase(next);
        const auto middle =
            list.begin() + static_cast<std::ptrdiff_t>(list.size() / 2);
        std::ranges::nth_element(list, middle);
        const auto difference =
            std::abs(*middle) < min_clock_offset_us ? 0 : *middle;
        if (!resolved.contains(receiver))
            out[receiver] = {out[sender].ahead_us + difference, list.size()};
        else if (!resolved.contains(sender))
            out[sender] = {out[receiver].ahead_us - difference, list.size()};
        resolved.insert(sender);
        resolved.insert(receiver);
    }
    return out;
}

int print_flow_timeline(const timeline_options& options, std::ostream& out) {
    std::vector<log_record> records;
    if (!read_logs(options.logs,
                   [&](log_record&& it) { records.push_back(std::move(it)); }))
        return exit_findings;
    const auto clocks = clock_offsets(records);
    for (log_record& it : records)
        if (const auto known = clocks.find(it.process); known != clocks.end())
            it.at_us -= known->second.ahead_us;
    std::ranges::stable_sort(records, {}, &log_record::at_us);
    const auto names = processes_by_address(records);
    std::set<std::string> involved;
    std::optional<std::int64_t> first;
    std::int64_t last = 0;
    const auto matches = [&](const log_record& it) {
        return !it.flow.empty() &&
               it.flow.find(options.flow) != std::string::npos;
    };
    for (const log_record& it : records) {
        if (!matches(it))
            continue;
        first = first.value_or(it.at_us);
        last = it.at_us;
        involved.insert(it.process);
        if (const auto other = names.find(it.machine); other != names.end())
            involved.insert(other->second);
    }
    if (!first) {
        out << "no log line names a flow that contains \"" << options.flow
            << "\"\n";
        return exit_findings;
    }
    print_clocks(clocks, involved, out);
    const auto context = options.context_ms * us_per_ms;
    for (const log_record& it : records) {
        const bool near = it.flow.empty() && involved.contains(it.process) &&
                          it.at_us >= *first - context &&
                          it.at_us <= last + context;
        if (matches(it))
            print_record(it, '*', out);
        else if (near)
            print_record(it, ' ', out);
    }
    return exit_success;
}

} // namespace arbutusport::ctl
