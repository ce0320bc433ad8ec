// Parses log lines and reads log files line by line.

#include <arbutusport/ctl/log_records.hpp>

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/DateTimeParser.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <utility>

namespace arbutusport::ctl {

namespace {

constexpr std::string_view time_key = "time=";
// Upper limit of printed messages about lines that cannot be parsed.
constexpr std::size_t max_printed_errors = 5;
// Files after which a line on standard error states the progress.
constexpr std::size_t files_per_progress_line = 100;

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

void read_log(std::istream& in, const std::string& name,
              const std::function<void(log_record&&)>& visit,
              std::size_t& errors) {
    std::string line;
    for (std::size_t n = 1; std::getline(in, line); ++n) {
        std::string why;
        if (auto it = parse_log_line(line, why)) {
            visit(std::move(*it));
            continue;
        }
        if (why.empty() || ++errors > max_printed_errors)
            continue;
        std::cerr << "arbutusctl: " << name << ':' << n << ": " << why << '\n';
    }
}

// Replaces each directory by its regular files, in the order of their names.
std::vector<std::string> expand(const std::vector<std::string>& names) {
    std::vector<std::string> out;
    for (const std::string& name : names) {
        std::error_code ec;
        if (!std::filesystem::is_directory(name, ec)) {
            out.push_back(name);
            continue;
        }
        std::vector<std::string> files;
        for (const auto& it : std::filesystem::directory_iterator(name, ec))
            if (it.is_regular_file(ec))
                files.push_back(it.path().string());
        std::ranges::sort(files);
        out.insert(out.end(), files.begin(), files.end());
    }
    return out;
}

} // namespace

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

std::string format_time(std::int64_t at_us) {
    return Poco::DateTimeFormatter::format(
        Poco::Timestamp(at_us), Poco::DateTimeFormat::ISO8601_FRAC_FORMAT);
}

bool read_logs(const std::vector<std::string>& names,
               const std::function<void(log_record&&)>& visit) {
    std::size_t errors = 0;
    std::size_t files = 0;
    const auto all = expand(names);
    for (const std::string& name : all) {
        if (name == "-") {
            read_log(std::cin, "standard input", visit, errors);
            continue;
        }
        std::ifstream in(name);
        if (!in) {
            std::cerr << "arbutusctl: " << name << ": cannot be read\n";
            return false;
        }
        read_log(in, name, visit, errors);
        if (++files % files_per_progress_line == 0)
            std::cerr << "arbutusctl: read " << files << " of " << all.size()
                      << " files\n";
    }
    if (errors > 0)
        std::cerr << "arbutusctl: " << errors
                  << " lines could not be parsed and are omitted\n";
    return true;
}

} // namespace arbutusport::ctl
