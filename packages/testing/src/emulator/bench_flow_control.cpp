// Benchmarks of ownership queries and holder bitmaps by the number of hosts of
// a service, and of the tables of each role by the size of the configuration.

#include <arbutusport/adapters/platform_client.hpp>
#include <arbutusport/emulator/bench.hpp>
#include <arbutusport/emulator/config_fleet.hpp>
#include <arbutusport/emulator/flow_world.hpp>
#include <arbutusport/flows/flow_owner.hpp>
#include <arbutusport/membership/membership.hpp>
#include <arbutusport/records/parse.hpp>
#include <arbutusport/routing/entry_router.hpp>
#include <arbutusport/routing/slot_table.hpp>

#include <malloc.h>
#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>

namespace arbutusport::emulator {

namespace {

using namespace std::chrono_literals;
using clock = std::chrono::steady_clock;
using wire::message_type;

constexpr std::uint32_t flow_count = 20'000;
constexpr std::size_t udp_ip_headers = 28;

double microseconds_since(clock::time_point start) {
    return std::chrono::duration<double, std::micro>(clock::now() - start)
        .count();
}

struct traffic {
    std::size_t messages = 0;
    std::size_t bytes = 0;
};

// The hosts of one service. Each packet is encoded, signed, verified and
// decoded, and arrives without delay.
class host_group {
public:
    explicit host_group(std::size_t hosts) : world_(hosts, 0, 1) {
        keys_.add(key_id(1), {1, 2, 3}, true);
        for (const auto& it : service().hosts)
            add(it);
        publish();
    }

    const records::service& service() {
        return world_.service(session_service);
    }
    const std::map<message_type, traffic>& sent() const { return sent_; }
    std::size_t delivered() const { return delivered_; }
    void clear_sent() { sent_.clear(); }

    void reweight_first() {
        world_.service(session_service).hosts.front().weight = 2;
        publish();
    }

    void restart_first() {
        add(service().hosts.front());
        deliver_packets(service().hosts.front().packets,
                        hosts_.at(service().hosts.front().packets)
                            ->set_snapshot(snapshot_, now_));
        run_ticks();
    }

