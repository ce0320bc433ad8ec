"""A client's opening packet reaches a host, whose answer is lost. The next copy
goes through another data centre and opens the flow at another host. The first
host crashes. Entries that know only its announcement reset the flow."""

import os
import signal
import sys
import time
from collections import Counter

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import wire  # noqa: E402
from world import (RESTART_S, STABILITY_S, CannotRun,  # noqa: E402
                   run_case)

ZONES = ("poa-a", "poa-b", "cxs-a")
ROUTE = ("198.18.0.1", 8443)


def play(world):
    world.small_site()
    world.write_config([world.route("r-1", *ROUTE, "participa"),
                        world.route("r-2", "198.18.0.2", 8443, "acervo")])
    world.start()
    time.sleep(STABILITY_S + 1)
    service = (wire.ip_number(ROUTE[0]), ROUTE[1])
    client = world.add_client()
    last = [m for m in world.entries if m.zone == ZONES[2]][0]
    first_taker = {}
    world.on_took_hook = lambda host, key, now: \
        first_taker.setdefault(key, host)

    def on_system_reset(flow, packet, now):
        for host in world.hosts.values():
            if (flow.host_seq is not None and
                    host.holds(flow.key, flow.host_seq) and
                    host.flows[flow.key].opened_at is not None):
                world.broken("FLOW", f"the client got a reset for {flow.name}, "
                             f"which is open at host {host.name}, which lives "
                             "and did not send it")
    world.on_system_reset_hook = on_system_reset

    def restart(machine):
        machine.signal(signal.SIGTERM)

        def look(now):
            if not machine.has_ended():
                world.at(now + 0.005, look)
                return
            world.at(now + RESTART_S, lambda t: machine.start())
        world.at(world.now(), look)

    # roll_term: the only entry of cxs-a is stopped and started again.
    restart(last)
    while world.routers.in_rotation(last):
        time.sleep(0.002)
    while not last.has_ended():
        time.sleep(0.002)
    flows = []
    stop = []

    def open_flow(now):
        if stop:
            return
        flow = client.flow(ZONES[2], service, f"flow-{len(flows)}")
        flows.append(flow)
        # Of each second flow, the first answer to the opening packet is lost
        # on its way to the client.
        flow.lose_syn_acks = 1 if world.trouble and len(flows) % 2 else 0
        flow.open(now)

        def ask(t, flow=flow, n=[0]):
            if flow.state == "open" and flow.request is None:
                n[0] += 1
                flow.ask(f"request-{flow.name}-{n[0]}", t)
        flow.on_answer = lambda f, *_: world.at(world.now() + 0.5, ask)
        world.at(now + 0.3, ask)
        world.at(now + 0.02, open_flow)
    world.call(open_flow)
    while not world.routers.in_rotation(last):
        time.sleep(0.002)
    time.sleep(0.3)
    stop.append(1)
    time.sleep(1.5)
    split = [f for f in flows if f.state == "open" and
             world.takers[f.key] is not first_taker[f.key]]
    world.record(f"{len(flows)} flows, {len(split)} at another host than the "
                 "first that took them")
    if world.trouble:
        count = Counter(first_taker[f.key].name for f in split)
        if not count:
            raise CannotRun("no flow was split")
        # srv_crash: one host.
        crashed = world.hosts[count.most_common(1)[0][0]]
        world.record(f"host {crashed.name} crashes; it took {count}")
        world.do(lambda now: crashed.end() or True)
    time.sleep(STABILITY_S + 0.5)
    # roll_term again; the clients go on.
    restart(last)
    while world.routers.in_rotation(last):
        time.sleep(0.002)
    time.sleep(4)
    answered = sum(f.answers for f in split)
    world.record(f"{answered} requests answered on the split flows")


run_case(os.path.join(HERE, "record.txt"), ZONES, play)
