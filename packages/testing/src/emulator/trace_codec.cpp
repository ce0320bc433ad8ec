// Converts headers, inputs and outputs of traces to and from CBOR values.

#include "trace_codec.hpp"

#include <arbutusport/records/delta.hpp>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace arbutusport::emulator {

namespace {

using nlohmann::json;

// Combines one lambda per alternative into a visitor for std::visit.
template <class... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};

template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

// Packets are stored in wire format, authenticated with a fixed key.
const wire::keyring& trace_keys() {
    static const wire::keyring keys = [] {
        wire::keyring made;
        made.add(key_id(0), {}, true);
        return made;
    }();
    return keys;
}

json pack(const endpoint& it) {
    return json::array({it.address, it.port});
}

endpoint unpack_endpoint(const json& it) {
    return {it.at(0).get<std::uint32_t>(), it.at(1).get<std::uint16_t>()};
}

json pack(const flow_key& it) {
    return json::array({pack(it.client), pack(it.service)});
}

flow_key unpack_flow(const json& it) {
    return {unpack_endpoint(it.at(0)), unpack_endpoint(it.at(1))};
}

json pack(const generation& it) {
    return json::array({it.epoch, it.revision});
}

generation unpack_generation(const json& it) {
    return {it.at(0).get<std::uint32_t>(), it.at(1).get<std::uint64_t>()};
}

json pack(const bytes& it) {
    return json::binary(it);
}

bytes unpack_bytes(const json& it) {
    const bytes& out = it.get_binary();
    return out;
}

json pack(const wire::packet& it) {
    bytes out;
    wire::encode_packet(it, trace_keys(), out);
    return pack(out);
}

wire::packet unpack_packet(const json& it) {
    return handle_failure(
        [&] { return wire::decode_packet(it.get_binary(), trace_keys()); },
        [](const failure& why) -> wire::packet {
            throw std::invalid_argument("packet " + why.reason);
        });
}

json pack(const std::vector<endpoint>& list) {
    json out = json::array();
    for (const endpoint& it : list)
        out.push_back(pack(it));
    return out;
}

template <class Options>
json pack_process(const Options& it) {
    return {{"self", it.self.value()},
            {"run", it.run.value()},
            {"data_centre", it.data_centre},
            {"seeds", pack(it.seeds)},
            {"seed", it.seed}};
}

template <class Options>
Options unpack_process(const json& it) {
    Options out;
    out.self = process_id(it.at("self").get<std::uint64_t>());
    out.run = incarnation(it.at("run").get<std::uint64_t>());
    out.data_centre = it.at("data_centre").get<std::string>();
    for (const json& seed : it.at("seeds"))
        out.seeds.push_back(unpack_endpoint(seed));
    out.seed = it.at("seed").get<std::uint64_t>();
    return out;
}

json pack_head(const config::head& it) {
    json records = json::array();
    for (const auto& record : it.records)
        records.push_back(json::array({record.key, record.revision}));
    return json::array({pack(it.gen), std::move(records)});
}

config::head unpack_head(const json& it) {
    config::head out{unpack_generation(it.at(0)), {}};
    for (const json& record : it.at(1))
        out.records.push_back({record.at(0).get<std::string>(),
                               record.at(1).get<std::uint64_t>()});
    return out;
}

json pack_records(const std::vector<records::raw_record>& list) {
    json out = json::array();
    for (const auto& it : list)
        out.push_back(json::array({it.key, it.json, it.revision}));
    return out;
}

std::vector<records::raw_record> unpack_records(const json& list) {
    std::vector<records::raw_record> out;
    for (const json& it : list)
        out.push_back({it.at(0).get<std::string>(), it.at(1).get<std::string>(),
                       it.at(2).get<std::uint64_t>()});
    return out;
}

json pack_list(const std::vector<node::listed_instance>& list) {
    json out = json::array();
    for (const auto& it : list)
        out.push_back(json::array({it.id.value(), it.leaving}));
    return out;
}

std::vector<node::listed_instance> unpack_list(const json& list) {
    std::vector<node::listed_instance> out;
    for (const json& it : list)
        out.push_back(
            {process_id(it.at(0).get<std::uint64_t>()), it.at(1).get<bool>()});
    return out;
}

json describe(const node::output& output) {
    return std::visit(
        overloaded{
            [](const node::send_packet& it) {
                return json::array(
                    {"send_packet", pack(it.to), pack(it.message)});
            },
            [](const node::send_to_client& it) {
                return json::array(
                    {"send_to_client", pack(it.flow), pack(it.datagram)});
            },
            [](const node::send_to_upstream& it) {
                return json::array({"send_to_upstream", pack(it.datagram)});
            },
            [](const node::send_sync& it) {
                return json::array(
                    {"send_sync", pack(it.peer), pack(it.request)});
            },
            [](const node::watch_head& it) {
                return json::array(
                    {"watch_head", pack(it.after), it.wait.count()});
            },
            [](const node::fetch_records& it) {
                return json::array({"fetch_records", it.keys});
            },
            [](const node::configuration_changed& it) {
                return json::array(
                    {"configuration_changed", pack(it.snapshot->gen),
                     records::compute_digest(it.snapshot->raw_records)});
            },
            [](const node::configuration_refused& it) {
                return json::array({"configuration_refused", pack(it.gen),
                                    it.why.peer, it.why.reason});
            },
            [](const node::dropped& it) {
                return json::array({"dropped", it.reason, it.peer.value()});
            },
        },
        output);
}

} // namespace