    void open(std::uint32_t number) {
        wire::packet it;
        it.type = message_type::forward;
        it.gen = snapshot_->gen;
        it.service = service().id;
        it.flow = flow_of(number, service());
        it.candidates = ranked(it.flow);
        it.target = it.candidates.front().id;
        it.body.assign(1, 1);
        const endpoint home = it.candidates.front().packets;
        deliver_packets(home, hosts_.at(home)->on_packet(std::move(it), now_));
    }

private:
    void add(const records::host& it) {
        hosts_[it.packets] =
            std::make_unique<flows::flow_owner>(flows::flow_options{
                .self = it.id, .service = service().id, .max_flows = 32'768});
    }

    void publish() {
        snapshot_ = world_.next();
        table_ = routing::shared_slot_table(service());
        for (const auto& it : service().hosts)
            deliver_packets(
                it.packets,
                hosts_.at(it.packets)->set_snapshot(snapshot_, now_));
        run_ticks();
    }

    void run_ticks() {
        for (int i = 0; i < 10; ++i, now_ += 10ms)
            for (const auto& it : service().hosts)
                deliver_packets(it.packets,
                                hosts_.at(it.packets)->on_tick(now_));
    }

    wire::candidate_list ranked(const flow_key& flow) {
        wire::candidate_list out;
        for (const auto index : table_->ranks(routing::slot_of(flow))) {
            const auto& host = service().hosts[index];
            out.push_back({host.id, host.packets});
        }
        return out;
    }

    // Delivers packets in order and without recursion, since a flow_owner must
    // not be re-entered.
    void deliver_packets(const endpoint& from, flows::flow_actions actions) {
        std::deque<std::pair<endpoint, flows::flow_actions>> pending;
        pending.emplace_back(from, std::move(actions));
        for (; !pending.empty(); pending.pop_front())
            for (const auto& action : pending.front().second) {
                delivered_ +=
                    std::holds_alternative<flows::deliver>(action) ? 1 : 0;
                const auto* it = std::get_if<flows::send_packet>(&action);
                if (it == nullptr)
                    continue;
                buf_.clear();
                wire::encode_packet(it->message, keys_, buf_);
                auto& sum = sent_[it->message.type];
                ++sum.messages;
                sum.bytes += buf_.size() + udp_ip_headers;
                pending.emplace_back(
                    it->to,
                    hosts_.at(it->to)->on_packet(
                        wire::decode_packet(buf_, keys_).value(), now_));
            }
    }

    flow_world world_;
    wire::keyring keys_;
    records::snapshot_ptr snapshot_;
    std::shared_ptr<const routing::slot_table> table_;
    std::unordered_map<endpoint, std::unique_ptr<flows::flow_owner>> hosts_;
    std::map<message_type, traffic> sent_;
    std::size_t delivered_ = 0;
    bytes buf_;
    time_point now_{1s};
};

traffic sum_of(const std::map<message_type, traffic>& sent,
               std::initializer_list<message_type> types) {
    traffic out;
    for (const auto type : types)
        if (const auto it = sent.find(type); it != sent.end()) {
            out.messages += it->second.messages;
            out.bytes += it->second.bytes;
        }
    return out;
}

void bench_queries(std::size_t hosts, std::uint64_t seed,
                   const figure_sink& sink) {
    host_group group(hosts);
    const std::string notes = "hosts=" + std::to_string(hosts);
    const auto report = [&](const char* name, const char* unit, double value,
                            const std::string& more) {
        sink({name, value, unit, 0, "none", seed, notes + more});
    };
    const auto holders = [&] {
        const auto it = sum_of(group.sent(), {message_type::holders});
        group.clear_sent();
        return it;
    };
    group.clear_sent();
    const auto start = clock::now();
    for (std::uint32_t i = 0; i < flow_count; ++i)
        group.open(i);
    const double us = microseconds_since(start) / flow_count;
    const traffic it =
        sum_of(group.sent(), {message_type::query, message_type::query_reply,
                              message_type::place});
    const std::string flows =
        " flows=20000 delivered=" + std::to_string(group.delivered());
    report("flow_open_messages_sent", "messages",
           static_cast<double>(it.messages) / flow_count, flows);
    report("flow_open_bytes_sent", "B",
           static_cast<double>(it.bytes) / flow_count,
           flows + " headers=packet,udp,ip");
    report("flow_open_us", "us", us, flows + " all_hosts=1 codec=included");
    group.clear_sent();
    group.reweight_first();
    const traffic change = holders();
    // Counts both directions: each message has a sender and a receiver.
    report("holders_bytes_per_host_change", "B",
           2.0 * static_cast<double>(change.bytes) / static_cast<double>(hosts),
           " direction=both change=weight messages=" +
               std::to_string(change.messages));
    group.restart_first();
    const traffic restart = holders();
    report("holders_bytes_per_restart", "B", static_cast<double>(restart.bytes),
           " direction=both host=restarted messages=" +
               std::to_string(restart.messages));
}

double heap_bytes() {
    return static_cast<double>(mallinfo2().uordblks);
}

void bench_tables(const record_sizes& sizes, std::uint64_t seed,
                  const figure_sink& sink) {
    const std::string notes = "services=" + std::to_string(sizes.services) +
                              " hosts=" + std::to_string(sizes.hosts) +
                              " entries=" + std::to_string(sizes.entries);
    const auto report = [&](const char* name, const char* unit, double value,
                            const char* more) {
        sink({name, value, unit, 0, "none", seed, notes + more});
    };
    auto set = make_records(sizes);
    const auto first = records::build_snapshot({1, 1}, set).value();
    const auto& entry = first->entries.front();

    // Each process reads the platform's list of instances. The list has the
    // format of the design and the names of the records.
    nlohmann::json list = nlohmann::json::array();
    for (const auto& it : first->entries)
        list.push_back({{"name", it.name}, {"state", "live"}});
    for (const auto& service : first->services)
        for (const auto& it : service.hosts)
            list.push_back({{"name", it.name}, {"state", "live"}});
    const std::string text = nlohmann::json{{"instances", list}}.dump();
    auto start = clock::now();
    const auto read = adapters::parse_instances(text, "platform").value();
    const std::string interval =
        " interval_s=" +
        std::to_string(std::chrono::duration_cast<std::chrono::seconds>(
                           adapters::platform_options{}.instances_interval)
                           .count()) +
        " instances=" + std::to_string(read.size());
    report("instance_list_us", "us", microseconds_since(start),
           interval.c_str());
    report("instance_list_bytes", "B", static_cast<double>(text.size()),
           (interval + " excluded=http,tcp,ip").c_str());

    auto before = heap_bytes();
    membership::member_table members({.self = entry.id, .run = incarnation(1)});
    members.set_snapshot(first, {});
    report("member_table_bytes", "B", heap_bytes() - before, "");
    // A process counts the members by state every second for its status.
    constexpr int calls = 20;
    start = clock::now();
    for (int i = 0; i < calls; ++i)
        members.members();
    report("member_list_us", "us", microseconds_since(start) / calls, "");

    before = heap_bytes();
    start = clock::now();
    routing::entry_router router({.self = entry.id, .packets = entry.packets});
    router.set_snapshot(first);
    const double build_us = microseconds_since(start);
    report("slot_tables_bytes", "B", heap_bytes() - before, " role=entry");
    report("slot_tables_build_us", "us", build_us, " role=entry change=all");

    // One service loses a host: only its table is recomputed.
    auto changed = std::make_shared<records::snapshot>(*first);
    changed->gen = {1, 2};
    changed->services.front().hosts.pop_back();
    start = clock::now();
    router.set_snapshot(changed);
    report("slot_tables_build_us", "us", microseconds_since(start),
           " role=entry change=one_host");

    const auto& service = first->services.back();
    before = heap_bytes();
    flows::flow_owner owner(
        {.self = service.hosts.front().id, .service = service.id});
    owner.set_snapshot(first, time_point(1s));
    report("flow_tables_bytes", "B", heap_bytes() - before, " role=host");
}

} // namespace

void bench_flow_control(std::uint64_t seed, const figure_sink& sink) {
    for (const std::size_t hosts : {7, 14, 28})
        bench_queries(hosts, seed, sink);
    constexpr std::array<record_sizes, 3> sizes{
        {{36, 500, 46, 8}, {90, 1250, 115, 8}, {360, 5000, 460, 8}}};
    for (const auto& it : sizes)
        bench_tables(it, seed, sink);
}

} // namespace arbutusport::emulator
