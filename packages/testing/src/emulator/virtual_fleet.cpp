// Start, stop and faults of the simulated processes.

#include <arbutusport/emulator/virtual_fleet.hpp>

#include <arbutusport/base/hash.hpp>
#include <arbutusport/records/parse.hpp>

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <iterator>
#include <stdexcept>
#include <utility>

namespace arbutusport::emulator {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto tick_interval = milliseconds(10);
constexpr auto list_interval = seconds(10);
/// The fabric's health check detects a killed entry after this time.
constexpr auto fabric_detection_delay = seconds(1);
constexpr std::size_t max_seed_count = 3;

} // namespace

virtual_fleet::virtual_fleet(fleet_options options, record_store& store,
                             virtual_links& links, virtual_time& clock)
    : options_(std::move(options)), store_(store), links_(links), clock_(clock),
      random_(options_.seed) {
    add_processes();
    for (auto& it : processes_)
        start(*it);
    if (options_.record_to && !recorder_)
        throw std::runtime_error("no process is named " +
                                 options_.record_process);
    clock_.after(list_interval, [this] { publish_instance_list(); });
}

void virtual_fleet::add_processes() {
    const auto set = store_.read(store_.keys(), "");
    const auto snapshot = handle_failure(
        [&] { return records::build_snapshot(store_.head("").gen, set); },
        [](const failure& it) -> records::snapshot_ptr {
            throw std::runtime_error(it.peer + ": " + it.reason);
        });
    for (const records::entry& it : snapshot->entries)
        processes_.push_back(
            std::make_unique<process>(process{.name = it.name,
                                              .id = it.id,
                                              .data_centre = it.data_centre,
                                              .packets = it.packets,
                                              .control = it.control}));
    for (const records::service& service : snapshot->services)
        for (const records::host& it : service.hosts)
            processes_.push_back(
                std::make_unique<process>(process{.name = it.name,
                                                  .id = it.id,
                                                  .data_centre = it.data_centre,
                                                  .packets = it.packets,
                                                  .control = it.control,
                                                  .service = service.name}));
}

void virtual_fleet::start(process& it) {
    ++it.starts;
    it.pending_input.clear();
    it.suspended_until = clock_.now();
    it.in_force.reset();
    it.keys = std::make_shared<const wire::keyring>();
    std::vector<endpoint> seeds;
    for (const auto& peer : processes_)
        if (peer->service.empty() && peer->id != it.id &&
            seeds.size() < max_seed_count)
            seeds.push_back(peer->control);
    const incarnation run(static_cast<std::uint64_t>(
                              clock_.now().time_since_epoch() / milliseconds(1))
                              << 16 |
                          it.starts);
    const auto seed = hash_combine(options_.seed, it.id.value() + it.starts);
    if (it.service.empty()) {
        const node::entry_node_options options{
            .self = it.id,
            .run = run,
            .data_centre = it.data_centre,
            .seeds = seeds,
            .seed = seed,
            .router = {.packets = it.packets}};
        it.entry = std::make_unique<node::entry_node>(options);
        start_recording(it, {.process = it.name, .entry = options});
        fabric_entries_.insert(it.name);
    } else {
        requests::broker_options requests;
        requests.binding_key.fill(static_cast<std::uint8_t>(seed));
        const node::host_node_options options{.self = it.id,
                                              .run = run,
                                              .service =
                                                  service_id_of(it.service),
                                              .data_centre = it.data_centre,
                                              .seeds = seeds,
                                              .seed = seed,
                                              .requests = requests,
                                              .drain_timeout = drain_timeout()};
        it.host = std::make_unique<node::host_node>(options);
        start_recording(it, {.process = it.name, .host = options});
        if (!it.upstream) {
            it.upstream = std::make_unique<upstream_server>(
                upstream_options{.service = it.service,
                                 .host = it.name,
                                 .large_text = options_.large_text,
                                 .seed = seed},
                clock_.now());
            clock_.after(tick_interval, [this, &it] { tick_upstream(it); });
        }
    }
    clock_.after(tick_interval, [this, &it, n = it.starts] { tick(it, n); });
}

std::optional<duration> virtual_fleet::drain_timeout() const {
    if (options_.drain_timeout.count() == 0)
        return std::nullopt;
    return options_.drain_timeout;
}

void virtual_fleet::start_recording(const process& it,
                                    const trace_header& header) {
    if (options_.record_to && it.name == options_.record_process &&
        it.starts == 1)
        recorder_.emplace(header, *options_.record_to);
}

void virtual_fleet::finish_recording() {
    if (recorder_)
        recorder_->finish();
    recorder_.reset();
}

node_result virtual_fleet::feed(process& to, const node_input& it) {
    auto out = to.entry ? emulator::feed(*to.entry, it, clock_.now())
                        : emulator::feed(*to.host, it, clock_.now());
    if (recorder_ && to.name == options_.record_process && to.starts == 1)
        recorder_->add(it, out, clock_.now());
    return out;
}

