"""Two entries are restarted in turn as a new host registers: first the one that
reads the store for its data centre, then the only one of another data centre.
The latter's flows, some at the new host, go to entries of the former, which do
not know the host and conclude that no host has the flow."""

import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import wire  # noqa: E402
from world import (DRAIN_S, RESTART_S, STABILITY_S,  # noqa: E402
                   CannotRun, run_case)

ZONES = ("poa-a", "poa-b", "cxs-a")
ROUNDS = 4
FLOWS = 40
GAP_S = 1.0
PAUSE_S = 0.03
IDLE_FLOW_S = 15.0


class Case:
    def __init__(self, world):
        self.world = world
        self.routes = [world.route("r-1", "198.18.0.1", 8443, "participa"),
                       world.route("r-2", "198.18.0.2", 8443, "acervo")]
        self.reset_open = []
        self.opened = 0
        world.on_system_reset_hook = self.on_system_reset

    def on_system_reset(self, flow, packet, now):
        for host in self.world.hosts.values():
            if (flow.host_seq is not None and
                    host.holds(flow.key, flow.host_seq) and
                    host.flows[flow.key].opened_at is not None and
                    now - flow.opened_at < IDLE_FLOW_S):
                self.reset_open.append(flow.name)
                self.world.broken(
                    "FLOW", f"the client got a reset for {flow.name}, which is "
                    f"open at host {host.name}, which lives and did not send "
                    "it")

    def restart(self, machine):
        """SIGTERM, and a new start once the process has ended."""
        world = self.world
        machine.signal(signal.SIGTERM)

        def look(now):
            if not machine.has_ended():
                world.at(now + 0.005, look)
                return
            world.record(f"process {machine.name} ended")
            world.at(now + RESTART_S, lambda t: machine.start())
        world.at(world.now(), look)

    def play_round(self, number):
        world = self.world
        reader = world.reader_of(ZONES[0])
        last = [m for m in world.entries if m.zone == ZONES[2]][0]
        # release: a new host comes, with its machine and the node beside it.
        # It takes some seconds to start; its machine is in touch by then.
        machine = world.add_side(f"side-{11 + number}", ZONES[2], "participa")
        machine.start()
        time.sleep(STABILITY_S + 1)
        host = world.do(lambda now: world.boot_host(f"i-{11 + number}", machine,
                                                    "participa"))
        time.sleep(0.3)
        # roll_term, x = 1, gap_s = 1.0: the reader of poa-a, then the only
        # entry of cxs-a.
        if world.trouble:
            self.restart(reader)
        time.sleep(GAP_S)
        if world.trouble:
            self.restart(last)
            end = world.now() + 6
            while not reader.has_ended():
                if world.now() > end:
                    raise CannotRun("the process did not end")
                time.sleep(0.002)
        else:
            time.sleep(0.5)

        world.register(host)
        registered = world.now()
        # Clients of cxs-a open flows and use them.
        client = world.add_client()
        service = (wire.ip_number("198.18.0.1"), 8443)
        flows = []

        def open_flow(now):
            if len(flows) == FLOWS:
                return
            flow = client.flow(ZONES[2], service,
                               f"flow-{number}-{len(flows)}")
            flow.requests = 0
            flows.append(flow)

            def ask(t, flow=flow):
                if flow.state == "open" and t < registered + 1.5:
                    flow.requests += 1
                    flow.ask(f"request-{flow.name}-{flow.requests}", t)
            flow.on_answer = lambda f, *_: world.at(world.now() + PAUSE_S, ask)
            flow.open(now)
            world.at(now + 0.04, ask)
            world.at(now + 0.01, open_flow)

        world.at(registered + 0.02, open_flow)
        time.sleep(3)
        opened = sum(1 for f in flows if world.taker_ip(f.key) == host.ip)
        self.opened += opened
        world.record(f"round {number}: {opened} flows at {host.name}, "
                     f"{len(self.reset_open)} open flows reset so far")
        for flow in flows:
            world.call(flow.close)
        # release: the old one drains and leaves.
        old = world.hosts[("i-6", "i-7", "i-11", "i-12")[number]]
        world.drain(old)

        def leave(now):
            old.end()
            world.store.remove("servers/" + old.name)
            old.machine.signal(signal.SIGTERM)
        world.at(world.now() + DRAIN_S + 0.5, leave)


def play(world):
    world.small_site()
    case = Case(world)
    world.write_config(case.routes)
    world.start()
    time.sleep(STABILITY_S + 1)
    for number in range(ROUNDS):
        case.play_round(number)
        time.sleep(2)
    if case.opened < ROUNDS:
        raise CannotRun("too few flows at the new hosts")


run_case(os.path.join(HERE, "record.txt"), ZONES, play)
