"""The reader of a data centre has just been stopped in a planned restart when a
new host registers elsewhere. Clients with flows at that host move to the data
centre, whose other entries conclude that no host has the flows."""

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
ROUTE = ("198.18.0.1", 8443)
ROUNDS = 4
FLOWS = 40
IDLE_FLOW_S = 15.0
GRACE_S = 6.0


class Case:
    def __init__(self, world):
        self.world = world
        self.home, self.target = ZONES[1], ZONES[0]
        self.service = (wire.ip_number(ROUTE[0]), ROUTE[1])
        self.reset_open = []
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

    def stop_reader(self):
        """roll_term: one machine gets SIGTERM, and is started again once it
        has ended."""
        world = self.world
        reader = world.reader_of(self.target)
        reader.signal(signal.SIGTERM)
        end = world.now() + GRACE_S
        while not reader.has_ended():
            if world.now() > end:
                reader.kill()
            time.sleep(0.002)
        world.record(f"process {reader.name} ended")
        world.at(world.now() + RESTART_S, lambda now: reader.start())

    def play_round(self, number):
        world = self.world
        # release: a new host comes, with its machine and the node beside it.
        # It takes some seconds to start; its machine is in touch by then.
        machine = world.add_side(f"side-{11 + number}", self.home, "participa")
        machine.start()
        time.sleep(STABILITY_S + 1.5)
        host = world.do(lambda now: world.boot_host(f"i-{11 + number}", machine,
                                                    "participa"))
        time.sleep(0.5)
        if world.trouble:
            self.stop_reader()
        world.register(host)
        registered = world.now()

        # Clients open flows where they are, and then move (shift) to the other
        # zone and send their request there.
        client = world.add_client()
        opened = []

        def start_flow(name):
            def begin(now):
                flow = client.flow(self.home, self.service, "flow-" + name)

                def move(now):
                    if flow.state == "open":
                        opened.append(flow)
                        flow.move(self.target)
                        flow.ask("request-" + name, now)
                flow.open(now)
                world.at(now + 0.05, move)
            return begin

        for i in range(FLOWS):
            world.at(registered + 0.06 + 0.012 * i,
                     start_flow(f"{number}-{i}"))
        time.sleep(2)
        at_host = sum(1 for f in opened if world.taker_ip(f.key) == host.ip)
        world.record(f"round {number}: {len(opened)} flows opened, {at_host} "
                     f"of them at {host.name}; "
                     f"{sum(f.answers for f in opened)} requests answered, "
                     f"{len(self.reset_open)} open flows reset so far")
        if at_host < 5:
            raise CannotRun("too few flows at the new host")
        for flow in opened:
            world.call(flow.close)

        # release: the old one drains and leaves.
        old = world.hosts[("i-4", "i-5", "i-11", "i-12")[number]]
        world.drain(old)
        world.at(world.now() + DRAIN_S + 0.5, lambda now: old.end())
        world.at(world.now() + DRAIN_S + 0.6, lambda now: self.remove(old))

    def remove(self, old):
        self.world.store.remove("servers/" + old.name)
        old.machine.signal(signal.SIGTERM)


def play(world):
    world.small_site()
    world.write_config([world.route("r-1", *ROUTE, "participa"),
                        world.route("r-2", "198.18.0.2", 8443, "acervo")])
    world.start()
    time.sleep(STABILITY_S)
    case = Case(world)
    for number in range(ROUNDS):
        case.play_round(number)
    world.record(f"{len(case.reset_open)} open flows reset by the system")


run_case(os.path.join(HERE, "record.txt"), ZONES, play)
