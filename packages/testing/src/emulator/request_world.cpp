// Hosts, network and faults of a schedule.

#include <arbutusport/emulator/request_world.hpp>

#include <arbutusport/emulator/request_client.hpp>
#include <arbutusport/emulator/virtual_upstream.hpp>

#include <array>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace arbutusport::emulator {

namespace {

using namespace std::chrono_literals;
using namespace requests;

constexpr std::size_t host_count = 2;
// Requests and faults start within this time.
constexpr duration active_time = 60s;
constexpr duration max_lateness = 600s;
constexpr duration settle_time = 700s;

class world;

/// One address with a process that may stop, pause or be replaced, and an
/// upstream that keeps running.
class virtual_host {
public:
    virtual_host(world& of, std::size_t index);

    void start_process(bool new_identity);
    void stop_process() { broker_.reset(); }
    void pause(duration length);
    void drain(duration length);
    /// Runs `step` with the broker, now or when the process resumes.
    void run_or_defer(std::function<broker_actions(request_broker&)> step);

    process_id id() const { return id_; }
    virtual_upstream& upstream() { return upstream_; }

private:
    void resume();

    world& world_;
    std::size_t index_;
    std::uint32_t starts_ = 0;
    process_id id_;
    std::unique_ptr<request_broker> broker_;
    bool paused_ = false;
    // Input that is queued in the socket of a paused process.
    std::vector<std::function<broker_actions(request_broker&)>> pending_input_;
    virtual_upstream upstream_;
};

struct virtual_flow {
    flow_key key;
    std::size_t owner = 0;
    std::unique_ptr<request_client> client;
};

class world {
public:
    explicit world(const schedule_options& options);

    history run();

    void perform(std::size_t host, const broker_actions& actions);
    void transmit(simulation::task deliver);
    broker_options make_broker_options(process_id self, std::uint32_t run);
    virtual_upstream_options make_upstream_options(std::size_t host);

    simulation time;
    history events;

private:
    void on_action(std::size_t host, const reply& it);
    void on_action(std::size_t host, const to_upstream& it);
    void on_action(std::size_t host, const execute_remotely& it);
    void on_action(std::size_t host, const send_remote_response& it);
    void on_action(std::size_t host, const forward_datagram& it);
    void on_action(std::size_t host, const migrate_flow&) {
        static_cast<void>(host);
    }
    void on_action(std::size_t host, const release_flow& it);
    void on_action(std::size_t, const report_upstream_accepting&) {}

    void add_client(std::size_t flow);
    void plan_requests(std::size_t flow);
    void plan_faults();
    void inject_fault();
    void tick(std::size_t host);
    void send_to_host(std::size_t flow, bytes datagram);
    virtual_host* find_host(process_id id);
    std::size_t pick_host() {
        return static_cast<std::size_t>(time.between(0, host_count - 1));
    }

