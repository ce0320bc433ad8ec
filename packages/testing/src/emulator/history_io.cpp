// Each event is a JSON object; enumerators are written by name.

#include <arbutusport/emulator/history_io.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <istream>
#include <optional>
#include <ostream>
#include <string_view>

namespace arbutusport::emulator {

namespace {

using nlohmann::json;

// Indexed by enumerator.
constexpr std::array<std::string_view, 4> kind_names{"sent", "ran", "told",
                                                     "drained"};
constexpr std::array<std::string_view, 5> outcome_names{
    "none", "answered", "not_run", "unknown", "timeout"};

template <class Enum, std::size_t N>
std::optional<Enum>
parse_enumerator(const std::array<std::string_view, N>& names,
                 std::string_view text) {
    for (std::size_t i = 0; i < N; ++i)
        if (names[i] == text)
            return static_cast<Enum>(i);
    return std::nullopt;
}

result<event> parse_event(const std::string& line,
                          const std::string& line_number) {
    const json it = json::parse(line, nullptr, false);
    if (!it.is_object())
        return fail("read_history", line_number, "not a JSON object");
    try {
        event out;
        out.at = time_point(duration(it.at("at_us").get<std::int64_t>()));
        const auto kind = parse_enumerator<event_kind>(
            kind_names, it.at("kind").get<std::string>());
        const auto result = parse_enumerator<outcome>(
            outcome_names, it.value("outcome", std::string("none")));
        if (!kind || !result)
            return fail("read_history", line_number, "unknown kind or outcome");
        out.kind = *kind;
        out.result = *result;
        out.request = it.value("request", std::string());
        out.client = it.value("client", std::string());
        out.service = it.value("service", std::string());
        out.host = it.value("host", std::string());
        out.idempotent = it.value("idempotent", false);
        out.answered_request = it.value("answered_request", std::string());
        out.body_whole = it.value("body_whole", true);
        return out;
    } catch (const json::exception& e) {
        return fail("read_history", line_number, e.what());
    }
}

} // namespace

std::string to_json(const event& it) {
    json out;
    out["at_us"] = it.at.time_since_epoch().count();
    out["kind"] = kind_names.at(static_cast<std::size_t>(it.kind));
    out["outcome"] = outcome_names.at(static_cast<std::size_t>(it.result));
    out["request"] = it.request;
    out["client"] = it.client;
    out["service"] = it.service;
    out["host"] = it.host;
    out["idempotent"] = it.idempotent;
    out["answered_request"] = it.answered_request;
    out["body_whole"] = it.body_whole;
    return out.dump();
}

void write_history(const history& events, std::ostream& out) {
    for (const event& it : events)
        out << to_json(it) << '\n';
}

result<history> read_history(std::istream& in) {
    history out;
    std::size_t line_number = 0;
    for (std::string line; std::getline(in, line);) {
        ++line_number;
        if (line.empty())
            continue;
        BOOST_LEAF_AUTO(it, parse_event(line, std::to_string(line_number)));
        out.push_back(std::move(it));
    }
    return out;
}

} // namespace arbutusport::emulator
