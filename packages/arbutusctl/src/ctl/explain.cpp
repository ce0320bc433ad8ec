// Implements `arbutusctl explain` for records.

#include <arbutusport/ctl/commands.hpp>
#include <arbutusport/ctl/load_snapshot.hpp>
#include <arbutusport/routing/explain.hpp>

#include <nlohmann/json.hpp>

#include <ostream>

namespace arbutusport::ctl {

namespace {

const char* state_name(records::host_state it) {
    switch (it) {
    case records::host_state::active:
        return "active";
    case records::host_state::draining:
        return "draining";
    default:
        return "out";
    }
}

const records::service* find_service(const records::snapshot& snapshot,
                                     const std::string& name_or_address) {
    if (const auto address = parse_endpoint(name_or_address))
        return snapshot.find_service(*address);
    return snapshot.find_service(service_id_of(name_or_address));
}

void print_text(const routing::explanation& it, std::ostream& out) {
    out << "generation " << to_string(it.gen) << " service " << it.service
        << " slot " << it.slot.value() << '\n';
    std::size_t rank = 1;
    for (const auto& host : it.hosts) {
        out << "  " << rank++ << ". " << host.name << ' '
            << state_name(host.state);
        if (host.is_home)
            out << ", home: places new flows of the slot";
        if (host.is_eligible)
            out << ", may get this flow if it is new";
        out << '\n';
    }
    out << "An open flow stays with its owner; a new one goes to the less "
           "loaded of the hosts that may get it.\n";
}

void print_json(const routing::explanation& it, std::ostream& out) {
    auto hosts = nlohmann::json::array();
    for (const auto& host : it.hosts)
        hosts.push_back({{"name", host.name},
                         {"state", state_name(host.state)},
                         {"score", host.score},
                         {"home", host.is_home},
                         {"eligible", host.is_eligible}});
    out << nlohmann::json{{"generation", to_string(it.gen)},
                          {"service", it.service},
                          {"slot", it.slot.value()},
                          {"hosts", hosts}}
               .dump(2)
        << '\n';
}

} // namespace

int explain(const explain_options& options, output_format format,
            std::ostream& out) {
    return handle_failure(
        [&]() -> result<int> {
            BOOST_LEAF_AUTO(snapshot, load_snapshot(options.records));
            const auto* service = find_service(*snapshot, options.service);
            if (!service)
                return fail("explain", options.records,
                            "found no service " + options.service);
            const auto it =
                routing::explain(*snapshot, {options.client, service->address});
            if (format == output_format::json)
                print_json(*it, out);
            else
                print_text(*it, out);
            return exit_success;
        },
        [&](const failure& it) { return print_failure(it, out); });
}

} // namespace arbutusport::ctl