    schedule_options options_;
    // Drawn once for each schedule, so that schedules differ in kind.
    double loss_rate_ = 0;
    double duplicate_rate_ = 0;
    double late_rate_ = 0;
    double second_owner_rate_ = 0;
    std::size_t max_queue_ = 16;
    std::size_t max_dedup_ = 1024;
    std::uint32_t client_count_ = 0;
    std::vector<std::unique_ptr<virtual_host>> hosts_;
    std::vector<virtual_flow> flows_;
    // Stopped clients, kept alive since timers still refer to them.
    std::vector<std::unique_ptr<request_client>> stopped_clients_;
};

virtual_host::virtual_host(world& of, std::size_t index)
    : world_(of), index_(index),
      upstream_(of.time, of.make_upstream_options(index), &of.events,
                [this](bytes datagram) {
                    world_.time.after(1ms, [this, datagram] {
                        run_or_defer([this, datagram](request_broker& to) {
                            return to.on_upstream(datagram, world_.time.now());
                        });
                    });
                }) {
    start_process(true);
}

void virtual_host::start_process(bool new_identity) {
    ++starts_;
    if (new_identity)
        id_ = process_id_of("host-" + std::to_string(index_) + "-" +
                            std::to_string(starts_));
    paused_ = false;
    pending_input_.clear();
    broker_ = std::make_unique<request_broker>(
        world_.make_broker_options(id_, starts_));
}

void virtual_host::pause(duration length) {
    paused_ = true;
    world_.time.after(length, [this] { resume(); });
}

void virtual_host::resume() {
    paused_ = false;
    for (const auto& step : std::exchange(pending_input_, {}))
        run_or_defer(step);
}

void virtual_host::drain(duration length) {
    if (broker_)
        broker_->drain(world_.time.now() + length);
}

void virtual_host::run_or_defer(
    std::function<broker_actions(request_broker&)> step) {
    if (!broker_)
        return;
    if (paused_)
        pending_input_.push_back(std::move(step));
    else
        world_.perform(index_, step(*broker_));
}

world::world(const schedule_options& options)
    : time(options.seed), options_(options) {
    loss_rate_ = time.between(0, 20) / 100.0;
    duplicate_rate_ = time.between(0, 20) / 100.0;
    late_rate_ = time.between(0, 8) / 100.0;
    second_owner_rate_ = time.chance(0.5) ? 0.3 : 0;
    if (time.chance(0.5))
        max_queue_ = 2;
    if (time.chance(0.2))
        max_dedup_ = 6;
    for (std::size_t i = 0; i < host_count; ++i)
        hosts_.push_back(std::make_unique<virtual_host>(*this, i));
    flows_.resize(options_.clients);
    for (std::size_t i = 0; i < flows_.size(); ++i) {
        flows_[i].key = {{1, static_cast<std::uint16_t>(5000 + i)}, {2, 5683}};
        flows_[i].owner = i % host_count;
        add_client(i);
    }
}

broker_options world::make_broker_options(process_id self, std::uint32_t run) {
    broker_options out;
    out.self = self;
    out.run = incarnation(run);
    out.max_queue = max_queue_;
    out.max_dedup = max_dedup_;
    for (auto& byte : out.binding_key)
        byte = static_cast<std::uint8_t>(time.draw());
    out.seed = time.draw();
    out.checks = options_.checks;
    return out;
}

virtual_upstream_options world::make_upstream_options(std::size_t host) {
    virtual_upstream_options it;
    it.host = "participa-" + std::to_string(host);
    it.max_service = duration(time.chance(0.5) ? 50ms : 2000ms);
    it.max_lateness = time.chance(0.5) ? duration(5s) : max_lateness;
    it.body_size = 200;
    it.faults.late = time.between(0, 20) / 100.0;
    it.faults.silent = time.between(0, 5) / 100.0;
    it.faults.answer_twice = time.between(0, 20) / 100.0;
    it.faults.separate = 0.5;
    it.faults.new_version = time.between(0, 10) / 100.0;
    return it;
}

void world::transmit(simulation::task deliver) {
    const auto wait = [&]() -> duration {
        if (time.chance(late_rate_))
            return time.between(duration(1s), max_lateness);
        return time.between(duration(1ms), duration(20ms));
    };
    if (!time.chance(loss_rate_))
        time.after(wait(), deliver);
    if (time.chance(duplicate_rate_))
        time.after(wait(), std::move(deliver));
}

void world::perform(std::size_t host, const broker_actions& actions) {
    for (const auto& it : actions)
        std::visit([&](const auto& action) { on_action(host, action); }, it);
}

void world::on_action(std::size_t, const reply& it) {
    transmit([this, it] {
        for (const auto& flow : flows_)
            if (flow.key == it.flow)
                flow.client->on_datagram(it.datagram);
    });
}

void world::on_action(std::size_t host, const to_upstream& it) {
    // Both run on one machine: a datagram may be lost, but is neither late nor
    // duplicated.
    if (!time.chance(loss_rate_ / 10))
        time.after(1ms, [this, host, it] {
            hosts_[host]->upstream().on_datagram(it.datagram);
        });
}

void world::on_action(std::size_t host, const execute_remotely& it) {
    const process_id origin = hosts_[host]->id();
    transmit([this, host, origin, it] {
        hosts_[(host + 1) % host_count]->run_or_defer(
            [=, this](request_broker& to) {
                return to.on_remote_request(origin, it.exchange, it.request,
                                            time.now());
            });
    });
}

void world::on_action(std::size_t, const send_remote_response& it) {
    transmit([this, it] {
        if (virtual_host* to = find_host(it.origin))
            to->run_or_defer([this, it](request_broker& broker) {
                return broker.on_remote_response(it.exchange, it.response,
                                                 time.now());
            });
    });
}

void world::on_action(std::size_t, const forward_datagram& it) {
    transmit([this, it] {
        if (virtual_host* to = find_host(it.host))
            to->run_or_defer([this, it](request_broker& broker) {
                return broker.on_client(it.flow, it.datagram, time.now());
            });
    });
}

void world::on_action(std::size_t host, const release_flow& it) {
    for (auto& flow : flows_)
        if (flow.key == it.flow && flow.owner == host)
            flow.owner = (host + 1) % host_count;
}

virtual_host* world::find_host(process_id id) {
    for (const auto& host : hosts_)
        if (host->id() == id)
            return host.get();
    return nullptr;
}

void world::send_to_host(std::size_t flow, bytes datagram) {
    // A late datagram keeps the source port that it was sent from.
    transmit([this, flow, key = flows_[flow].key,
              datagram = std::move(datagram)] {
        const bool other = time.chance(second_owner_rate_);
        const auto host = (flows_[flow].owner + (other ? 1 : 0)) % host_count;
        hosts_[host]->run_or_defer([this, key, datagram](request_broker& to) {
            return to.on_client(key, datagram, time.now());
        });
    });
}

void world::add_client(std::size_t flow) {
    virtual_flow& it = flows_[flow];
    if (it.client) {
        it.client->stop();
        stopped_clients_.push_back(std::move(it.client));
    }
    request_client_options options;
    options.name = "c" + std::to_string(++client_count_);
    it.client = std::make_unique<request_client>(
        time, options, events, [this, flow](bytes datagram) {
            send_to_host(flow, std::move(datagram));
        });
}

void world::plan_requests(std::size_t flow) {
    for (std::size_t i = 0; i < options_.requests_per_client; ++i) {
        const auto draw = time.between(0, 9);
        const auto kind = draw < 6   ? request_kind::write
                          : draw < 8 ? request_kind::read
                                     : request_kind::transfer;
        const auto budget = time.between(duration(100ms), duration(20s));
        // Starts in bursts, so that requests of one client overlap.
        const auto at = time.between(std::int64_t{0}, std::int64_t{9}) *
                            (active_time / 10) +
                        time.between(duration(0), duration(500ms));
        time.after(at, [this, flow, kind, budget] {
            flows_[flow].client->start(kind, budget);
        });
    }
}

void world::inject_fault() {
    virtual_host& host = *hosts_[pick_host()];
    const auto flow = static_cast<std::size_t>(
        time.between(0, static_cast<std::int64_t>(flows_.size()) - 1));
    switch (time.between(0, 8)) {
    case 0:
        return host.start_process(false);
    case 1:
        return host.start_process(true);
    case 2:
        return host.pause(time.between(duration(100ms), duration(400s)));
    case 3:
        return host.drain(time.between(duration(0), duration(20s)));
    case 4:
        host.stop_process();
        return time.after(time.between(duration(1s), duration(20s)),
                          [&host] { host.start_process(false); });
    case 5:
        host.upstream().faults().shed = time.chance(0.5) ? 0.5 : 0;
        return;
    case 6:
        // Moves the flow to the other host, while this one keeps its state.
        flows_[flow].owner = (flows_[flow].owner + 1) % host_count;
        return;
    case 7:
        // A middlebox changes the client's port.
        flows_[flow].key.client.port += 100;
        flows_[flow].owner = pick_host();
        return;
    default:
        // Starts another client on the same port.
        return add_client(flow);
    }
}

void world::plan_faults() {
    const auto fault_count = time.between(0, 6);
    for (int i = 0; i < fault_count; ++i)
        time.after(time.between(duration(0), active_time),
                   [this] { inject_fault(); });
}

void world::tick(std::size_t host) {
    hosts_[host]->run_or_defer(
        [this](request_broker& to) { return to.on_tick(time.now()); });
    const bool active = time.now().time_since_epoch() < active_time * 2;
    time.after(active ? 100ms : 5000ms, [this, host] { tick(host); });
}

history world::run() {
    for (std::size_t i = 0; i < flows_.size(); ++i)
        plan_requests(i);
    plan_faults();
    for (std::size_t i = 0; i < host_count; ++i)
        tick(i);
    time.run_until(time_point(active_time + settle_time + max_lateness));
    for (auto& flow : flows_)
        flow.client->stop();
    return std::move(events);
}

} // namespace

history run_schedule(const schedule_options& options) {
    return world(options).run();
}

} // namespace arbutusport::emulator
