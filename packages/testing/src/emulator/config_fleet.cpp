// The processes, network, platform and faults of the simulated fleet.

#include <arbutusport/emulator/config_fleet.hpp>
#include <arbutusport/records/parse.hpp>

#include <algorithm>

namespace arbutusport::emulator {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t seed_peers = 3;
// Duration of one platform request.
constexpr duration platform_delay = 4ms;
constexpr duration platform_error_delay = 1s;
// A peer that adopted a generation this recently may not have announced it
// yet. Four times the maximum one-way delay without faults.
constexpr duration announcement_time = 20ms;

} // namespace

config_fleet::config_fleet(const config_fleet_options& options)
    : options_(options), random_(options.seed) {
    versions_.push_back({{1, 1}, make_records(options.sizes)});
    const auto first = records::build_snapshot({1, 1}, versions_[0].records);
    const records::snapshot& it = *first.value();
    const auto add = [&](process_id id, const std::string& data_centre,
                         const endpoint& control) {
        index_by_control_[control] = processes_.size();
        index_by_id_[id] = processes_.size();
        processes_.push_back({id, data_centre, control});
    };
    for (const records::entry& member : it.entries)
        add(member.id, member.data_centre, member.control);
    for (const records::service& service : it.services)
        for (const records::host& member : service.hosts)
            add(member.id, member.data_centre, member.control);
    for (std::size_t i = 0; i < processes_.size(); ++i)
        start(i);
}

void config_fleet::start(std::size_t i) {
    process& it = processes_[i];
    config::sync_options options{.self = it.id,
                                 .data_centre = it.data_centre,
                                 .is_seed = i < seed_peers,
                                 .push_peer_count = options_.push_peer_count,
                                 .seed = random_()};
    for (std::size_t n = 0; n < std::min(seed_peers, size()); ++n)
        if (n != i)
            options.seeds.push_back(processes_[n].control);
    options.is_down = [this](process_id id) {
        const auto found = index_by_id_.find(id);
        return found != index_by_id_.end() &&
               processes_[found->second].is_stopped;
    };
    it.sync = std::make_unique<config::config_sync>(std::move(options));
    ++it.incarnation_number;
    it.is_stopped = false;
    it.started = now_;
    it.fault_free_since = now_;
    it.changes.clear();
    it.watch_after.reset();
    const auto phase = static_cast<duration::rep>(
        random_() % static_cast<std::uint64_t>(options_.tick.count()));
    schedule(duration(phase),
             [this, i, incarnation_number = it.incarnation_number] {
                 tick(i, incarnation_number);
             });
}

void config_fleet::tick(std::size_t i, std::uint64_t incarnation_number) {
    process& it = processes_[i];
    if (it.incarnation_number != incarnation_number)
        return;
    if (!it.is_stopped)
        perform(i, it.sync->on_tick(now_));
    schedule(options_.tick,
             [this, i, incarnation_number] { tick(i, incarnation_number); });
}

void config_fleet::schedule(duration delay, task it) {
    tasks_.emplace(now_ + delay, std::move(it));
}

void config_fleet::schedule_for(std::size_t i, duration delay, task it) {
    schedule(delay,
             [this, i, incarnation_number = processes_[i].incarnation_number,
              it = std::move(it)] {
                 if (processes_[i].incarnation_number != incarnation_number)
                     return;
                 if (processes_[i].is_stopped)
                     return schedule_for(i, options_.tick, it);
                 it();
             });
}

void config_fleet::advance(duration time) {
    const time_point end = now_ + time;
    while (!tasks_.empty() && tasks_.begin()->first <= end) {
        auto next = tasks_.extract(tasks_.begin());
        now_ = next.key();
        next.mapped()();
    }
    now_ = end;
}

void config_fleet::perform(std::size_t i, const config::sync_actions& actions) {
    for (const config::sync_action& action : actions) {
        if (const auto* it = std::get_if<config::send_sync_request>(&action))
            send(i, *it);
        else if (const auto* it = std::get_if<config::watch_head>(&action))
            watch(i, *it);
        else if (const auto* it = std::get_if<config::fetch_records>(&action))
            fetch(i, *it);
        else if (const auto* it =
                     std::get_if<config::configuration_in_force>(&action))
            check_adoption(i, it->snapshot->gen);
        else
            ++processes_[i].rejections;
    }
}

