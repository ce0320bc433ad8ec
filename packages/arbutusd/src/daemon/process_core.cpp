// Start and stop, periodic work and execution of outputs.

#include <arbutusport/daemon/process_core.hpp>

#include <arbutusport/adapters/clock.hpp>

#include <utility>

namespace arbutusport::daemon {

namespace {

using adapters::log_event;
using adapters::severity;

constexpr duration tick_interval = std::chrono::milliseconds(10);
constexpr std::uint32_t drop_lines_per_second = 5;

} // namespace

process_core::process_core(settings::process_settings settings,
                           adapters::udp_socket packets)
    : settings_(std::move(settings)), self_(process_id_of(settings_.name)),
      run_(adapters::new_incarnation()), started_(adapters::now()),
      port_(std::move(packets)), sender_(port_),
      drop_log_(drop_lines_per_second), second_tasks_due_(started_) {}

std::vector<endpoint> process_core::other_seeds() const {
    std::vector<endpoint> out = settings_.seeds;
    std::erase(out, settings_.listen_control);
    return out;
}

process_core::~process_core() {
    stop();
}

result<void> process_core::start(role_hooks hooks) {
    hooks_ = std::move(hooks);
    status_ = make_status(adapters::now());
    BOOST_LEAF_ASSIGN(http_server_,
                      adapters::http_server::listen(
                          settings_.listen_metrics, [this](const auto& path) {
                              return handle_http_request(path);
                          }));
    BOOST_LEAF_ASSIGN(control_server_,
                      adapters::control_server::listen(
                          settings_.listen_control, [this](byte_view request) {
                              return handle_control_request(request);
                          }));
    control_client_ = std::make_unique<adapters::control_client>();
    platform_ = std::make_unique<adapters::platform_client>(
        adapters::platform_options{
            .address = settings_.platform,
            .data_centre = settings_.data_centre,
            .reads_instances = [this] { return is_reader_.load(); }},
        platform_callbacks());
    loop_.start(tick_interval, [this] { tick(); });
    log_event(severity::info, "started")
        .field("role", settings::to_string(settings_.role))
        .field("incarnation", run_.value())
        .field("packets", to_string(settings_.listen_packets))
        .field("control", to_string(settings_.listen_control));
    return {};
}

void process_core::stop() {
    // The loop stops first; tasks that other threads still post are discarded.
    loop_.stop();
    control_server_.reset();
    http_server_.reset();
    control_client_.reset();
    platform_.reset();
}

void process_core::tick() {
    const auto now = adapters::now();
    execute(hooks_.on_tick(now), now);
    if (now >= second_tasks_due_) {
        second_tasks_due_ = now + std::chrono::seconds(1);
        run_second_tasks(now);
    }
}

void process_core::run_second_tasks(time_point now) {
    is_reader_ = hooks_.control->is_reader(now);
    if (hooks_.on_second)
        hooks_.on_second(now);
    auto status = make_status(now);
    if (const auto n = drop_log_.take_suppressed(); n > 0)
        log_event(severity::warning, "drops_not_logged").field("count", n);
    const std::lock_guard lock(telemetry_mutex_);
    status_ = std::move(status);
}

void process_core::execute(node::outputs outputs, time_point now) {
    for (node::output& it : outputs)
        execute_one(it, now);
    sender_.flush();
    if (const auto n = sender_.take_rejected(); n > 0)
        count_drop("send_refused", "", n);
}

void process_core::execute_one(node::output& it, time_point now) {
    if (auto* packet = std::get_if<node::send_packet>(&it)) {
        if (!sender_.add(packet->to, packet->message, *port_.keys()))
            count_drop("no_key", to_string(packet->to));
    } else if (auto* sync = std::get_if<node::send_sync>(&it)) {
        send_sync_request(*sync);
    } else if (auto* watch = std::get_if<node::watch_head>(&it)) {
        platform_->watch_head(watch->after, watch->wait);
    } else if (auto* fetch = std::get_if<node::fetch_records>(&it)) {
        platform_->fetch_records(std::move(fetch->keys));
    } else if (auto* changed = std::get_if<node::configuration_changed>(&it)) {
        on_configuration_changed(*changed);
    } else if (auto* why = std::get_if<node::configuration_refused>(&it)) {
        on_configuration_refused(*why);
    } else if (auto* drop = std::get_if<node::dropped>(&it)) {
        count_drop(drop->reason, std::to_string(drop->peer.value()));
    }
    if (hooks_.on_role_output)
        hooks_.on_role_output(it, now);
}

void process_core::on_configuration_changed(
    const node::configuration_changed& it) {
    port_.set_keys(wire::make_keyring(it.snapshot->keys));
    refused_.reset();
    ++metrics_.count("arbutus_configurations_total");
    log_event(severity::info, "configuration_in_force")
        .field("generation", to_string(it.snapshot->gen));
    const std::lock_guard lock(telemetry_mutex_);
    slo_burn_.set_snapshot(*it.snapshot);
}

void process_core::on_configuration_refused(
    const node::configuration_refused& it) {
    refused_ = {it.gen, it.why.peer + ": " + it.why.reason};
    ++metrics_.count("arbutus_configurations_refused_total");
    log_event(severity::error, "configuration_refused")
        .field("generation", to_string(it.gen))
        .field("step", it.why.step)
        .field("record", it.why.peer)
        .field("reason", it.why.reason);
}

void process_core::count_drop(const std::string& reason,
                              const std::string& peer, std::uint64_t n) {
    metrics_.drop_counter(reason) += n;
    if (drop_log_.allow(adapters::now()))
        log_event(severity::warning, "packet_dropped")
            .field("reason", reason)
            .field("peer", peer);
}

void process_core::count_objective(telemetry::objective which,
                                   std::uint64_t good, std::uint64_t bad,
                                   time_point now) {
    const std::lock_guard lock(telemetry_mutex_);
    slo_burn_.add(settings_.service, which, good, bad, now);
}

telemetry::status_report process_core::make_status(time_point now) const {
    const node::control_plane& control = *hooks_.control;
    telemetry::status_report out;
    out.name = settings_.name;
    out.role = settings::to_string(settings_.role);
    out.data_centre = settings_.data_centre;
    out.run = run_;
    if (const auto snapshot = control.current())
        out.in_force = snapshot->gen;
    out.refused = refused_;
    out.reader = control.is_reader(now);
    for (const auto& it : control.members().members())
        ++out.members_by_state[membership::to_string(it.state)];
    out.drops = metrics_.drops_by_reason();
    out.uptime = now - started_;
    if (hooks_.fill_status)
        hooks_.fill_status(out);
    return out;
}

telemetry::status_report process_core::last_status() const {
    const std::lock_guard lock(telemetry_mutex_);
    return status_;
}

} // namespace arbutusport::daemon
