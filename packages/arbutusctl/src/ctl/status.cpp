// Implements `arbutusctl status`.

#include <arbutusport/adapters/control_channel.hpp>
#include <arbutusport/ctl/commands.hpp>

#include <nlohmann/json.hpp>

#include <iomanip>
#include <ostream>

namespace arbutusport::ctl {

namespace {

using nlohmann::json;

json request_status(const endpoint& process, duration timeout) {
    const bytes request{
        static_cast<std::uint8_t>(adapters::control_type::status)};
    return handle_failure(
        [&]() -> result<json> {
            BOOST_LEAF_AUTO(
                reply, adapters::request_control(process, request, timeout));
            json it = json::parse(reply, nullptr, false);
            if (!it.is_object())
                return fail("status", to_string(process),
                            "the reply is not a JSON object");
            it["address"] = to_string(process);
            return it;
        },
        [&](const failure& it) {
            return json{{"address", to_string(process)},
                        {"error", it.step + ": " + it.reason}};
        });
}

std::string text_of(const json& it, const char* key) {
    if (!it.contains(key) || it[key].is_null())
        return "-";
    return it[key].is_string() ? it[key].get<std::string>() : it[key].dump();
}

// "name=n,name=n", or "-" if empty.
std::string pairs_of(const json& it, const char* key) {
    std::string out;
    if (it.contains(key) && it[key].is_object())
        for (const auto& [name, n] : it[key].items())
            out += (out.empty() ? "" : ",") + name + "=" + n.dump();
    return out.empty() ? "-" : out;
}

void print_row(const json& it, std::ostream& out) {
    out << std::left << std::setw(22) << text_of(it, "address");
    if (it.contains("error")) {
        out << "error: " << text_of(it, "error") << '\n';
        return;
    }
    const auto slots = it.value("slots", json::object());
    out << std::setw(16) << text_of(it, "name") << std::setw(7)
        << text_of(it, "role") << std::setw(10) << text_of(it, "generation")
        << std::setw(7) << text_of(it, "reader") << std::setw(9)
        << text_of(it, "draining") << std::setw(8) << text_of(it, "flows")
        << std::setw(9) << text_of(it, "sessions") << std::setw(7)
        << (text_of(slots, "used") + "/" + text_of(slots, "of")) << std::setw(6)
        << text_of(it, "queue") << pairs_of(it, "members") << "  "
        << pairs_of(it, "drops") << '\n';
    if (it.contains("refused") && it["refused"].is_object())
        out << "    refused generation " << text_of(it["refused"], "generation")
            << ": " << text_of(it["refused"], "reason") << '\n';
}

void print_text(const json& processes, std::ostream& out) {
    out << std::left << std::setw(22) << "address" << std::setw(16) << "name"
        << std::setw(7) << "role" << std::setw(10) << "generat." << std::setw(7)
        << "reader" << std::setw(9) << "draining" << std::setw(8) << "flows"
        << std::setw(9) << "sessions" << std::setw(7) << "slots" << std::setw(6)
        << "queue"
        << "members  drops\n";
    for (const json& it : processes)
        print_row(it, out);
}

} // namespace

int status(const status_options& options, output_format format,
           std::ostream& out) {
    json processes = json::array();
    bool all_answered = true;
    for (const endpoint& it : options.processes) {
        processes.push_back(request_status(it, options.timeout));
        all_answered = all_answered && !processes.back().contains("error");
    }
    if (format == output_format::json)
        out << json{{"processes", processes}}.dump(2) << '\n';
    else
        print_text(processes, out);
    return all_answered ? exit_success : exit_findings;
}

} // namespace arbutusport::ctl
