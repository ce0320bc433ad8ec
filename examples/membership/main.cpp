// Three members probe each other in virtual time; one dies, and another
// reports it as suspect and then down. Exits 0 if it does.

#include <arbutusport/membership/membership.hpp>

#include <iostream>
#include <map>
#include <memory>

namespace {

using namespace arbutusport;
using namespace std::chrono_literals;

std::map<endpoint, std::unique_ptr<membership::member_table>> members;
std::map<endpoint, process_id> ids;

// Delivers probes at once; those to a dead member are lost.
void deliver(const endpoint& from, const membership::actions& probes,
             time_point now) {
    for (const membership::send_probe& it : probes)
        if (const auto to = members.find(it.to); to != members.end())
            deliver(
                it.to,
                to->second->on_probe(it.kind, ids[from], from, it.body, now),
                now);
}

} // namespace

int main() {
    const auto fleet = std::make_shared<records::snapshot>();
    for (std::uint32_t i = 1; i <= 3; ++i) {
        const std::string name = "entry-" + std::to_string(i);
        const endpoint packets{0x7f000000 + i, 7000};
        fleet->entries.push_back(
            {name, process_id_of(name), "poa-a", "rs-sul", packets, packets});
        ids[packets] = process_id_of(name);
    }
    for (const auto& [packets, id] : ids) {
        members[packets] =
            std::make_unique<membership::member_table>(membership::options{
                .self = id,
                .run = incarnation(1),
                .on_change = [self = id](const membership::member_event& it) {
                    std::cout << self.value() << ": " << it.id.value() << " is "
                              << membership::to_string(it.state) << '\n';
                }});
        members[packets]->set_snapshot(fleet, {});
    }
    time_point now{};
    const auto run_for = [&](duration time) {
        for (const time_point end = now + time; now < end; now += 100ms)
            for (const auto& [packets, member] : members)
                deliver(packets, member->on_tick(now), now);
    };
    run_for(5s);
    const process_id dead = ids.begin()->second;
    members.erase(members.begin());
    run_for(10s);
    return members.begin()->second->is_down(dead) ? 0 : 1;
}
