"""A host starts on a machine whose clock is ahead, and the clock jumps back.
The process beside the host is killed and started again. It takes itself for
older than the host and denies the flows that opened before."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import wire  # noqa: E402
from world import (RESTART_S, STABILITY_S, CannotRun,  # noqa: E402
                   run_case)

ZONES = ("poa-a", "poa-b", "cxs-a")
ROUTE = ("198.18.0.1", 8443)
CLOCK_AHEAD_MS = 2400
IDLE_MS = 15000
FLOWS = 60


def play(world):
    world.small_site()
    world.write_config([world.route("r-1", *ROUTE, "participa"),
                        world.route("r-2", "198.18.0.2", 8443, "acervo")],
                       IDLE_MS)
    world.start()
    time.sleep(5)
    client = world.add_client()
    service = (wire.ip_number(ROUTE[0]), ROUTE[1])
    disturbed_at = []

    def on_system_reset(flow, packet, now):
        for host in world.hosts.values():
            if (flow.host_seq is not None and
                    host.holds(flow.key, flow.host_seq) and
                    host.flows[flow.key].opened_at is not None and
                    (not disturbed_at or
                     now > disturbed_at[-1] + STABILITY_S)):
                world.broken("FLOW", f"the client got a reset for {flow.name}, "
                             f"which is open at host {host.name}, which lives "
                             "and did not send it; idle for "
                             f"{now - flow.idle_since:.1f} s")

    world.on_system_reset_hook = on_system_reset

    # release: a new host starts, with its machine and the node beside it.
    machine = world.add_side("side-11", ZONES[0], "participa")
    began = world.now()
    host = world.do(lambda now: world.boot_host("i-11", machine, "participa"))
    if world.trouble:
        # The host has read the clock of its machine, which is ahead.
        host.born += CLOCK_AHEAD_MS
        world.record(f"the clock of i-11's machine is {CLOCK_AHEAD_MS} ms "
                     "ahead while the host starts")
    machine.start()
    world.register(host)

    # Clients open flows and send a request on each.
    flows = []

    def open_flow(now):
        if len(flows) >= FLOWS:
            return
        flow = client.flow(ZONES[0], service, f"flow-{len(flows)}")
        flow.idle_since = now
        flows.append(flow)

        def ask(t, flow=flow):
            if flow.state == "open":
                flow.idle_since = t
                flow.ask(f"request-{flow.name}-1", t)
        flow.open(now)
        world.at(now + 0.05, ask)
        world.at(now + 0.02, open_flow)
    world.at(began + 0.4, open_flow)
    time.sleep(max(0.0, began + 1.9 - world.now()))
    if world.trouble:
        world.record("the clock of i-11's machine jumps back")
        machine.kill()
        disturbed_at.append(world.now())
        time.sleep(RESTART_S)
        machine.start()
        disturbed_at.append(world.now())
    # A pause on the flows, shorter than IdleTimeoutMs.
    time.sleep(STABILITY_S + 1.5)
    held = sum(1 for f in flows if host.holds(f.key, f.host_seq))
    for flow in flows:
        def ask_again(now, flow=flow):
            if flow.state == "open":
                flow.ask(f"request-{flow.name}-2", now)
        world.call(ask_again)
    time.sleep(3)
    world.record(f"{held} flows were open at i-11")
    if held < 3:
        raise CannotRun("too few flows at the new host")


run_case(os.path.join(HERE, "record.txt"), ZONES, play)
