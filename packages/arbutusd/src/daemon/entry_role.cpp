// Role entry: two worker threads for each direction, and the event loop.

#include <arbutusport/adapters/clock.hpp>
#include <arbutusport/daemon/entry_path.hpp>
#include <arbutusport/daemon/process_core.hpp>
#include <arbutusport/daemon/role_process.hpp>
#include <arbutusport/node/entry_node.hpp>

#include <atomic>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace arbutusport::daemon {

namespace {

// Workers of a direction share one socket. With SO_REUSEPORT the kernel would
// select the socket by addresses and ports, so a fabric that sends from one
// address would load a single worker.
constexpr int workers_per_direction = 2;
// Upper bound of the time until a worker sees that it must stop.
constexpr duration worker_wait = std::chrono::milliseconds(100);
// During a shutdown the entry forwards until no datagram has arrived from the
// fabric for this time.
constexpr duration idle_time_before_stop = std::chrono::seconds(1);
// Upper limit of a shutdown.
constexpr duration max_stop_time = std::chrono::seconds(5);

node::entry_node_options node_options(const process_core& core) {
    const auto& from = core.settings();
    node::entry_node_options out;
    out.self = core.self();
    out.run = core.run();
    out.data_centre = from.data_centre;
    out.seeds = core.other_seeds();
    out.is_seed = out.seeds.size() < from.seeds.size();
    out.seed = core.run().value();
    out.router.packets = from.listen_packets;
    if (from.max_hints)
        out.router.max_hints = *from.max_hints;
    return out;
}

bool is_probe(wire::message_type it) {
    return it == wire::message_type::probe ||
           it == wire::message_type::probe_ack ||
           it == wire::message_type::probe_request;
}

class entry_role : public role_process {
public:
    entry_role(const settings::process_settings& settings,
               adapters::udp_socket packets, adapters::udp_socket fabric);
    ~entry_role() override;

    result<void> start();
    void begin_stop() override;
    bool stopped() const override;

private:
    role_hooks make_hooks();
    drop_handler make_drop_handler();
    void run_client_worker();
    void run_answer_worker();
    node::outputs on_packet(wire::packet message, const endpoint& from,
                            time_point now);

    process_core core_;
    adapters::udp_socket fabric_;
    node::entry_node node_;
    telemetry::counter& from_clients_;
    telemetry::counter& from_hosts_;
    // Time of the last datagram from the fabric, in microseconds.
    std::atomic<duration::rep> last_client_datagram_{0};
    std::optional<time_point> stop_began_;
    std::atomic<bool> stopping_ = false;
    std::vector<std::thread> workers_;
};

entry_role::entry_role(const settings::process_settings& settings,
                       adapters::udp_socket packets,
                       adapters::udp_socket fabric)
    : core_(settings, std::move(packets)), fabric_(std::move(fabric)),
      node_(node_options(core_)),
      from_clients_(core_.metrics().count("arbutus_client_datagrams_total")),
      from_hosts_(core_.metrics().count("arbutus_host_packets_total")) {}

entry_role::~entry_role() {
    stopping_ = true;
    for (auto& it : workers_)
        it.join();
    // The core's threads use the node, so they stop before it is destroyed.
    core_.stop();
}

result<void> entry_role::start() {
    core_.metrics().add_gauge("arbutus_hints", [this] {
        return static_cast<double>(node_.router().hints());
    });
    BOOST_LEAF_CHECK(core_.start(make_hooks()));
    for (int i = 0; i < workers_per_direction; ++i) {
        workers_.emplace_back([this] { run_client_worker(); });
        workers_.emplace_back([this] { run_answer_worker(); });
    }
    return {};
}

role_hooks entry_role::make_hooks() {
    role_hooks out;
    out.control = &node_.control();
    out.on_tick = [this](time_point now) { return node_.on_tick(now); };
    out.on_instances = [this](const auto& list, time_point now) {
        node_.control().on_instances(list, now);
        return node::outputs{};
    };
    out.fill_status = [this](telemetry::status_report& it) {
        it.flows = node_.router().hints();
    };
    return out;
}

drop_handler entry_role::make_drop_handler() {
    return [this](const std::string& reason, const std::string& peer) {
        core_.count_drop(reason, peer);
    };
}

void entry_role::run_client_worker() {
    client_path path(
        fabric_, core_.port(),
        [this](const flow_key& flow, byte_view datagram, time_point now) {
            return node_.on_client(flow, datagram, now);
        },
        make_drop_handler());
    while (!stopping_) {
        const auto n = path.run_once(worker_wait);
        if (n == 0)
            continue;
        from_clients_ += n;
        last_client_datagram_ = adapters::now().time_since_epoch().count();
    }
}

void entry_role::run_answer_worker() {
    answer_path path(
        core_.port(), fabric_, core_.settings().fabric,
        [this](wire::packet message, const endpoint& from, time_point now) {
            return on_packet(std::move(message), from, now);
        },
        make_drop_handler());
    while (!stopping_)
        from_hosts_ += path.run_once(worker_wait);
}

node::outputs entry_role::on_packet(wire::packet message, const endpoint& from,
                                    time_point now) {
    if (!is_probe(message.type))
        return node_.on_packet(std::move(message), from, now);
    const bool posted =
        core_.loop().post([this, message = std::move(message), from] {
            const auto at = adapters::now();
            core_.execute(node_.on_packet(message, from, at), at);
        });
    if (!posted)
        core_.count_drop("control_queue_full", to_string(from));
    return {};
}

void entry_role::begin_stop() {
    stop_began_ = adapters::now();
    core_.loop().post([this] { node_.control().leave(adapters::now()); });
}

bool entry_role::stopped() const {
    if (!stop_began_)
        return false;
    const auto now = adapters::now();
    const time_point last{duration(last_client_datagram_.load())};
    return now - *stop_began_ >= max_stop_time ||
           now - std::max(last, *stop_began_) >= idle_time_before_stop;
}

} // namespace

result<std::unique_ptr<role_process>>
start_entry(const settings::process_settings& settings) {
    BOOST_LEAF_AUTO(packets,
                    adapters::udp_socket::bind(settings.listen_packets));
    BOOST_LEAF_AUTO(fabric, adapters::udp_socket::bind(settings.listen_fabric));
    auto it = std::make_unique<entry_role>(settings, std::move(packets),
                                           std::move(fabric));
    BOOST_LEAF_CHECK(it->start());
    return std::unique_ptr<role_process>(std::move(it));
}

} // namespace arbutusport::daemon