void config_fleet::check_adoption(std::size_t i, generation gen) {
    process& it = processes_[i];
    const std::string name = "process " + std::to_string(i) + " at " +
                             std::to_string(now_.time_since_epoch().count());
    if (!it.changes.empty() && gen <= it.changes.back().gen)
        violations_.push_back(name + " reverted to " + to_string(gen));
    if (it.changes.empty())
        for (std::size_t n = 0; n < size(); ++n) {
            const process& peer = processes_[n];
            const bool reachable = !peer.is_stopped &&
                                   partition_members_.contains(i) ==
                                       partition_members_.contains(n) &&
                                   peer.fault_free_since <= it.started &&
                                   loss_percent_ == 0;
            if (n == i || !reachable)
                continue;
            for (const change& known : peer.changes)
                if (known.at + announcement_time + 4 * max_extra_delay_ <
                        now_ &&
                    known.gen > gen)
                    violations_.push_back(name + " adopted " + to_string(gen) +
                                          " although a reachable peer had " +
                                          to_string(known.gen));
        }
    it.changes.push_back({now_, gen});
}

duration config_fleet::delay_between(std::size_t from, std::size_t to) {
    const bool is_local =
        processes_[from].data_centre == processes_[to].data_centre;
    duration it = is_local ? options_.local_delay : options_.remote_delay;
    if (max_extra_delay_ > 0us)
        it += duration(static_cast<duration::rep>(
            random_() % static_cast<std::uint64_t>(max_extra_delay_.count())));
    return it;
}

void config_fleet::transmit(std::size_t from, std::size_t to, std::size_t size,
                            task it) {
    ++counters_.sync_messages;
    counters_.sync_bytes += size;
    const bool is_partitioned =
        partition_members_.contains(from) != partition_members_.contains(to);
    if (is_partitioned || processes_[to].is_stopped ||
        random_() % 100 < loss_percent_)
        return;
    if (random_() % 100 < duplicate_percent_)
        schedule_for(to, delay_between(from, to), it);
    schedule_for(to, delay_between(from, to), std::move(it));
}

void config_fleet::send(std::size_t from, const config::send_sync_request& it) {
    const auto to = index_by_control_.at(it.peer);
    transmit(from, to, it.request.size(),
             [this, from, to, data = it.request] { deliver(from, to, data); });
}

void config_fleet::deliver(std::size_t from, std::size_t to,
                           const bytes& request) {
    auto answer = processes_[to].sync->on_request(request, now_);
    const std::size_t size = answer.reply.size();
    transmit(to, from, size, [this, from, to, reply = std::move(answer.reply)] {
        perform(from, processes_[from].sync->on_reply(processes_[to].control,
                                                      reply, now_));
    });
    perform(to, answer.actions);
}

void config_fleet::stop(std::size_t i) {
    processes_[i].is_stopped = true;
}

void config_fleet::resume(std::size_t i) {
    if (std::exchange(processes_[i].is_stopped, false))
        processes_[i].fault_free_since = now_;
}

void config_fleet::restart(std::size_t i) {
    start(i);
}

void config_fleet::partition(std::set<std::size_t> members) {
    partition_members_ = std::move(members);
    for (process& it : processes_)
        it.fault_free_since = now_;
}

void config_fleet::set_link_faults(unsigned loss_percent,
                                   unsigned duplicate_percent,
                                   duration max_extra_delay) {
    loss_percent_ = loss_percent;
    duplicate_percent_ = duplicate_percent;
    max_extra_delay_ = max_extra_delay;
    for (process& it : processes_)
        it.fault_free_since = now_;
}

generation config_fleet::in_force(std::size_t i) const {
    const auto it = processes_[i].sync->current();
    return it ? it->gen : generation{};
}

bool config_fleet::is_reader(std::size_t i) const {
    return processes_[i].sync->is_reader(now_);
}

