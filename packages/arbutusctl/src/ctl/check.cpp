// Implements `arbutusctl check`.

#include <arbutusport/ctl/commands.hpp>
#include <arbutusport/ctl/record_directory.hpp>
#include <arbutusport/records/parse.hpp>
#include <arbutusport/settings/settings.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ostream>

namespace arbutusport::ctl {

namespace {

struct finding {
    std::string severity;
    std::string file;
    std::size_t line = 0;
    std::string field;
    std::string message;
};

using findings = std::vector<finding>;

// Returns the field path of "<field path>: <text>"; empty if there is none.
std::string field_of(const std::string& reason) {
    const auto colon = reason.find(": ");
    const std::string front = reason.substr(0, colon);
    const bool is_path = colon != std::string::npos &&
                         front.find_first_of(" \"") == std::string::npos;
    return is_path ? front : "";
}

finding make_finding(const char* severity, const record_directory& directory,
                     const std::string& key, const std::string& reason) {
    finding it{.severity = severity, .field = field_of(reason)};
    it.message = it.field.empty() ? reason : reason.substr(it.field.size() + 2);
    const auto file = directory.files.find(key);
    it.file = file == directory.files.end() ? directory.path : file->second;
    const auto record =
        std::ranges::find(directory.set, key, &records::raw_record::key);
    if (record != directory.set.end())
        it.line = line_of_field(record->json, it.field);
    return it;
}

void check_directory(const std::string& path, findings& out) {
    handle_failure(
        [&]() -> result<void> {
            BOOST_LEAF_AUTO(directory, read_record_directory(path));
            for (const failure& it :
                 records::check_records(directory.gen, directory.set))
                out.push_back(
                    make_finding("error", directory, it.peer, it.reason));
            for (const auto& record : directory.set)
                for (const auto& it : records::unknown_fields(record))
                    out.push_back(
                        make_finding("warning", directory, record.key, it));
            return {};
        },
        [&](const failure& it) {
            out.push_back(
                {.severity = "error", .file = it.peer, .message = it.reason});
        });
}

void check_settings(const std::string& path, findings& out) {
    handle_failure(
        [&]() -> result<void> {
            BOOST_LEAF_CHECK(settings::read_settings(path));
            return {};
        },
        [&](const failure& it) {
            out.push_back(
                {.severity = "error", .file = it.peer, .message = it.reason});
        });
}

void print_text(const findings& found, std::ostream& out) {
    for (const finding& it : found) {
        out << it.severity << ": " << it.file;
        if (it.line > 0)
            out << ':' << it.line;
        out << ": ";
        if (!it.field.empty())
            out << it.field << ": ";
        out << it.message << '\n';
    }
}

void print_json(const findings& found, std::ostream& out) {
    auto list = nlohmann::json::array();
    for (const finding& it : found)
        list.push_back({{"severity", it.severity},
                        {"file", it.file},
                        {"line", it.line},
                        {"field", it.field},
                        {"message", it.message}});
    out << nlohmann::json{{"findings", list}}.dump(2) << '\n';
}

} // namespace

int check(const check_options& options, output_format format,
          std::ostream& out) {
    findings found;
    if (!options.records.empty())
        check_directory(options.records, found);
    for (const std::string& it : options.settings)
        check_settings(it, found);
    const auto errors =
        std::ranges::count(found, std::string("error"), &finding::severity);
    if (format == output_format::json)
        print_json(found, out);
    else {
        print_text(found, out);
        out << errors << " errors, "
            << found.size() - static_cast<std::size_t>(errors) << " warnings\n";
    }
    return errors > 0 ? exit_findings : exit_success;
}

} // namespace arbutusport::ctl
