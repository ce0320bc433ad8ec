// Delivers probes between the membership tables.

#include "member_fleet.hpp"

#include <arbutusport/base/hash.hpp>
#include <arbutusport/records/parse.hpp>

#include <utility>

namespace arbutusport::emulator {

namespace {

using namespace std::chrono_literals;

// Half a probe round. Shorter ticks would make the simulation of 1,024 members
// too slow.
constexpr duration tick_interval = 500ms;
// Header and authentication tag of a packet, and the UDP and IPv4 headers.
constexpr std::size_t packet_overhead = 70 + 28;

} // namespace

member_fleet::member_fleet(const record_sizes& sizes, std::uint64_t seed)
    : seed_(seed),
      snapshot_(records::build_snapshot({1, 1}, make_records(sizes)).value()) {
    for (const auto& it : snapshot_->entries)
        add(it.id, it.packets, it.data_centre);
    for (const auto& service : snapshot_->services)
        for (const auto& it : service.hosts)
            add(it.id, it.packets, it.data_centre);
    for (std::size_t i = 0; i < members_.size(); ++i)
        start(i);
}

void member_fleet::add(process_id id, const endpoint& packets,
                       const std::string& data_centre) {
    index_by_address_[packets] = members_.size();
    members_.push_back({id, packets, data_centre, 0, nullptr});
}

void member_fleet::start(std::size_t i) {
    member& it = members_[i];
    ++it.run;
    it.table = std::make_unique<membership::member_table>(
        membership::options{.self = it.id,
                            .run = incarnation(it.run),
                            .seed = hash_combine(seed_, it.id.value())});
    it.table->set_snapshot(snapshot_, now_);
}

void member_fleet::isolate(std::string data_centre) {
    isolated_data_centre_ = std::move(data_centre);
}

void member_fleet::advance(duration time) {
    for (const time_point end = now_ + time; now_ < end; now_ += tick_interval)
        for (const member& it : members_)
            if (it.table)
                deliver(it, it.table->on_tick(now_));
}

void member_fleet::deliver(const member& from,
                           const membership::actions& sent) {
    for (const auto& it : sent) {
        sent_bytes_ += it.body.size() + packet_overhead;
        ++sent_messages_;
        const member& to = members_[index_by_address_.at(it.to)];
        const bool is_partitioned =
            (from.data_centre == isolated_data_centre_) !=
            (to.data_centre == isolated_data_centre_);
        if (to.table && !is_partitioned)
            deliver(to, to.table->on_probe(it.kind, from.id, from.packets,
                                           it.body, now_));
    }
}

} // namespace arbutusport::emulator
