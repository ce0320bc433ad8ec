"""A client's opening packet reaches a host, whose answer is lost. The next copy
goes through another data centre and opens the flow at another host. The first
host crashes. Entries that know only its announcement reset the flow."""

import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import wire  # noqa: E402
from world import (RESTART_S, STABILITY_S, CannotRun,  # noqa: E402
                   run_case)

ZONES = ("poa-a", "poa-b", "cxs-a")
ROUTE = ("198.18.0.1", 8443)
# Flows without loss, and flows that lose one datagram each.
FLOWS, LOSING_FLOWS = 30, 2
PAUSE_S = 0.2
# The restarted process is ready some 0.1 s after its start.
START_BEFORE_PROBE_S = 0.3
OPEN_BEFORE_PROBE_S = 0.1


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

    flows = []

    def open_flow(lost):
        flow = client.flow(ZONES[2], service, f"flow-{len(flows)}")
        flows.append(flow)
        flow.lose_syn_acks = lost

        def ask(t, flow=flow, n=[0]):
            if flow.state == "open" and flow.request is None:
                n[0] += 1
                flow.ask(f"request-{flow.name}-{n[0]}", t)
        flow.on_answer = lambda f, *_: world.at(world.now() + PAUSE_S, ask)
        flow.open(world.now())
        world.at(world.now() + 0.3, ask)

    # roll_term: the only entry of cxs-a is stopped and started again.
    last.signal(signal.SIGTERM)
    while world.routers.in_rotation(last) or not last.has_ended():
        time.sleep(0.002)
    for i in range(FLOWS):
        world.at(world.now() + 0.005 * i, lambda now: open_flow(0))
    time.sleep(RESTART_S)
    # It is started shortly before the routers' next probe finds it ready.
    while not 0 < (world.routers.next_probe[last] - world.now() -
                   START_BEFORE_PROBE_S) < 0.05:
        time.sleep(0.002)
    back_at = world.routers.next_probe[last]
    last.start()
    for i in range(LOSING_FLOWS):
        world.at(back_at - OPEN_BEFORE_PROBE_S + 0.01 * i,
                 lambda now: open_flow(1 if world.trouble else 0))
    while not world.routers.in_rotation(last):
        time.sleep(0.002)
    time.sleep(1.5)
    split = [f for f in flows if f.state == "open" and
             world.takers[f.key] is not first_taker[f.key]]
    world.record(f"{len(flows)} flows, {len(split)} at another host than the "
                 "first that took them")
    if world.trouble:
        if not split:
            raise CannotRun("no flow was split")
        # srv_crash: one host.
        crashed = first_taker[split[0].key]
        world.record(f"host {crashed.name} crashes")
        world.do(lambda now: crashed.end() or True)
    time.sleep(STABILITY_S + 0.5)
    # roll_term again; the clients go on.
    restart(last)
    while world.routers.in_rotation(last):
        time.sleep(0.002)
    time.sleep(4)
    answered = sum(f.answers for f in flows)
    world.record(f"{answered} requests answered")


run_case(os.path.join(HERE, "record.txt"), ZONES, play)
