// Host and store faults of the simulated relay, and its accessors.

#include "relay_world_state.hpp"

#include <utility>

namespace arbutusport::emulator {

namespace {

bool is_evacuation(const relay::directory_change& it) {
    return std::holds_alternative<relay::evacuation_set>(it.what) ||
           std::holds_alternative<relay::evacuation_removed>(it.what);
}

} // namespace

void relay_world::crash_host(std::size_t host) {
    host_state& it = *hosts_[host];
    it.running = false;
    it.listening = false;
    it.flows.clear();
    ++it.boot;
}

void relay_world::boot_host(std::size_t host) {
    host_state& it = *hosts_[host];
    // Removes the registration of the previous boot.
    if (std::exchange(it.registered, false))
        publish_registration(host);
    crash_host(host);
    it.running = true;
    it.listening = true;
    it.registered = true;
    it.registered_boot = it.boot;
    it.draining = false;
    it.booted_at = now_;
    publish_registration(host);
}

void relay_world::drain_host(std::size_t host) {
    hosts_[host]->draining = true;
    publish_registration(host);
}

void relay_world::close_listener(std::size_t host) {
    hosts_[host]->listening = false;
}

void relay_world::unregister_host(std::size_t host) {
    hosts_[host]->registered = false;
    publish_registration(host);
}

void relay_world::set_host_silent(std::size_t host, bool silent) {
    hosts_[host]->silent = silent;
}

void relay_world::reuse_address(std::size_t host) {
    host_state& it = *hosts_[host];
    crash_host(host);
    it.running = true;
    it.listening = true;
    it.service = options_.other_service;
    kill_host_process(host);
    start_host_process(host);
}

void relay_world::disconnect_store(std::size_t entry) {
    entries_[entry]->has_store_access = false;
    if (entries_[entry]->process)
        entries_[entry]->process->on_store_error(time());
}

void relay_world::delay_changes(std::size_t entry, duration delay) {
    entries_[entry]->change_delay = delay;
}

void relay_world::reconnect_store(std::size_t entry) {
    entries_[entry]->has_store_access = true;
    deliver_listing(entry);
}

void relay_world::expire_all_registrations() {
    for (std::size_t i = 0; i < entries_.size(); ++i)
        disconnect_store(i);
    for (auto& it : hosts_)
        it->registered = false;
    store_.expire_registrations();
}

// Each boot of a host registers under a new key.
relay::host_record relay_world::record_of(std::size_t host) const {
    const host_state& it = *hosts_[host];
    return {.key = relay::host_key(host * 100 + it.registered_boot),
            .service = it.service,
            .address = it.address,
            .data_centre = data_centre_of(machine_address(it.address.address)),
            .draining = it.draining,
            .slots = 2,
            .warmup_left = it.boot == 1
                               ? duration{}
                               : std::max(it.booted_at + options_.warmup - now_,
                                          duration{}),
            .started = wall_clock(it.booted_at)};
}

void relay_world::write_record(const relay::host_record& it) {
    send_change(store_.put(it));
}

// Sends a change of the host's registration to all entries that read the
// store.
void relay_world::publish_registration(std::size_t host) {
    const auto record = record_of(host);
    send_change(hosts_[host]->registered ? store_.put(record)
                                         : store_.remove(record.key));
}

void relay_world::send_change(const relay::directory_change& change) {
    for (std::size_t i = 0; i < entries_.size(); ++i)
        schedule(options_.delay + entries_[i]->change_delay, [this, i, change] {
            entry_state& it = *entries_[i];
            if (!it.process || !it.has_store_access || !it.is_reader ||
                (it.disregards_eras && is_evacuation(change)))
                return;
            ++store_answers_;
            const auto seen = change_for(i, change);
            it.process->on_changes(seen.at, {seen}, time());
        });
}

void relay_world::change_route() {
    routing_.routes.front().targets = {{options_.other_service, 1}};
    ++routing_.version;
    send_change(store_.put(routing_));
}

void relay_world::add_route(std::uint16_t service_port) {
    routing_.routes.push_back(
        {{service_address.address, service_port}, {{main_service, 1}}});
    ++routing_.version;
    send_change(store_.put(routing_));
}

void relay_world::add_idle_routes(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
        const auto n = static_cast<std::uint32_t>(routing_.routes.size());
        routing_.routes.push_back(
            {{service_address.address + n, service_address.port},
             {{main_service, 1}}});
    }
    ++routing_.version;
    send_change(store_.put(routing_));
}

void relay_world::evacuate(std::size_t index) {
    send_change(store_.evacuate(data_centre(index)));
}

void relay_world::take_back(std::size_t index) {
    send_change(store_.take_back(data_centre(index)));
}

void relay_world::drop_messages(const std::string& type, bool dropped) {
    if (dropped)
        dropped_types_.insert(type);
    else
        dropped_types_.erase(type);
}

void relay_world::back_up_store() {
    backup_ = store_;
}

void relay_world::restore_store() {
    store_.restore(backup_);
    for (std::size_t i = 0; i < entries_.size(); ++i)
        if (entries_[i]->is_reader)
            deliver_listing(i);
}