std::size_t config_fleet::count_in_force(generation gen) const {
    std::size_t n = 0;
    for (std::size_t i = 0; i < size(); ++i)
        n += in_force(i) == gen ? 1 : 0;
    return n;
}

// Simulation of the platform.

const config_fleet::version&
config_fleet::visible_version(const std::string& data_centre) const {
    const auto it = stale_versions_.find(data_centre);
    return it == stale_versions_.end() ? versions_.back()
                                       : versions_[it->second];
}

void config_fleet::set_platform_down(const std::string& data_centre,
                                     bool down) {
    if (!down) {
        unavailable_platforms_.erase(data_centre);
        return;
    }
    unavailable_platforms_.insert(data_centre);
    // Pending watches fail.
    for (std::size_t i = 0; i < size(); ++i)
        if (processes_[i].data_centre == data_centre)
            complete_watch(i, processes_[i].watch_number);
}

void config_fleet::set_platform_stale(const std::string& data_centre,
                                      bool stale) {
    if (stale)
        stale_versions_.emplace(data_centre, versions_.size() - 1);
    else
        stale_versions_.erase(data_centre);
}

void config_fleet::watch(std::size_t i, const config::watch_head& it) {
    ++counters_.platform_calls;
    process& reader = processes_[i];
    reader.watch_after = it.after;
    const auto number = ++reader.watch_number;
    if (unavailable_platforms_.contains(reader.data_centre) ||
        visible_version(reader.data_centre).gen > it.after)
        return complete_watch(i, number);
    schedule_for(i, it.wait, [this, i, number] { complete_watch(i, number); });
}

void config_fleet::complete_watch(std::size_t i, std::uint64_t number) {
    process& it = processes_[i];
    if (!it.watch_after || it.watch_number != number)
        return;
    it.watch_after.reset();
    if (unavailable_platforms_.contains(it.data_centre))
        return schedule_for(i, platform_error_delay, [this, i] {
            perform(i, processes_[i].sync->on_platform_error(now_));
        });
    config::head head{visible_version(it.data_centre).gen, {}};
    for (const records::raw_record& record :
         visible_version(it.data_centre).records)
        head.records.push_back({record.key, record.revision});
    schedule_for(i, platform_delay, [this, i, head = std::move(head)] {
        perform(i, processes_[i].sync->on_head(head, now_));
    });
}

void config_fleet::fetch(std::size_t i, const config::fetch_records& it) {
    counters_.platform_calls += it.keys.size();
    const auto cost =
        platform_delay * static_cast<duration::rep>(it.keys.size());
    schedule_for(i, cost, [this, i, keys = it.keys] {
        process& reader = processes_[i];
        if (unavailable_platforms_.contains(reader.data_centre))
            return perform(i, reader.sync->on_platform_error(now_));
        const std::set<std::string> wanted(keys.begin(), keys.end());
        std::vector<records::raw_record> read;
        for (const auto& record : visible_version(reader.data_centre).records)
            if (wanted.contains(record.key))
                read.push_back(record);
        perform(i, reader.sync->on_records(read, now_));
    });
}

generation config_fleet::publish(std::size_t service, bool valid) {
    version next = versions_.back();
    ++next.gen.revision;
    std::vector<records::raw_record*> services;
    for (records::raw_record& it : next.records)
        if (it.key.starts_with("service/"))
            services.push_back(&it);
    records::raw_record& it = *services[service % services.size()];
    const std::string field = "\"drain_timeout_s\":";
    const auto at = it.json.find(field) + field.size();
    const auto end = it.json.find_first_of(",}", at);
    const auto seconds = 60 + next.gen.revision % 3600;
    it.json.replace(at, end - at, valid ? std::to_string(seconds) : "-1");
    it.revision = next.gen.revision;
    versions_.push_back(std::move(next));
    for (std::size_t i = 0; i < size(); ++i) {
        const process& reader = processes_[i];
        if (reader.watch_after &&
            visible_version(reader.data_centre).gen > *reader.watch_after)
            complete_watch(i, reader.watch_number);
    }
    return versions_.back().gen;
}

} // namespace arbutusport::emulator
