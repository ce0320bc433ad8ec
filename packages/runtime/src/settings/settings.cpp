// Parses INI text with POCO and validates it against a table of keys.

#include <arbutusport/settings/settings.hpp>

#include <Poco/AutoPtr.h>
#include <Poco/String.h>
#include <Poco/StringTokenizer.h>
#include <Poco/Util/IniFileConfiguration.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <functional>
#include <numeric>
#include <set>
#include <span>
#include <sstream>

namespace arbutusport::settings {

namespace {

struct ini_entry {
    std::string section;
    std::string key;
    std::string value;
};

// Returns the full path of the only key of a configuration; empty if there is
// none.
std::string only_key(const Poco::Util::AbstractConfiguration& it) {
    std::string full;
    Poco::Util::AbstractConfiguration::Keys names;
    for (it.keys(names); !names.empty(); it.keys(full, names)) {
        full += (full.empty() ? "" : ".") + names.front();
        names.clear();
    }
    return full;
}

bool is_section_line(const std::string& line) {
    return Poco::trimLeft(line).starts_with('[');
}

// Parses line by line, each after the header of its section. POCO replaces an
// earlier value of the same key, so parsing the whole text would hide
// duplicates.
std::vector<ini_entry> parse_lines(std::istream& in) {
    std::vector<ini_entry> entries;
    std::string section_line;
    for (std::string line; std::getline(in, line);) {
        if (is_section_line(line)) {
            section_line = line;
            continue;
        }
        std::istringstream text(section_line + "\n" + line + "\n");
        const Poco::AutoPtr<Poco::Util::IniFileConfiguration> parsed(
            new Poco::Util::IniFileConfiguration(text));
        const auto full = only_key(*parsed);
        if (full.empty())
            continue;
        const auto dot = full.find('.');
        const bool in_section = dot != std::string::npos;
        entries.push_back({in_section ? full.substr(0, dot) : "",
                           in_section ? full.substr(dot + 1) : full,
                           parsed->getRawString(full)});
    }
    return entries;
}

enum class applies_to : std::uint8_t { both, entry, host };

// Stores `value` in the settings; returns false if it is not allowed.
using value_reader =
    std::function<bool(const std::string& value, process_settings& out)>;

struct key_rule {
    std::string section;
    std::string key;
    applies_to roles;
    bool required;
    std::string allowed;
    value_reader read;
};

constexpr std::size_t max_name_length = 64;

bool is_name(const std::string& text) {
    return text.size() <= max_name_length &&
           std::ranges::all_of(text, [](unsigned char c) {
               return std::isalnum(c) || c == '-' || c == '_' || c == '.';
           });
}

template <class Number>
bool read_number(const std::string& text, Number low, Number high,
                 Number& out) {
    const char* end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, out);
    return ec == std::errc{} && stop == end && out >= low && out <= high;
}

key_rule name_key(std::string section, std::string key, applies_to roles,
                  std::string process_settings::*field) {
    return {std::move(section),
            std::move(key),
            roles,
            true,
            "a name of at most 64 letters, digits, '-', '_' or '.'",
            [field](const std::string& value, process_settings& out) {
                out.*field = value;
                return is_name(value);
            }};
}

key_rule endpoint_key(std::string section, std::string key, applies_to roles,
                      endpoint process_settings::*field) {
    return {std::move(section),
            std::move(key),
            roles,
            true,
            "ip:port with an IPv4 number and a port of 1..65535",
            [field](const std::string& value, process_settings& out) {
                const auto it = parse_endpoint(value);
                out.*field = it.value_or(endpoint{});
                return it.has_value();
            }};
}

key_rule limit_key(std::string key, applies_to roles, std::size_t high,
                   std::optional<std::size_t> process_settings::*field) {
    return {"limits",
            std::move(key),
            roles,
            false,
            "an integer of 1.." + std::to_string(high),
            [field, high](const std::string& value, process_settings& out) {
                return read_number<std::size_t>(value, 1, high,
                                                (out.*field).emplace());
            }};
}

bool read_role(const std::string& value, process_settings& out) {
    out.role = value == "host" ? process_role::host : process_role::entry;
    return value == "host" || value == "entry";
}

bool read_seeds(const std::string& value, process_settings& out) {
    const Poco::StringTokenizer parts(value, ",",
                                      Poco::StringTokenizer::TOK_TRIM);
    for (const auto& part : parts) {
        const auto it = parse_endpoint(part);
        if (!it)
            return false;
        out.seeds.push_back(*it);
    }
    return true;
}

// Upper limit of a drain time-out in records and settings files.
constexpr std::int64_t max_drain_s = 86'400;

bool read_drain_timeout(const std::string& value, process_settings& out) {
    std::int64_t n = 0;
    const bool ok = read_number<std::int64_t>(value, 1, max_drain_s, n);
    out.drain_timeout = std::chrono::seconds(n);
    return ok;
}

bool read_level(const std::string& value, process_settings& out) {
    static const std::array<std::string, 4> names{"debug", "info", "warning",
                                                  "error"};
    const auto it = std::ranges::find(names, value);
    out.level = static_cast<log_level>(it - names.begin());
    return it != names.end();
}

std::vector<key_rule> make_rules() {
    using fields = process_settings;
    using enum applies_to;
    return {
        {"process", "role", both, true, "entry or host", read_role},
        name_key("process", "name", both, &fields::name),
        name_key("process", "data_centre", both, &fields::data_centre),
        name_key("process", "region", both, &fields::region),
        endpoint_key("listen", "packets", both, &fields::listen_packets),
        endpoint_key("listen", "control", both, &fields::listen_control),
        endpoint_key("listen", "metrics", both, &fields::listen_metrics),
        endpoint_key("listen", "fabric", entry, &fields::listen_fabric),
        endpoint_key("fabric", "address", entry, &fields::fabric),
        endpoint_key("platform", "address", both, &fields::platform),
        {"peers", "seeds", both, false,
         "ip:port[,ip:port...], control endpoints of other processes",
         read_seeds},
        name_key("host", "service", host, &fields::service),
        endpoint_key("host", "upstream", host, &fields::upstream),
        {"host", "drain_timeout_s", host, false,
         "an integer of 1..86400 without a unit (seconds)", read_drain_timeout},
        limit_key("max_hints", entry, 10'000'000, &fields::max_hints),
        limit_key("max_flows", host, 1'000'000, &fields::max_flows),
        limit_key("max_dedup", host, 1'000'000, &fields::max_dedup),
        {"log", "level", both, false, "debug, info, warning or error",
         read_level},
    };
}

const std::vector<key_rule>& rules() {
    static const std::vector<key_rule> it = make_rules();
    return it;
}

std::size_t edit_distance(const std::string& left, const std::string& right) {
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < right.size(); ++j) {
            const auto replaced = diagonal + (left[i] == right[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({replaced, row[j] + 1, diagonal + 1});
        }
    }
    return row.back();
}

std::string nearest_name(const std::string& text,
                         const std::set<std::string>& all) {
    return *std::ranges::min_element(
        all, {}, [&](const auto& it) { return edit_distance(text, it); });
}

std::set<std::string> known_sections() {
    std::set<std::string> names;
    for (const auto& it : rules())
        names.insert(it.section);
    return names;
}

std::set<std::string> known_keys(const std::string& section) {
    std::set<std::string> names;
    for (const auto& it : rules())
        if (it.section == section)
            names.insert(it.key);
    return names;
}

leaf::error_id invalid_setting(const std::string& file,
                               const std::string& section,
                               const std::string& key, const std::string& found,
                               const std::string& allowed) {
    return fail("read_settings", file,
                "section=" + section + " key=" + key + " found=\"" + found +
                    "\" allowed=\"" + allowed + "\"");
}

bool has_role(const key_rule& rule, process_role role) {
    return rule.roles == applies_to::both ||
           (rule.roles == applies_to::entry) == (role == process_role::entry);
}

// Returns a key without its unit suffix: "drain_timeout_ms" and
// "drain_timeout_s" have the same stem.
std::string stem_of(const std::string& key) {
    return key.substr(0, key.rfind('_'));
}

leaf::error_id unknown_setting(const std::string& file, const ini_entry& it) {
    const auto sections = known_sections();
    if (!sections.contains(it.section))
        return invalid_setting(file, it.section, it.key, "unknown section",
                               "nearest known section is " +
                                   nearest_name(it.section, sections));
    const auto near = nearest_name(it.key, known_keys(it.section));
    const bool other_unit = near.ends_with("_s") && near != it.key &&
                            stem_of(near) == stem_of(it.key);
    return invalid_setting(file, it.section, it.key,
                           other_unit ? "wrong unit" : "unknown key",
                           "nearest known key is " + near);
}

const key_rule* find_rule(const ini_entry& it) {
    const auto rule = std::ranges::find_if(rules(), [&](const key_rule& r) {
        return r.section == it.section && r.key == it.key;
    });
    return rule == rules().end() ? nullptr : &*rule;
}

result<void> check_names(const std::string& file,
                         const std::vector<ini_entry>& entries) {
    std::set<std::pair<std::string, std::string>> seen;
    for (const auto& it : entries) {
        if (find_rule(it) == nullptr)
            return unknown_setting(file, it);
        if (!seen.emplace(it.section, it.key).second)
            return invalid_setting(file, it.section, it.key, "duplicate key",
                                   "each key once");
    }
    return {};
}

result<void> read_values(const std::string& file,
                         const std::vector<ini_entry>& entries,
                         process_settings& out) {
    for (const auto& it : entries) {
        const key_rule& rule = *find_rule(it);
        if (it.value.empty())
            return invalid_setting(file, it.section, it.key, "no value",
                                   rule.allowed);
        if (!rule.read(it.value, out))
            return invalid_setting(file, it.section, it.key, it.value,
                                   rule.allowed);
    }
    return {};
}

result<void> check_roles(const std::string& file,
                         const std::vector<ini_entry>& entries,
                         process_role role) {
    for (const auto& it : entries)
        if (!has_role(*find_rule(it), role))
            return invalid_setting(file, it.section, it.key, it.value,
                                   std::string("not for role ") +
                                       to_string(role));
    for (const auto& rule : rules()) {
        const bool present =
            std::ranges::any_of(entries, [&](const ini_entry& it) {
                return it.section == rule.section && it.key == rule.key;
            });
        if (rule.required && has_role(rule, role) && !present)
            return invalid_setting(file, rule.section, rule.key, "nothing",
                                   rule.allowed);
    }
    return {};
}

} // namespace

const char* to_string(process_role it) {
    return it == process_role::host ? "host" : "entry";
}

result<process_settings> parse_settings(const std::string& text,
                                        const std::string& name) {
    std::istringstream in(text);
    const auto entries = parse_lines(in);
    process_settings out;
    BOOST_LEAF_CHECK(check_names(name, entries));
    BOOST_LEAF_CHECK(read_values(name, entries, out));
    BOOST_LEAF_CHECK(check_roles(name, entries, out.role));
    return out;
}

result<process_settings> read_settings(const std::string& path) {
    std::ifstream in(path);
    std::ostringstream text;
    if (!in || !(text << in.rdbuf()))
        return fail("read_settings", path,
                    "found=\"an unreadable file\" "
                    "allowed=\"a readable INI file\"");
    return parse_settings(text.str(), path);
}

} // namespace arbutusport::settings