void virtual_fleet::feed_and_perform(process& to, const node_input& it) {
    perform(to, feed(to, it).actions);
}

std::vector<virtual_process*>
virtual_fleet::find_matching(const std::string& pattern) {
    std::vector<process*> out;
    for (auto& it : processes_)
        if (matches(pattern, it->name))
            out.push_back(it.get());
    if (out.empty())
        throw std::runtime_error("no process matches " + pattern);
    return out;
}

virtual_process* virtual_fleet::find_by_packet_endpoint(const endpoint& it) {
    for (auto& candidate : processes_)
        if (candidate->packets == it)
            return candidate.get();
    return nullptr;
}

virtual_process* virtual_fleet::find_by_control_endpoint(const endpoint& it) {
    for (auto& candidate : processes_)
        if (candidate->control == it)
            return candidate.get();
    return nullptr;
}

void virtual_fleet::kill(const std::string& pattern) {
    for (process* it : find_matching(pattern)) {
        it->entry.reset();
        it->host.reset();
        it->pending_input.clear();
        if (it->upstream)
            std::ranges::copy(it->upstream->events(),
                              std::back_inserter(killed_upstream_events_));
        it->upstream.reset();
        clock_.after(fabric_detection_delay, [this, it] {
            if (!it->running())
                fabric_entries_.erase(it->name);
        });
    }
}

void virtual_fleet::restart(const std::string& pattern) {
    for (process* it : find_matching(pattern)) {
        it->entry.reset();
        it->host.reset();
        start(*it);
    }
}

void virtual_fleet::freeze(const std::string& pattern, duration lasting) {
    for (process* it : find_matching(pattern)) {
        it->suspended_until = clock_.now() + lasting;
        clock_.at(it->suspended_until, [this, it] {
            auto pending_input = std::move(it->pending_input);
            it->pending_input.clear();
            for (auto& body : pending_input)
                run_or_defer(*it, std::move(body));
        });
    }
}

void virtual_fleet::set_upstream(const std::string& pattern,
                                 const std::string& setting) {
    for (process* it : find_matching(pattern))
        if (it->upstream)
            it->upstream->on_admin(
                {.method = "POST", .path = "/admin/upstream", .body = setting},
                clock_.now());
}

void virtual_fleet::mark_as_leaving(const std::string& pattern) {
    for (const process* it : find_matching(pattern))
        leaving_.insert(it->name);
}

void virtual_fleet::publish_instance_list() {
    std::vector<node::listed_instance> list;
    for (const auto& it : processes_)
        list.push_back({it->id, leaving_.contains(it->name)});
    for (auto& it : processes_)
        run_or_defer(*it, [this, &at = *it, list] {
            // Only readers read the list; they send it to the others.
            if (at.control_plane().is_reader(clock_.now()))
                feed_and_perform(at, instances_input{list});
        });
    clock_.after(list_interval, [this] { publish_instance_list(); });
}

void virtual_fleet::record_publication(generation published) {
    counters_.published.emplace(published, clock_.now());
}

history virtual_fleet::upstream_events() const {
    history out = killed_upstream_events_;
    for (const auto& it : processes_)
        if (it->upstream)
            std::ranges::copy(it->upstream->events(), std::back_inserter(out));
    return out;
}

void virtual_fleet::receive_from_client(const flow_key& flow,
                                        const bytes& datagram) {
    if (fabric_entries_.empty())
        return;
    boost::random::uniform_int_distribution<std::size_t> pick(
        0, fabric_entries_.size() - 1);
    const auto& name = *std::next(fabric_entries_.begin(),
                                  static_cast<std::ptrdiff_t>(pick(random_)));
    process* to = find_matching(name).front();
    links_.datagram({"client", ""}, to->end(), [this, to, flow, datagram] {
        run_or_defer(*to, [this, to, flow, datagram] {
            feed_and_perform(*to, client_input{flow, datagram});
        });
    });
}

void virtual_fleet::run_or_defer(process& it, std::function<void()> body) {
    if (!it.running())
        return;
    if (it.suspended_until > clock_.now())
        it.pending_input.push_back(std::move(body));
    else
        body();
}

void virtual_fleet::tick(process& it, std::uint64_t run) {
    if (it.starts != run || !it.running())
        return;
    if (it.suspended_until <= clock_.now())
        feed_and_perform(it, tick_input{});
    clock_.after(tick_interval, [this, &it, run] { tick(it, run); });
}

void virtual_fleet::tick_upstream(process& it) {
    if (!it.upstream)
        return;
    receive_from_upstream(it, it.upstream->on_tick(clock_.now()));
    clock_.after(tick_interval, [this, &it] { tick_upstream(it); });
}

} // namespace arbutusport::emulator
