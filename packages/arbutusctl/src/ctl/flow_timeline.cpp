// Reads logs, estimates clock offsets and prints the timeline of a flow.

#include <arbutusport/ctl/commands.hpp>
#include <arbutusport/ctl/flow_timeline.hpp>

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/DateTimeParser.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <set>

namespace arbutusport::ctl {

namespace {

constexpr std::string_view time_key = "time=";
constexpr std::int64_t us_per_ms = 1000;
// Packet delay between processes stays below this; larger differences are
// clock offsets.
constexpr std::int64_t min_clock_offset_us = 1'000'000;
// Upper limit of printed messages about lines that cannot be parsed.
constexpr std::size_t max_printed_errors = 5;

// Removes the next key=value from `text`; a quoted value may contain spaces.
std::optional<std::pair<std::string, std::string>>
take_field(std::string_view& text) {
    text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
    const auto equals = text.find('=');
    if (text.empty() || equals == std::string_view::npos)
        return std::nullopt;
    std::pair<std::string, std::string> out{text.substr(0, equals), ""};
    text.remove_prefix(equals + 1);
    if (text.empty() || text.front() != '"') {
        const auto end = std::min(text.find(' '), text.size());
        out.second = text.substr(0, end);
        text.remove_prefix(end);
        return out;
    }
    std::size_t i = 1;
    for (; i < text.size() && text[i] != '"'; ++i) {
        if (text[i] == '\\' && i + 1 < text.size())
            ++i;
        out.second += text[i];
    }
    if (i >= text.size())
        return std::nullopt;
    text.remove_prefix(i + 1);
    return out;
}

std::optional<std::int64_t> parse_time(const std::string& text) {
    // POCO also accepts texts that are not times.
    constexpr std::string_view shape = "0000-00-00T00:00:00";
    if (text.size() < shape.size())
        return std::nullopt;
    for (std::size_t i = 0; i < shape.size(); ++i)
        if (shape[i] == '0' ? text[i] < '0' || text[i] > '9'
                            : text[i] != shape[i])
            return std::nullopt;
    int zone = 0;
    Poco::DateTime it;
    if (!Poco::DateTimeParser::tryParse(
            Poco::DateTimeFormat::ISO8601_FRAC_FORMAT, text, it, zone))
        return std::nullopt;
    return it.timestamp().epochMicroseconds();
}

std::string format_time(std::int64_t at_us) {
    return Poco::DateTimeFormatter::format(
        Poco::Timestamp(at_us), Poco::DateTimeFormat::ISO8601_FRAC_FORMAT);
}

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

void read_log(std::istream& in, const std::string& name,
              std::vector<log_record>& out, std::size_t& errors) {
    std::string line;
    for (std::size_t n = 1; std::getline(in, line); ++n) {
        std::string why;
        if (auto it = parse_log_line(line, why)) {
            out.push_back(std::move(*it));
            continue;
        }
        if (why.empty() || ++errors > max_printed_errors)
            continue;
        std::cerr << "arbutusctl: " << name << ':' << n << ": " << why << '\n';
    }
}

bool read_logs(const std::vector<std::string>& names,
               std::vector<log_record>& out, std::size_t& errors) {
    for (const std::string& name : names) {
        if (name == "-") {
            read_log(std::cin, "standard input", out, errors);
            continue;
        }
        std::ifstream in(name);
        if (!in) {
            std::cerr << "arbutusctl: " << name << ": cannot be read\n";
            return false;
        }
        read_log(in, name, out, errors);
    }
    return true;
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

std::optional<log_record> parse_log_line(std::string_view line,
                                         std::string& why) {
    const auto begin = line.find(time_key);
    if (begin == std::string_view::npos) {
        if (line.find("event=") != std::string_view::npos)
            why = "an event without a time";
        return std::nullopt;
    }
    std::string_view rest = line.substr(begin);
    log_record out;
    std::optional<std::int64_t> at;
    while (const auto it = take_field(rest)) {
        const auto& [key, value] = *it;
        if (key == "time")
            at = parse_time(value);
        else if (key == "process")
            out.process = value;
        else if (key == "event")
            out.event = value;
        else if (key == "flow")
            out.flow = value;
        else if (key == "machine")
            out.machine = value;
        else if (key != "level")
            out.rest += ' ' + key + '=' + value;
    }
    if (!at)
        why = "the time cannot be read";
    else if (out.event.empty())
        why = "a time without an event";
    else if (rest.find_first_not_of(' ') != std::string_view::npos)
        why = "broken off at \"" + std::string(rest) + '"';
    if (!why.empty())
        return std::nullopt;
    out.at_us = *at;
    return out;
}

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
    std::size_t errors = 0;
    if (!read_logs(options.logs, records, errors))
        return exit_findings;
    if (errors > 0)
        std::cerr << "arbutusctl: " << errors
                  << " lines could not be parsed and are omitted\n";
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
