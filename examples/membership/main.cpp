// Runs three members that probe each other in virtual time, then removes one.
// The others report it as suspect, then as down. Exits with 0 if the first
// remaining member has marked it down after 10 s.

#include <arbutusport/membership/membership.hpp>

#include <iostream>
#include <map>
#include <memory>

namespace {

using namespace arbutusport;
using namespace std::chrono_literals;

std::map<endpoint, std::unique_ptr<membership::member_table>> members;
std::map<endpoint, process_id> ids;

// Delivers probes without delay and drops those to a removed member.
void deliver_probes(const endpoint& from, const membership::actions& probes,
                    time_point now) {
    for (const membership::send_probe& probe : probes)
        if (const auto target = members.find(probe.to); target != members.end())
            deliver_probes(probe.to,
                           target->second->on_probe(probe.kind, ids[from], from,
                                                    probe.body, now),
                           now);
}

} // namespace

int main() {
    const auto snapshot = std::make_shared<records::snapshot>();
    for (std::uint32_t i = 1; i <= 3; ++i) {
        const std::string name = "entry-" + std::to_string(i);
        const endpoint address{0x7f000000 + i, 7000};
        snapshot->entries.push_back(
            {name, process_id_of(name), "poa-a", "rs-sul", address, address});
        ids[address] = process_id_of(name);
    }
    for (const auto& [address, id] : ids) {
        members[address] =
            std::make_unique<membership::member_table>(membership::options{
                .self = id,
                .run = incarnation(1),
                .on_change = [observer =
                                  id](const membership::member_event& event) {
                    std::cout << observer.value() << ": " << event.id.value()
                              << " is " << membership::to_string(event.state)
                              << '\n';
                }});
        members[address]->set_snapshot(snapshot, {});
    }
    time_point now{};
    const auto run_for = [&](duration period) {
        for (const time_point end = now + period; now < end; now += 100ms)
            for (const auto& [address, member] : members)
                deliver_probes(address, member->on_tick(now), now);
    };
    run_for(5s);
    const process_id removed = ids.begin()->second;
    members.erase(members.begin());
    run_for(10s);
    return members.begin()->second->is_down(removed) ? 0 : 1;
}
