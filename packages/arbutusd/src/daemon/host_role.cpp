// Role host: the event loop thread does all work. The process serves one
// upstream with a few slots, so one thread is sufficient, and flows and
// requests need no locks.

#include <arbutusport/adapters/clock.hpp>
#include <arbutusport/daemon/process_core.hpp>
#include <arbutusport/daemon/role_process.hpp>
#include <arbutusport/node/host_node.hpp>
#include <arbutusport/telemetry/request_meter.hpp>

#include <sodium.h>

#include <atomic>
#include <iterator>
#include <set>
#include <utility>

namespace arbutusport::daemon {

namespace {

using telemetry::objective;

// Drain time-out of a shutdown if the settings have none.
constexpr duration default_drain_timeout = std::chrono::seconds(30);
// Lower limit of the duration of a shutdown. The peers need this time to
// receive the state `leaving` of the process.
constexpr duration min_stop_time = std::chrono::milliseconds(1500);
// Time for sending closing notices after the drain time-out.
constexpr duration closing_notice_time = std::chrono::seconds(1);

node::host_node_options node_options(const process_core& core) {
    const auto& from = core.settings();
    node::host_node_options out;
    out.self = core.self();
    out.run = core.run();
    out.service = service_id_of(from.service);
    out.data_centre = from.data_centre;
    out.seeds = core.other_seeds();
    out.is_seed = out.seeds.size() < from.seeds.size();
    out.seed = core.run().value();
    out.drain_timeout = from.drain_timeout;
    if (from.max_flows)
        out.flows.max_flows = *from.max_flows;
    if (from.max_dedup)
        out.requests.max_dedup = *from.max_dedup;
    randombytes_buf(out.requests.binding_key.data(),
                    out.requests.binding_key.size());
    return out;
}

bool carries_client_datagram(const wire::packet& it) {
    return it.type == wire::message_type::forward ||
           it.type == wire::message_type::relay;
}

void append_outputs(node::outputs more, node::outputs& out) {
    out.insert(out.end(), std::make_move_iterator(more.begin()),
               std::make_move_iterator(more.end()));
}

class host_role : public role_process {
public:
    host_role(const settings::process_settings& settings,
              adapters::udp_socket packets, adapters::udp_socket upstream);
    ~host_role() override;

    result<void> start();
    void begin_stop() override;
    bool stopped() const override { return stopped_; }

private:
    role_hooks make_hooks();
    void read_packets();
    node::outputs on_packet(wire::packet message, const endpoint& from,
                            time_point now);
    void read_upstream();
    void on_output(node::output& it, time_point now);
    void on_answer(const wire::packet& it, time_point now);
    void on_second(time_point now);
    void count_slo_events(time_point now);
    void fill_status(telemetry::status_report& out) const;
    bool is_stop_complete(time_point now) const;
    const records::service* find_service() const;
    duration drain_timeout_or_default() const {
        return core_.settings().drain_timeout.value_or(default_drain_timeout);
    }