void relay_world::write_again() {
    send_change(store_.put(routing_));
    for (std::size_t i = 0; i < hosts_.size(); ++i)
        if (hosts_[i]->registered && !store_.contains(record_of(i)))
            publish_registration(i);
}

void relay_world::disregard_eras(std::size_t entry) {
    entries_[entry]->disregards_eras = true;
}

void relay_world::restart_as_previous_build(std::size_t entry) {
    kill_entry(entry);
    entries_[entry]->is_previous_build = true;
    start_entry(entry);
}

bool relay_world::is_previous_build(machine_address machine) const {
    const std::size_t entry = machine.value() - first_entry_address;
    return entry < entries_.size() && entries_[entry]->is_previous_build;
}

relay::directory_change
relay_world::change_for(std::size_t entry, relay::directory_change it) const {
    if (entries_[entry]->disregards_eras)
        it.at = relay::revision(it.at.number());
    return it;
}

// Processes drop messages of unknown types.
bool relay_world::understands(machine_address machine,
                              const relay::message& message) const {
    constexpr std::uint8_t last_type_without_era = 11;
    const std::size_t entry = machine.value() - first_entry_address;
    return entry >= entries_.size() || !entries_[entry]->disregards_eras ||
           relay::encode(message).front() <= last_type_without_era;
}

void relay_world::deliver_listing(std::size_t entry) {
    entry_state& it = *entries_[entry];
    if (!it.process)
        return;
    if (!it.has_store_access) {
        ++store_refusals_;
        it.process->on_store_error(time());
        // Readers retry after a failed call.
        schedule(milliseconds(500), [this, entry, run = it.run] {
            if (entries_[entry]->process && entries_[entry]->run == run &&
                entries_[entry]->is_reader &&
                !entries_[entry]->has_store_access)
                deliver_listing(entry);
        });
        return;
    }
    ++store_answers_;
    it.process->on_listing(position_for(entry), items_for(entry), time());
}

relay::revision relay_world::position_for(std::size_t entry) const {
    return entries_[entry]->disregards_eras
               ? relay::revision(store_.as_of().number())
               : store_.as_of();
}

std::vector<relay::directory_change>
relay_world::items_for(std::size_t entry) const {
    auto items = store_.items();
    if (entries_[entry]->disregards_eras)
        std::erase_if(items, is_evacuation);
    for (auto& item : items)
        item = change_for(entry, std::move(item));
    return items;
}

// The answer lists the whole contents, as if the changes were no longer
// available.
void relay_world::answer_read(std::size_t entry, std::uint64_t id) {
    entry_state& it = *entries_[entry];
    if (!it.has_store_access) {
        ++store_refusals_;
        it.process->on_store_read_failed(id, time());
        return;
    }
    ++store_answers_;
    it.process->on_store_read(id,
                              {.as_of = position_for(entry),
                               .is_listing = true,
                               .items = items_for(entry)},
                              time());
}

bool relay_world::is_open(std::size_t flow) const {
    return flows_[flow].open && !flows_[flow].reset;
}

bool relay_world::is_reset(std::size_t flow) const {
    return flows_[flow].reset;
}

std::uint64_t relay_world::answers(std::size_t flow) const {
    return flows_[flow].answers;
}

std::size_t relay_world::owning_host(std::size_t flow) const {
    const flow_state& it = flows_[flow];
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        const auto known = hosts_[i]->flows.find(it.key);
        if (hosts_[i]->running && known != hosts_[i]->flows.end() &&
            known->second == it.host_initial_sequence)
            return i;
    }
    return hosts_.size();
}

std::uint64_t relay_world::flows_placed_at(std::size_t host) const {
    return hosts_[host]->placed;
}

std::uint64_t relay_world::openings_sent_to(std::size_t host) const {
    return hosts_[host]->openings_sent;
}

const std::vector<duration>& relay_world::openings_at(std::size_t host) const {
    return hosts_[host]->opened_at;
}

message_count relay_world::traffic_of_entry(std::size_t entry) const {
    return entries_[entry]->traffic;
}

std::size_t relay_world::reader_count() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        entries_, [](const auto& it) { return it->process && it->is_reader; }));
}

std::size_t relay_world::first_reader() const {
    const auto it = std::ranges::find_if(entries_, [](const auto& entry) {
        return entry->process && entry->is_reader;
    });
    return static_cast<std::size_t>(it - entries_.begin());
}

bool relay_world::reads_store(std::size_t entry) const {
    return entries_[entry]->process && entries_[entry]->is_reader;
}

const relay::evacuation_table&
relay_world::evacuations_of(std::size_t entry) const {
    return entries_[entry]->process->evacuations();
}

std::size_t relay_world::count_events(const std::string& name) const {
    const auto it = event_counts_.find(name);
    return it == event_counts_.end() ? 0 : it->second;
}

bool relay_world::is_entry_ready(std::size_t entry) const {
    const auto& it = entries_[entry]->process;
    return it && it->is_ready(time_point(now_));
}

const relay::directory& relay_world::directory_of(std::size_t entry) const {
    return entries_[entry]->process->known();
}

} // namespace arbutusport::emulator
