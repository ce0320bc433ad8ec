// Encoding of the relay's messages: one type byte, then the fields.

#include "directory_codec.hpp"

#include <arbutusport/base/hash.hpp>
#include <arbutusport/relay/messages.hpp>

#include <algorithm>
#include <array>

namespace arbutusport::relay {

namespace {

enum class type : std::uint8_t {
    hello = 1,
    load_report,
    owned_flows,
    flow_query,
    flow_denial,
    packet_returned,
    peer_hello,
    directory_request,
    directory_part,
    // A peer_hello followed by a reader_announcement and a flag.
    peer_hello_with_reader,
    directory_delta,
    // The messages above with positions in another era than the first.
    peer_hello_with_era,
    directory_part_with_era,
    directory_delta_with_era,
    // Positions state their era always.
    barrier_request,
    barrier_reply,
    // A hello followed by an optional directive, and a load_report followed by
    // the host's work.
    hello_with_directive,
    load_report_with_work,
    operator_intent,
    // A directory_delta followed by the optional change of routes.
    directory_delta_with_routes,
    directory_position,
    directory_part_request,
};

constexpr auto last_type = type::directory_part_request;

constexpr std::size_t flow_bytes = 2 * endpoint_bytes + 8;
constexpr std::size_t departed_bytes = 6;
constexpr std::size_t evacuation_bytes = 24;
constexpr std::size_t warmup_limit_bytes = 20;
// Rates are sent in thousandths of an opening a second.
constexpr double rate_unit = 1000;
constexpr double max_rate = 4e9 / rate_unit;

void put(byte_writer& out, const flow_key& it) {
    put(out, it.client);
    put(out, it.service);
}

flow_key take_flow(byte_reader& in) {
    const auto client = take_endpoint(in);
    return {client, take_endpoint(in)};
}

void put(byte_writer& out, const std::vector<machine_address>& list) {
    put_count(out, list.size());
    for (const machine_address it : list)
        out.put(it.value());
}

std::vector<machine_address> take_machines(byte_reader& in) {
    std::vector<machine_address> out;
    for (auto n = in.take_count(sizeof(std::uint32_t)); n > 0; --n)
        out.emplace_back(in.take<std::uint32_t>());
    return out;
}

void put_type(byte_writer& out, type it) {
    out.put(static_cast<std::uint8_t>(it));
}

// A value above `last` is rejected.
template <class Enum>
Enum take_enum(byte_reader& in, Enum last) {
    const auto value = in.take<std::uint8_t>();
    if (value > static_cast<std::uint8_t>(last))
        in.reject();
    return static_cast<Enum>(value);
}

void put(byte_writer& out, const std::vector<evacuation>& list) {
    put_count(out, list.size());
    for (const evacuation& it : list) {
        out.put(it.data_centre.value());
        put(out, it.at);
    }
}

std::vector<evacuation> take_evacuations(byte_reader& in) {
    std::vector<evacuation> out;
    for (auto n = in.take_count(evacuation_bytes); n > 0; --n) {
        const data_centre_id data_centre(in.take<std::uint64_t>());
        out.push_back({data_centre, take_revision(in)});
    }
    return out;
}

void put_rate(byte_writer& out, double it) {
    out.put(
        static_cast<std::uint32_t>(std::clamp(it, 0.0, max_rate) * rate_unit));
}

double take_rate(byte_reader& in) {
    return in.take<std::uint32_t>() / rate_unit;
}

void put(byte_writer& out, const host_directive& it) {
    put(out, it.as_of);
    put_flag(out, it.evacuated);
    put_rate(out, it.openings_per_second);
    put_duration(out, it.cold_left);
    put_duration(out, it.warmup);
}

host_directive take_directive(byte_reader& in) {
    host_directive it;
    it.as_of = take_revision(in);
    it.evacuated = take_flag(in);
    it.openings_per_second = take_rate(in);
    it.cold_left = take_duration(in);
    it.warmup = take_duration(in);
    return it;
}

void put(byte_writer& out, const host_work& it) {
    out.put(it.backlog_us);
    out.put(it.service_us);
    out.put(it.service_high_us);
    out.put(it.requests_milli_per_second);
    out.put(it.opening_room);
}

host_work take_work(byte_reader& in) {
    host_work it;
    it.backlog_us = in.take<std::uint32_t>();
    it.service_us = in.take<std::uint32_t>();
    it.service_high_us = in.take<std::uint32_t>();
    it.requests_milli_per_second = in.take<std::uint32_t>();
    it.opening_room = in.take<std::uint16_t>();
    return it;
}

void write(byte_writer& out, const hello& it) {
    put_type(out, it.wants_work ? type::hello_with_directive : type::hello);
    out.put(it.run.value());
    out.put(it.data_centre.value());
    out.put(static_cast<std::uint64_t>(it.idle_timeout.count()));
    out.put(static_cast<std::uint8_t>(it.registered));
    out.put(it.host_started.value());
    put_flag(out, it.wants_flows);
    if (!it.wants_work)
        return;
    out.put(it.slots);
    put_flag(out, it.directive.has_value());
    if (it.directive)
        put(out, *it.directive);
}

void write(byte_writer& out, const load_report& it) {
    put_type(out, it.work ? type::load_report_with_work : type::load_report);
    out.put(it.run.value());
    out.put(it.service.value());
    out.put(static_cast<std::uint8_t>(it.host));
    put_flag(out, it.knows_all_flows);
    out.put(it.outstanding);
    out.put(it.busy_milli);
    out.put(it.flows);
    put(out, it.entries);
    if (it.work)
        put(out, *it.work);
}

void write(byte_writer& out, const owned_flows& it) {
    put_type(out, type::owned_flows);
    out.put(it.outstanding);
    out.put(it.total);
    put_count(out, it.flows.size());
    for (const owned_flow& flow : it.flows) {
        put(out, flow.flow);
        out.put(flow.client_start);
        out.put(flow.host_start);
    }
}

void put(byte_writer& out, const std::vector<flow_key>& flows) {
    put_count(out, flows.size());
    for (const flow_key& it : flows)
        put(out, it);
}

std::vector<flow_key> take_flows(byte_reader& in) {
    std::vector<flow_key> out;
    for (auto n = in.take_count(2 * endpoint_bytes); n > 0; --n)
        out.push_back(take_flow(in));
    return out;
}

void write(byte_writer& out, const flow_query& it) {
    put_type(out, type::flow_query);
    put(out, it.flows);
}

void write(byte_writer& out, const flow_denial& it) {
    put_type(out, type::flow_denial);
    put(out, it.not_owned);
    put(out, it.uncertain);
}

void write(byte_writer& out, const packet_returned& it) {
    put_type(out, type::packet_returned);
    out.put(static_cast<std::uint8_t>(it.reason));
    out.put_bytes(it.datagram);
}

// Messages of the first era have types of their own.
store_era take_stated_era(byte_reader& in) {
    const store_era era(in.take<std::uint64_t>());
    if (era == first_era)
        in.reject();
    return era;
}

type type_of(const peer_hello& it) {
    if (!it.reader)
        return type::peer_hello;
    return states_era(it.as_of) ? type::peer_hello_with_era
                                : type::peer_hello_with_reader;
}

void write(byte_writer& out, const peer_hello& it) {
    put_type(out, type_of(it));
    out.put(it.run.value());
    out.put(it.data_centre.value());
    out.put(it.as_of.number());
    out.put(it.digest);
    put_flag(out, it.reads_store);
    put_flag(out, it.is_reply);
    put(out, it.entries);
    put_count(out, it.departed.size());
    for (const departed_host& one : it.departed) {
        out.put(one.machine.value());
        out.put(one.service.value());
    }
    if (it.reader) {
        out.put(it.reader->reader.value());
        out.put(it.reader->run.value());
        out.put(it.reader->count);
        put_flag(out, it.knows_departed);
    }
    if (type_of(it) == type::peer_hello_with_era) {
        out.put(it.as_of.era().value());
        out.put(it.version);
    }
}

void write(byte_writer& out, const directory_request&) {
    put_type(out, type::directory_request);
}

void write(byte_writer& out, const directory_delta& it) {
    const bool has_era = states_era(it.as_of);
    if (it.wants_position)
        put_type(out, type::directory_delta_with_routes);
    else
        put_type(out, has_era ? type::directory_delta_with_era
                              : type::directory_delta);
    if (it.wants_position || has_era)
        out.put(it.as_of.era().value());
    write_delta(out, it);
}

void write(byte_writer& out, const directory_position& it) {
    put_type(out, type::directory_position);
    out.put(it.run.value());
    put(out, it.as_of);
    out.put(it.digest);
}

void write(byte_writer& out, const directory_part_request& it) {
    put_type(out, type::directory_part_request);
    put(out, it.as_of);
    out.put(it.digest);
    out.put(it.count);
    put_count(out, it.missing.size());
    for (const std::uint16_t index : it.missing)
        out.put(index);
}

void write(byte_writer& out, const directory_part& it) {
    if (states_era(it.as_of)) {
        put_type(out, type::directory_part_with_era);
        out.put(it.as_of.era().value());
    } else {
        put_type(out, type::directory_part);
    }
    out.put(it.as_of.number());
    out.put(it.digest);
    out.put(it.index);
    out.put(it.count);
    out.put_bytes(it.content);
}

void write(byte_writer& out, const barrier_request& it) {
    put_type(out, type::barrier_request);
    out.put(it.id);
}

void write(byte_writer& out, const barrier_reply& it) {
    put_type(out, type::barrier_reply);
    out.put(it.id);
    put(out, it.as_of);
    out.put(it.digest);
}

void write(byte_writer& out, const operator_intent& it) {
    put_type(out, type::operator_intent);
    put(out, it.as_of);
    out.put(it.version);
    put(out, it.evacuations);
    put(out, it.ended);
    put_count(out, it.warmup_limits.size());
    for (const warmup_limit& one : it.warmup_limits) {
        out.put(one.service.value());
        put_duration(out, one.warmup);
        put_rate(out, one.openings_per_second);
    }
}

hello read_hello(byte_reader& in) {
    hello it;
    it.run = incarnation(in.take<std::uint64_t>());
    it.data_centre = data_centre_id(in.take<std::uint64_t>());
    it.idle_timeout =
        duration(static_cast<duration::rep>(in.take<std::uint64_t>()));
    it.registered = take_enum(in, registration::absent);
    it.host_started = unix_milliseconds(in.take<std::uint64_t>());
    it.wants_flows = take_flag(in);
    return it;
}

hello read_hello_with_directive(byte_reader& in) {
    hello it = read_hello(in);
    it.wants_work = true;
    it.slots = in.take<std::uint16_t>();
    if (take_flag(in))
        it.directive = take_directive(in);
    return it;
}

load_report read_load_report(byte_reader& in) {
    load_report it;
    it.run = incarnation(in.take<std::uint64_t>());
    it.service = service_tag(in.take<std::uint16_t>());
    it.host = take_enum(in, host_state::dead);
    it.knows_all_flows = take_flag(in);
    it.outstanding = in.take<std::uint32_t>();
    it.busy_milli = in.take<std::uint32_t>();
    it.flows = in.take<std::uint32_t>();
    it.entries = take_machines(in);
    return it;
}

load_report read_load_report_with_work(byte_reader& in) {
    load_report it = read_load_report(in);
    it.work = take_work(in);
    return it;
}

owned_flows read_owned_flows(byte_reader& in) {
    owned_flows it;
    it.outstanding = in.take<std::uint32_t>();
    it.total = in.take<std::uint32_t>();
    for (auto n = in.take_count(flow_bytes); n > 0; --n) {
        owned_flow flow;
        flow.flow = take_flow(in);
        flow.client_start = in.take<std::uint32_t>();
        flow.host_start = in.take<std::uint32_t>();
        it.flows.push_back(flow);
    }
    return it;
}

packet_returned read_packet_returned(byte_reader& in) {
    packet_returned it;
    it.reason = take_enum(in, return_reason::wrong_service);
    it.datagram = in.take_rest();
    return it;
}

peer_hello read_peer_hello(byte_reader& in) {
    peer_hello it;
    it.run = incarnation(in.take<std::uint64_t>());
    it.data_centre = data_centre_id(in.take<std::uint64_t>());
    it.as_of = revision(in.take<std::uint64_t>());
    it.digest = in.take<std::uint64_t>();
    it.reads_store = take_flag(in);
    it.is_reply = take_flag(in);
    it.entries = take_machines(in);
    for (auto n = in.take_count(departed_bytes); n > 0; --n) {
        const machine_address machine(in.take<std::uint32_t>());
        it.departed.push_back({machine, service_tag(in.take<std::uint16_t>())});
    }
    return it;
}

peer_hello read_peer_hello_with_reader(byte_reader& in) {
    peer_hello it = read_peer_hello(in);
    it.reader.emplace();
    it.reader->reader = machine_address(in.take<std::uint32_t>());
    it.reader->run = incarnation(in.take<std::uint64_t>());
    it.reader->count = in.take<std::uint64_t>();
    it.knows_departed = take_flag(in);
    return it;
}

peer_hello read_peer_hello_with_era(byte_reader& in) {
    peer_hello it = read_peer_hello_with_reader(in);
    it.as_of = revision(it.as_of.number(), take_stated_era(in));
    it.version = in.take<std::uint64_t>();
    return it;
}

directory_position read_directory_position(byte_reader& in) {
    directory_position it{.run = incarnation(in.take<std::uint64_t>())};
    it.as_of = take_revision(in);
    it.digest = in.take<std::uint64_t>();
    return it;
}

directory_part_request read_directory_part_request(byte_reader& in) {
    directory_part_request it{.as_of = take_revision(in)};
    it.digest = in.take<std::uint64_t>();
    it.count = in.take<std::uint16_t>();
    for (auto n = in.take_count(sizeof(std::uint16_t)); n > 0; --n)
        it.missing.push_back(in.take<std::uint16_t>());
    return it;
}

directory_part read_directory_part(byte_reader& in, store_era era) {
    directory_part it;
    it.as_of = revision(in.take<std::uint64_t>(), era);
    it.digest = in.take<std::uint64_t>();
    it.index = in.take<std::uint16_t>();
    it.count = in.take<std::uint16_t>();
    it.content = in.take_rest();
    return it;
}

barrier_reply read_barrier_reply(byte_reader& in) {
    barrier_reply it;
    it.id = in.take<std::uint64_t>();
    it.as_of = take_revision(in);
    it.digest = in.take<std::uint64_t>();
    return it;
}

operator_intent read_operator_intent(byte_reader& in) {
    operator_intent it;
    it.as_of = take_revision(in);
    it.version = in.take<std::uint64_t>();
    it.evacuations = take_evacuations(in);
    it.ended = take_evacuations(in);
    for (auto n = in.take_count(warmup_limit_bytes); n > 0; --n) {
        warmup_limit one{.service = service_id(in.take<std::uint64_t>())};
        one.warmup = take_duration(in);
        one.openings_per_second = take_rate(in);
        it.warmup_limits.push_back(one);
    }
    return it;
}

message read(type kind, byte_reader& in) {
    switch (kind) {
    case type::hello:
        return read_hello(in);
    case type::load_report:
        return read_load_report(in);
    case type::owned_flows:
        return read_owned_flows(in);
    case type::flow_query:
        return flow_query{take_flows(in)};
    case type::flow_denial: {
        auto not_owned = take_flows(in);
        return flow_denial{std::move(not_owned), take_flows(in)};
    }
    case type::packet_returned:
        return read_packet_returned(in);
    case type::peer_hello:
        return read_peer_hello(in);
    case type::directory_request:
        return directory_request{};
    case type::directory_part:
        return read_directory_part(in, first_era);
    case type::peer_hello_with_reader:
        return read_peer_hello_with_reader(in);
    case type::directory_delta:
        return read_delta(in, first_era, false);
    case type::peer_hello_with_era:
        return read_peer_hello_with_era(in);
    case type::directory_part_with_era: {
        const store_era era = take_stated_era(in);
        return read_directory_part(in, era);
    }
    case type::directory_delta_with_era: {
        const store_era era = take_stated_era(in);
        return read_delta(in, era, false);
    }
    case type::directory_delta_with_routes: {
        const store_era era(in.take<std::uint64_t>());
        return read_delta(in, era, true);
    }
    case type::directory_position:
        return read_directory_position(in);
    case type::directory_part_request:
        return read_directory_part_request(in);
    case type::barrier_request:
        return barrier_request{in.take<std::uint64_t>()};
    case type::barrier_reply:
        return read_barrier_reply(in);
    case type::hello_with_directive:
        return read_hello_with_directive(in);
    case type::load_report_with_work:
        return read_load_report_with_work(in);
    case type::operator_intent:
        break;
    }
    return read_operator_intent(in);
}

} // namespace

service_tag make_service_tag(service_id it) {
    return service_tag(static_cast<std::uint16_t>(it.value() >> 48));
}

service_check make_service_check(service_id it) {
    const auto bits = static_cast<std::uint32_t>(it.value() >> 16);
    return service_check(std::max(bits, std::uint32_t{1}));
}

routing_mark make_placement_mark(service_id it) {
    return {forwarding_mode::place, make_service_tag(it),
            make_service_check(it)};
}

const char* to_string(registration it) {
    switch (it) {
    case registration::ready:
        return "ready";
    case registration::draining:
        return "draining";
    case registration::absent:
        return "absent";
    case registration::unknown:
        break;
    }
    return "unknown";
}

const char* to_string(return_reason it) {
    switch (it) {
    case return_reason::host_refused:
        return "host_refused";
    case return_reason::host_dead:
        return "host_dead";
    case return_reason::unknown_flow:
        return "unknown_flow";
    case return_reason::wrong_service:
        break;
    }
    return "wrong_service";
}

const char* type_name(const message& it) {
    // In the order of the variant's alternatives.
    constexpr std::array<const char*, std::variant_size_v<message>> names{
        "hello",           "load_report",        "owned_flows",
        "flow_query",      "flow_denial",        "packet_returned",
        "peer_hello",      "directory_request",  "directory_part",
        "directory_delta", "barrier_request",    "barrier_reply",
        "operator_intent", "directory_position", "directory_part_request"};
    return names[it.index()];
}

bytes encode(const message& it) {
    byte_writer out;
    std::visit([&](const auto& one) { write(out, one); }, it);
    return out.take();
}

result<message> decode(byte_view data) {
    byte_reader in(data);
    const auto kind = in.take<std::uint8_t>();
    if (kind < static_cast<std::uint8_t>(type::hello) ||
        kind > static_cast<std::uint8_t>(last_type))
        return reject("unknown message type");
    message out = read(static_cast<type>(kind), in);
    if (!in.complete())
        return reject("length");
    return out;
}

} // namespace arbutusport::relay