    process_core core_;
    adapters::udp_socket upstream_;
    node::host_node node_;
    adapters::receive_batch in_;
    telemetry::request_meter meter_;
    telemetry::latency_statistics& latency_;
    telemetry::counter& from_processes_;
    telemetry::counter& from_upstream_;
    // Broker counters at the last update of the SLO counts.
    requests::broker_counters reported_counters_;
    // Client datagrams received since the last update of the SLO counts,
    // whether this process owns the flow or passes them on, and those dropped.
    std::uint64_t received_datagrams_ = 0;
    std::uint64_t dropped_datagrams_ = 0;
    std::optional<time_point> stop_began_;
    std::atomic<bool> stopped_ = false;
};

host_role::host_role(const settings::process_settings& settings,
                     adapters::udp_socket packets,
                     adapters::udp_socket upstream)
    : core_(settings, std::move(packets)), upstream_(std::move(upstream)),
      node_(node_options(core_)),
      latency_(core_.metrics().latency("arbutus_request_ms")),
      from_processes_(core_.metrics().count("arbutus_packets_total")),
      from_upstream_(
          core_.metrics().count("arbutus_upstream_datagrams_total")) {}

host_role::~host_role() {
    // The core's threads use the node, so they stop before it is destroyed.
    core_.stop();
}

result<void> host_role::start() {
    core_.loop().watch(core_.port().socket().descriptor(),
                       [this] { read_packets(); });
    core_.loop().watch(upstream_.descriptor(), [this] { read_upstream(); });
    return core_.start(make_hooks());
}

role_hooks host_role::make_hooks() {
    role_hooks out;
    out.control = &node_.control();
    out.on_tick = [this](time_point now) { return node_.on_tick(now); };
    out.on_instances = [this](const auto& list, time_point now) {
        return node_.on_instances(list, now);
    };
    out.on_role_output = [this](node::output& it, time_point now) {
        on_output(it, now);
    };
    out.fill_status = [this](telemetry::status_report& it) { fill_status(it); };
    out.on_second = [this](time_point now) { on_second(now); };
    return out;
}

void host_role::read_packets() {
    const auto n = core_.port().socket().receive(in_, duration::zero());
    const auto now = adapters::now();
    const keyring_ptr keys = core_.port().keys();
    node::outputs out;
    for (std::size_t i = 0; i < n; ++i) {
        const endpoint from = in_.from(i);
        append_outputs(receive_packet(
                           in_.data(i), *keys,
                           [&](wire::packet message) {
                               return on_packet(std::move(message), from, now);
                           },
                           [&](const std::string& reason) {
                               core_.count_drop(reason, to_string(from));
                           }),
                       out);
    }
    from_processes_ += n;
    core_.execute(std::move(out), now);
}

node::outputs host_role::on_packet(wire::packet message, const endpoint& from,
                                   time_point now) {
    if (carries_client_datagram(message)) {
        ++received_datagrams_;
        meter_.on_request(message.flow, message.body, now);
    }
    return node_.on_packet(std::move(message), from, now);
}

void host_role::read_upstream() {
    const auto n = upstream_.receive(in_, duration::zero());
    const auto now = adapters::now();
    node::outputs out;
    for (std::size_t i = 0; i < n; ++i) {
        if (in_.from(i) == core_.settings().upstream)
            append_outputs(node_.on_upstream(in_.data(i), now), out);
        else
            core_.count_drop("not_the_upstream", to_string(in_.from(i)));
    }
    from_upstream_ += n;
    core_.execute(std::move(out), now);
}

void host_role::on_output(node::output& it, time_point now) {
    if (const auto* request = std::get_if<node::send_to_upstream>(&it)) {
        if (!upstream_.send_to(core_.settings().upstream, request->datagram))
            core_.count_drop("upstream_send_refused",
                             to_string(core_.settings().upstream));
    } else if (const auto* packet = std::get_if<node::send_packet>(&it)) {
        if (packet->message.type == wire::message_type::answer)
            on_answer(packet->message, now);
    } else if (const auto* drop = std::get_if<node::dropped>(&it)) {
        // Drop reasons that lose a client's datagram.
        static const std::set<std::string> datagram_losses{
            "table_full", "held_full", "too_many_hops"};
        dropped_datagrams_ += datagram_losses.contains(drop->reason) ? 1 : 0;
    }
}

void host_role::on_answer(const wire::packet& it, time_point now) {
    const auto latency = meter_.on_response(it.flow, it.body, now);
    const records::service* service = find_service();
    if (!latency || !service)
        return;
    latency_.add(*latency);
    const bool in_time = *latency <= service->service_objectives.latency;
    core_.count_objective(objective::requests_in_time, in_time ? 1 : 0,
                          in_time ? 0 : 1, now);
}

void host_role::on_second(time_point now) {
    count_slo_events(now);
    stopped_ = is_stop_complete(now);
}

void host_role::count_slo_events(time_point now) {
    const auto& counters = node_.broker().counters();
    const auto unknown =
        counters.unknown_outcomes - reported_counters_.unknown_outcomes;
    core_.count_objective(
        objective::requests_served,
        counters.answered - reported_counters_.answered,
        counters.not_run - reported_counters_.not_run + unknown, now);
    // A session that was opened by another incarnation is counted as an
    // unknown outcome.
    core_.count_objective(objective::flows_kept,
                          std::exchange(received_datagrams_, 0),
                          std::exchange(dropped_datagrams_, 0) + unknown, now);
    reported_counters_ = counters;
}

void host_role::fill_status(telemetry::status_report& out) const {
    const records::service* service = find_service();
    out.draining = node_.is_draining();
    out.flows = node_.flows().flow_count();
    out.sessions = node_.broker().sessions();
    out.slots_used = node_.broker().running();
    out.slots = service ? service->limits.slots : 0;
    out.queued = node_.broker().queued();
}

bool host_role::is_stop_complete(time_point now) const {
    if (!stop_began_ || now - *stop_began_ < min_stop_time)
        return false;
    return node_.is_drained() ||
           now - *stop_began_ >=
               drain_timeout_or_default() + closing_notice_time;
}

const records::service* host_role::find_service() const {
    const auto snapshot = node_.control().current();
    return snapshot
               ? snapshot->find_service(service_id_of(core_.settings().service))
               : nullptr;
}

void host_role::begin_stop() {
    core_.loop().post([this] {
        const auto now = adapters::now();
        stop_began_ = now;
        core_.execute(node_.stop(now, drain_timeout_or_default()), now);
    });
}

} // namespace

result<std::unique_ptr<role_process>>
start_host(const settings::process_settings& settings) {
    BOOST_LEAF_AUTO(packets,
                    adapters::udp_socket::bind(settings.listen_packets));
    // Any free port on the address for packets of other processes.
    BOOST_LEAF_AUTO(upstream, adapters::udp_socket::bind(
                                  {settings.listen_packets.address, 0}));
    auto it = std::make_unique<host_role>(settings, std::move(packets),
                                          std::move(upstream));
    BOOST_LEAF_CHECK(it->start());
    return std::unique_ptr<role_process>(std::move(it));
}

} // namespace arbutusport::daemon
