// Implements `arbutusctl diff`.

#include <arbutusport/ctl/commands.hpp>
#include <arbutusport/ctl/load_snapshot.hpp>
#include <arbutusport/records/diff.hpp>

#include <nlohmann/json.hpp>

#include <ostream>

namespace arbutusport::ctl {

namespace {

void print_text(const std::vector<records::change>& changes,
                std::ostream& out) {
    for (const records::change& it : changes) {
        out << (it.service.empty() ? "fleet" : it.service) << ": "
            << records::to_string(it.kind);
        if (!it.subject.empty())
            out << ' ' << it.subject;
        if (!it.before.empty() || !it.after.empty())
            out << " (" << it.before << " -> " << it.after << ')';
        if (!it.effect.empty())
            out << ": " << it.effect;
        out << '\n';
    }
    out << changes.size() << " changes\n";
}

void print_json(const std::vector<records::change>& changes,
                std::ostream& out) {
    auto list = nlohmann::json::array();
    for (const records::change& it : changes)
        list.push_back({{"kind", records::to_string(it.kind)},
                        {"service", it.service},
                        {"subject", it.subject},
                        {"before", it.before},
                        {"after", it.after},
                        {"flows_may_end", it.flows_may_end},
                        {"no_new_work", it.no_new_work},
                        {"effect", it.effect}});
    out << nlohmann::json{{"changes", list}}.dump(2) << '\n';
}

} // namespace

int diff(const diff_options& options, output_format format, std::ostream& out) {
    return handle_failure(
        [&]() -> result<int> {
            BOOST_LEAF_AUTO(from, load_snapshot(options.from));
            BOOST_LEAF_AUTO(to, load_snapshot(options.to));
            const auto changes = records::diff(*from, *to);
            if (format == output_format::json)
                print_json(changes, out);
            else
                print_text(changes, out);
            return exit_success;
        },
        [&](const failure& it) { return print_failure(it, out); });
}

} // namespace arbutusport::ctl
