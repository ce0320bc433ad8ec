// Encoding of the directory: a view as the content of directory_part messages,
// and the hosts in directory_delta.

#include "directory_codec.hpp"

#include <utility>

namespace arbutusport::relay {

namespace {

constexpr std::size_t min_route_bytes = endpoint_bytes + 2;
constexpr std::size_t target_bytes = 12;
constexpr std::size_t era_bytes = 8;
constexpr std::size_t host_key_bytes = 8;

void write_routes(byte_writer& out, const std::vector<route>& routes) {
    put_count(out, routes.size());
    for (const route& one : routes) {
        put(out, one.address);
        put_count(out, one.targets.size());
        for (const weighted_service& target : one.targets) {
            out.put(target.service.value());
            out.put(target.weight);
        }
    }
}

std::vector<route> read_routes(byte_reader& in) {
    std::vector<route> out;
    for (auto n = in.take_count(min_route_bytes); n > 0; --n) {
        route one{.address = take_endpoint(in)};
        for (auto m = in.take_count(target_bytes); m > 0; --m) {
            const service_id service(in.take<std::uint64_t>());
            one.targets.push_back({service, in.take<std::uint32_t>()});
        }
        out.push_back(std::move(one));
    }
    return out;
}

void write_routing(byte_writer& out, const routing_document& it) {
    out.put(it.version);
    put_duration(out, it.idle_timeout);
    write_routes(out, it.routes);
}

routing_document read_routing(byte_reader& in) {
    routing_document it;
    it.version = in.take<std::uint64_t>();
    it.idle_timeout = take_duration(in);
    it.routes = read_routes(in);
    return it;
}

void write_routing_delta(byte_writer& out, const routing_delta& it) {
    put(out, it.at);
    out.put(it.version);
    put_duration(out, it.idle_timeout);
    write_routes(out, it.changed);
    put_count(out, it.removed.size());
    for (const endpoint& address : it.removed)
        put(out, address);
}

routing_delta read_routing_delta(byte_reader& in) {
    routing_delta it{.at = take_revision(in)};
    it.version = in.take<std::uint64_t>();
    it.idle_timeout = take_duration(in);
    it.changed = read_routes(in);
    for (auto n = in.take_count(endpoint_bytes); n > 0; --n)
        it.removed.push_back(take_endpoint(in));
    return it;
}

void write_host(byte_writer& out, const directory_view::host& it) {
    out.put(it.at.number());
    out.put(it.record.key.value());
    out.put(it.record.service.value());
    put(out, it.record.address);
    out.put(it.record.data_centre.value());
    put_flag(out, it.record.draining);
    out.put(it.record.slots);
    out.put(static_cast<std::uint64_t>(it.record.warmup_left.count()));
    out.put(it.record.started.value());
}

directory_view::host read_host(byte_reader& in) {
    directory_view::host it;
    it.at = revision(in.take<std::uint64_t>());
    it.record.key = host_key(in.take<std::uint64_t>());
    it.record.service = service_id(in.take<std::uint64_t>());
    it.record.address = take_endpoint(in);
    it.record.data_centre = data_centre_id(in.take<std::uint64_t>());
    it.record.draining = take_flag(in);
    it.record.slots = in.take<std::uint32_t>();
    it.record.warmup_left =
        duration(static_cast<duration::rep>(in.take<std::uint64_t>()));
    it.record.started = unix_milliseconds(in.take<std::uint64_t>());
    return it;
}

} // namespace

void put(byte_writer& out, const endpoint& it) {
    out.put(it.address);
    out.put(it.port);
}

endpoint take_endpoint(byte_reader& in) {
    const auto address = in.take<std::uint32_t>();
    return {address, in.take<std::uint16_t>()};
}

void put(byte_writer& out, const revision& it) {
    out.put(it.era().value());
    out.put(it.number());
}

revision take_revision(byte_reader& in) {
    const store_era era(in.take<std::uint64_t>());
    return revision(in.take<std::uint64_t>(), era);
}

void put_duration(byte_writer& out, duration it) {
    out.put(static_cast<std::uint64_t>(it.count()));
}

duration take_duration(byte_reader& in) {
    return duration(static_cast<duration::rep>(in.take<std::uint64_t>()));
}

void put_count(byte_writer& out, std::size_t n) {
    out.put(static_cast<std::uint16_t>(n));
}

void put_flag(byte_writer& out, bool it) {
    out.put(static_cast<std::uint8_t>(it));
}

bool take_flag(byte_reader& in) {
    return in.take<std::uint8_t>() != 0;
}

void write_hosts(byte_writer& out, const std::vector<directory_view::host>& it,
                 store_era era) {
    put_count(out, it.size());
    for (const auto& host : it) {
        if (era != first_era)
            out.put(host.at.era().value());
        write_host(out, host);
    }
}

std::vector<directory_view::host> read_hosts(byte_reader& in, store_era era) {
    std::vector<directory_view::host> out;
    const bool has_eras = era != first_era;
    for (auto n = in.take_count(host_bytes + (has_eras ? era_bytes : 0)); n > 0;
         --n) {
        const store_era at =
            has_eras ? store_era(in.take<std::uint64_t>()) : first_era;
        directory_view::host it = read_host(in);
        it.at = revision(it.at.number(), at);
        out.push_back(it);
    }
    return out;
}

void write_delta(byte_writer& out, const directory_delta& it) {
    out.put(it.as_of.number());
    out.put(it.base_digest);
    out.put(it.digest);
    write_hosts(out, it.changed, it.as_of.era());
    put_count(out, it.removed.size());
    for (const host_key key : it.removed)
        out.put(key.value());
    if (!it.wants_position)
        return;
    put_flag(out, it.routing.has_value());
    if (it.routing)
        write_routing_delta(out, *it.routing);
}

directory_delta read_delta(byte_reader& in, store_era era,
                           bool wants_position) {
    directory_delta it{.wants_position = wants_position};
    it.as_of = revision(in.take<std::uint64_t>(), era);
    it.base_digest = in.take<std::uint64_t>();
    it.digest = in.take<std::uint64_t>();
    it.changed = read_hosts(in, era);
    for (auto n = in.take_count(host_key_bytes); n > 0; --n)
        it.removed.emplace_back(in.take<std::uint64_t>());
    if (wants_position && take_flag(in))
        it.routing = read_routing_delta(in);
    return it;
}

leaf::error_id reject(const char* reason) {
    return fail("decode_relay_message", "", reason);
}

bytes encode_view(const directory_view& it, bool with_routes) {
    byte_writer out;
    out.put(it.as_of.number());
    out.put(it.routing_at.number());
    if (states_era(it.as_of))
        out.put(it.routing_at.era().value());
    put_flag(out, with_routes);
    if (with_routes)
        write_routing(out, it.routing);
    write_hosts(out, it.hosts, it.as_of.era());
    return out.take();
}

result<directory_view> decode_view(byte_view data, store_era era) {
    byte_reader in(data);
    directory_view it;
    it.as_of = revision(in.take<std::uint64_t>(), era);
    const auto routing_at = in.take<std::uint64_t>();
    it.routing_at = revision(
        routing_at,
        era == first_era ? first_era : store_era(in.take<std::uint64_t>()));
    it.has_routes = take_flag(in);
    if (it.has_routes)
        it.routing = read_routing(in);
    it.hosts = read_hosts(in, era);
    if (!in.complete())
        return reject("directory view has missing or trailing bytes");
    return it;
}

} // namespace arbutusport::relay