json pack(const trace_header& it) {
    json out{{"format", "arbutusport-trace"},
             {"version", trace_header::current_version},
             {"process", it.process}};
    if (it.entry) {
        out["role"] = "entry";
        out["options"] = pack_process(*it.entry);
        out["options"]["packets"] = pack(it.entry->router.packets);
        return out;
    }
    const node::host_node_options& host = it.host.value();
    out["role"] = "host";
    json& options = out["options"] = pack_process(host);
    options["service"] = host.service.value();
    options["binding_key"] = json::binary(
        {host.requests.binding_key.begin(), host.requests.binding_key.end()});
    if (host.drain_timeout)
        options["drain_timeout_us"] = host.drain_timeout->count();
    return out;
}

trace_header unpack_header(const json& it) {
    trace_header out;
    out.process = it.at("process").get<std::string>();
    const json& options = it.at("options");
    if (it.at("role") == "entry") {
        out.entry = unpack_process<node::entry_node_options>(options);
        out.entry->router.packets = unpack_endpoint(options.at("packets"));
        return out;
    }
    if (it.at("role") != "host")
        throw std::invalid_argument("unknown role; allowed: entry, host");
    out.host = unpack_process<node::host_node_options>(options);
    out.host->service = service_id(options.at("service").get<std::uint64_t>());
    const bytes& key = options.at("binding_key").get_binary();
    auto& to = out.host->requests.binding_key;
    if (key.size() != to.size())
        throw std::invalid_argument("binding_key has the wrong length");
    std::ranges::copy(key, to.begin());
    if (options.contains("drain_timeout_us"))
        out.host->drain_timeout =
            duration(options["drain_timeout_us"].get<std::int64_t>());
    return out;
}

json pack(const node_input& input) {
    return std::visit(
        overloaded{
            [](const packet_input& it) {
                return json::array({"packet", pack(it.from), pack(it.message)});
            },
            [](const client_input& it) {
                return json::array(
                    {"client", pack(it.flow), pack(it.datagram)});
            },
            [](const upstream_input& it) {
                return json::array({"upstream", pack(it.datagram)});
            },
            [](const tick_input&) { return json::array({"tick"}); },
            [](const head_input& it) {
                return json::array({"head", pack_head(it.value)});
            },
            [](const records_input& it) {
                return json::array({"records", pack_records(it.read)});
            },
            [](const platform_error_input&) {
                return json::array({"platform_error"});
            },
            [](const sync_request_input& it) {
                return json::array({"sync_request", pack(it.request)});
            },
            [](const sync_reply_input& it) {
                return json::array(
                    {"sync_reply", pack(it.peer), pack(it.reply)});
            },
            [](const sync_error_input& it) {
                return json::array({"sync_error", pack(it.peer)});
            },
            [](const instances_input& it) {
                return json::array({"instances", pack_list(it.list)});
            },
            [](const stop_input& it) {
                return json::array({"stop", it.limit.count()});
            },
        },
        input);
}

node_input unpack_input(const json& it) {
    const auto name = it.at(0).get<std::string>();
    if (name == "packet")
        return packet_input{unpack_endpoint(it.at(1)), unpack_packet(it.at(2))};
    if (name == "client")
        return client_input{unpack_flow(it.at(1)), unpack_bytes(it.at(2))};
    if (name == "upstream")
        return upstream_input{unpack_bytes(it.at(1))};
    if (name == "tick")
        return tick_input{};
    if (name == "head")
        return head_input{unpack_head(it.at(1))};
    if (name == "records")
        return records_input{unpack_records(it.at(1))};
    if (name == "platform_error")
        return platform_error_input{};
    if (name == "sync_request")
        return sync_request_input{unpack_bytes(it.at(1))};
    if (name == "sync_reply")
        return sync_reply_input{unpack_endpoint(it.at(1)),
                                unpack_bytes(it.at(2))};
    if (name == "sync_error")
        return sync_error_input{unpack_endpoint(it.at(1))};
    if (name == "instances")
        return instances_input{unpack_list(it.at(1))};
    if (name == "stop")
        return stop_input{duration(it.at(1).get<std::int64_t>())};
    throw std::invalid_argument("unknown input " + name);
}

std::string name_of(const node_input& it) {
    return pack(it).at(0).get<std::string>();
}

json describe(const node_result& it) {
    json out = json::array();
    for (const node::output& action : it.actions)
        out.push_back(describe(action));
    if (it.reply)
        out.push_back(json::array({"sync_reply", pack(*it.reply)}));
    return out;
}

} // namespace arbutusport::emulator
