// Reads record files and finds the lines of their fields.

#include <arbutusport/ctl/record_directory.hpp>

#include <boost/algorithm/string/predicate.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace arbutusport::ctl {

namespace {

namespace fs = std::filesystem;

std::string read_file(const fs::path& path) {
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}

// Returns the epoch of the fleet record, or 0; the record checks report errors.
std::uint32_t epoch_of(const std::vector<records::raw_record>& set) {
    for (const records::raw_record& it : set) {
        if (!it.key.starts_with("fleet/"))
            continue;
        const auto json = nlohmann::json::parse(it.json, nullptr, false);
        if (json.is_object() && json.contains("epoch") &&
            json["epoch"].is_number_unsigned())
            return json["epoch"].get<std::uint32_t>();
    }
    return 0;
}

// Scans a JSON text and records the line of each field path.
class field_locator {
public:
    explicit field_locator(std::string_view json) : json_(json) {}

    std::map<std::string, std::size_t> run() {
        scan_value("");
        return std::move(lines_);
    }

private:
    bool at_end() const { return position_ >= json_.size(); }
    char peek() const { return at_end() ? '\0' : json_[position_]; }

    void advance() {
        if (peek() == '\n')
            ++line_;
        ++position_;
    }

    void skip_space() {
        while (!at_end() && std::string_view(" \t\r\n,:").find(peek()) !=
                                std::string_view::npos)
            advance();
    }

    std::string scan_string() {
        std::string out;
        for (advance(); !at_end() && peek() != '"'; advance()) {
            if (peek() == '\\')
                advance();
            out += peek();
        }
        advance();
        return out;
    }

    void scan_value(const std::string& path) {
        skip_space();
        lines_.emplace(path, line_);
        if (peek() == '{')
            scan_object(path);
        else if (peek() == '[')
            scan_array(path);
        else if (peek() == '"')
            scan_string();
        else
            while (!at_end() && std::string_view(",]} \n").find(peek()) ==
                                    std::string_view::npos)
                advance();
    }

    void scan_object(const std::string& path) {
        advance();
        for (skip_space(); !at_end() && peek() == '"'; skip_space()) {
            const std::string name = scan_string();
            scan_value(path.empty() ? name : path + "." + name);
        }
        advance();
    }

    void scan_array(const std::string& path) {
        advance();
        std::size_t n = 0;
        for (skip_space(); !at_end() && peek() != ']'; skip_space())
            scan_value(path + "[" + std::to_string(n++) + "]");
        advance();
    }

    std::string_view json_;
    std::size_t position_ = 0;
    std::size_t line_ = 1;
    std::map<std::string, std::size_t> lines_;
};

} // namespace

result<record_directory> read_record_directory(const std::string& path) {
    record_directory out{.path = path};
    std::error_code ec;
    std::vector<fs::path> files;
    for (fs::directory_iterator it(path, ec), end; !ec && it != end;
         it.increment(ec))
        if (it->path().extension() == ".json")
            files.push_back(it->path());
    if (ec)
        return fail("read_records", path, ec.message());
    if (files.empty())
        return fail("read_records", path, "found no *.json file");
    std::ranges::sort(files);
    for (const fs::path& it : files) {
        const std::string stem = it.stem().string();
        const auto dot = stem.find('.');
        if (dot == std::string::npos || dot == 0 || dot + 1 == stem.size())
            return fail("read_records", it.string(),
                        "found file name " + it.filename().string() +
                            ", allowed <kind>.<name>.json");
        const std::string key =
            stem.substr(0, dot) + "/" + stem.substr(dot + 1);
        out.files[key] = it.string();
        out.set.push_back({.key = key, .json = read_file(it)});
    }
    out.gen = {epoch_of(out.set), 0};
    return out;
}

std::size_t line_of_field(std::string_view json, std::string_view path) {
    const auto lines = field_locator(json).run();
    std::string wanted(path);
    for (;;) {
        if (const auto it = lines.find(wanted); it != lines.end())
            return it->second;
        const auto cut = wanted.find_last_of(".[");
        if (cut == std::string::npos)
            return 1;
        wanted.resize(cut);
    }
}

} // namespace arbutusport::ctl
