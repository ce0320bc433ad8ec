// Reads and validates typed JSON fields.

#include "field_reader.hpp"

#include <algorithm>
#include <cmath>

namespace arbutusport::records {

namespace {

using nlohmann::json;

constexpr std::size_t max_text_length = 128;
constexpr std::size_t max_described_length = 48;

// Parses a document without building it and stops at the nesting limit.
class nesting_checker : public json::json_sax_t {
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t&) override { return true; }
    bool string(string_t&) override { return true; }
    bool binary(binary_t&) override { return true; }
    bool start_object(std::size_t) override { return enter(); }
    bool key(string_t&) override { return true; }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t) override { return enter(); }
    bool end_array() override { return leave(); }
    bool parse_error(std::size_t, const std::string&,
                     const json::exception&) override {
        return false;
    }

private:
    bool enter() { return ++depth_ <= max_nesting; }
    bool leave() {
        --depth_;
        return true;
    }

    std::size_t depth_ = 0;
};

bool is_printable(const std::string& text) {
    return std::ranges::all_of(
        text, [](unsigned char c) { return c >= 0x20 && c != 0x7f; });
}

std::string range_text(std::uint64_t low, std::uint64_t high) {
    return "an integer from " + std::to_string(low) + " to " +
           std::to_string(high);
}

bool is_in_range(const json& value, std::uint64_t low, std::uint64_t high) {
    if (!value.is_number_unsigned())
        return false;
    const auto n = value.get<std::uint64_t>();
    return n >= low && n <= high;
}

} // namespace

bool is_well_formed(std::string_view data, json::input_format_t as) {
    nesting_checker checker;
    return json::sax_parse(data.begin(), data.end(), &checker, as);
}

std::string join_path(const std::string& path, const std::string& field) {
    return path.empty() ? field : path + "." + field;
}

std::string describe(const json& value) {
    if (value.is_array())
        return "a list";
    if (value.is_object())
        return "an object";
    std::string text =
        value.dump(-1, ' ', true, json::error_handler_t::replace);
    if (text.size() > max_described_length)
        text = text.substr(0, max_described_length) + "...";
    return text;
}

void field_reader::reject(const std::string& path, const std::string& found,
                          const std::string& allowed) {
    errors_.push_back({"check_records", key_,
                       path + ": found " + found + ", allowed " + allowed});
}

const json* field_reader::find_required(const node& in, const char* field,
                                        const std::string& allowed) {
    const auto it = in.value.find(field);
    if (it != in.value.end())
        return &*it;
    reject(join_path(in.path, field), "nothing", allowed);
    return nullptr;
}

std::string field_reader::text(const node& in, const char* field) {
    const std::string allowed = "text of 1 to 128 printable characters";
    const json* value = find_required(in, field, allowed);
    if (!value)
        return {};
    if (value->is_string()) {
        const auto& text = value->get_ref<const std::string&>();
        if (!text.empty() && text.size() <= max_text_length &&
            is_printable(text))
            return text;
    }
    reject(join_path(in.path, field), describe(*value), allowed);
    return {};
}

std::string field_reader::optional_text(const node& in, const char* field) {
    return in.value.contains(field) ? text(in, field) : std::string{};
}

endpoint field_reader::address(const node& in, const char* field) {
    const std::string allowed =
        "an IPv4 address and port (a.b.c.d:port, not 0)";
    const json* value = find_required(in, field, allowed);
    if (!value)
        return {};
    if (value->is_string())
        if (const auto it =
                parse_endpoint(value->get_ref<const std::string&>());
            it && it->address != 0)
            return *it;
    reject(join_path(in.path, field), describe(*value), allowed);
    return {};
}

std::uint64_t field_reader::integer(const node& in, const char* field,
                                    std::uint64_t low, std::uint64_t high) {
    const std::string allowed = range_text(low, high);
    const json* value = find_required(in, field, allowed);
    if (!value)
        return low;
    if (is_in_range(*value, low, high))
        return value->get<std::uint64_t>();
    reject(join_path(in.path, field), describe(*value), allowed);
    return low;
}

void field_reader::optional_integer(const node& in, const char* field,
                                    std::uint64_t low, std::uint64_t high,
                                    std::uint32_t& out) {
    if (in.value.contains(field))
        out = static_cast<std::uint32_t>(integer(in, field, low, high));
}

void field_reader::optional_number(const node& in, const char* field,
                                   double low, double high, double& out) {
    const auto it = in.value.find(field);
    if (it == in.value.end())
        return;
    if (it->is_number()) {
        const double value = it->get<double>();
        if (std::isfinite(value) && value > low && value <= high) {
            out = value;
            return;
        }
    }
    reject(join_path(in.path, field), describe(*it),
           "a number above " + json(low).dump() + " and at most " +
               json(high).dump());
}

std::vector<node> field_reader::objects(const node& in, const char* field,
                                        bool may_be_empty) {
    const std::string path = join_path(in.path, field);
    const std::string allowed =
        may_be_empty ? "a list of objects" : "a list of at least one object";
    const json* list = find_required(in, field, allowed);
    if (!list)
        return {};
    if (!list->is_array() || (list->empty() && !may_be_empty)) {
        reject(path, list->is_array() ? "an empty list" : describe(*list),
               allowed);
        return {};
    }
    std::vector<node> found;
    for (std::size_t i = 0; i < list->size(); ++i) {
        std::string at = path + "[" + std::to_string(i) + "]";
        if ((*list)[i].is_object())
            found.push_back({(*list)[i], std::move(at)});
        else
            reject(at, describe((*list)[i]), "an object");
    }
    return found;
}

const json* field_reader::optional_object(const node& in, const char* field) {
    const auto it = in.value.find(field);
    if (it == in.value.end())
        return nullptr;
    if (it->is_object())
        return &*it;
    reject(join_path(in.path, field), describe(*it), "an object");
    return nullptr;
}

} // namespace arbutusport::records
