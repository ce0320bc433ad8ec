// Replays traces and checks expected output counts.

#include <arbutusport/emulator/trace_replay.hpp>

#include <iomanip>
#include <memory>
#include <regex>
#include <sstream>

namespace arbutusport::emulator {

namespace {

void count_outputs(const nlohmann::json& outputs, replay_result& out) {
    for (const auto& it : outputs) {
        const auto kind = it.at(0).get<std::string>();
        ++out.counts[kind];
        if (kind == "dropped")
            ++out.counts[kind + ":" + it.at(1).get<std::string>()];
    }
}

template <class Node>
replay_result replay_on(Node& node, const trace& it) {
    replay_result out;
    for (const trace_event& event : it.events) {
        ++out.events;
        auto found = describe(feed(node, event.input, event.at));
        count_outputs(found, out);
        if (found == event.outputs)
            continue;
        out.difference = {out.events, event.at, name_of(event.input),
                          event.outputs, std::move(found)};
        break;
    }
    return out;
}

std::string one_per_line(const nlohmann::json& outputs) {
    std::string out;
    for (const auto& it : outputs)
        out += "\n    " + it.dump();
    return out.empty() ? " none" : out;
}

} // namespace

replay_result replay(const trace& it) {
    if (it.header.entry) {
        node::entry_node node(*it.header.entry);
        return replay_on(node, it);
    }
    node::host_node node(it.header.host.value());
    return replay_on(node, it);
}

std::string to_string(const trace_difference& it) {
    std::ostringstream out;
    out << "event " << it.event << " at " << std::fixed << std::setprecision(6)
        << std::chrono::duration<double>(it.at.time_since_epoch()).count()
        << " s, input " << it.input
        << "\n  recorded:" << one_per_line(it.recorded)
        << "\n  found:" << one_per_line(it.found);
    return out.str();
}

result<bool> check_outcome(const std::string& outcome,
                           const replay_result& it) {
    static const std::regex form("([a-z_]+(?::[a-z_]+)?)(==|<=|>=)([0-9]+)");
    std::smatch parts;
    if (!std::regex_match(outcome, parts, form))
        return fail("check_outcome", outcome,
                    "allowed: KIND or KIND:REASON, then ==, <= or >=, then a "
                    "number");
    const auto found = it.counts.find(parts[1]);
    const std::uint64_t n = found == it.counts.end() ? 0 : found->second;
    const std::uint64_t bound = std::stoull(parts[3]);
    if (parts[2] == "==")
        return n == bound;
    return parts[2] == "<=" ? n <= bound : n >= bound;
}

} // namespace arbutusport::emulator
