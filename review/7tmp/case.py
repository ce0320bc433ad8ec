"""A host starts. The process beside it first reports it as dead, and then as
alive; to one entry this second report is lost. Flows of the host that come to
this entry, as another one is restarted, are reset."""

import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import wire  # noqa: E402
from relay_proxy import ALIVE, DEAD, RelayProxy, state_of  # noqa: E402
from world import (RESTART_S, STABILITY_S, CannotRun,  # noqa: E402
                   run_case)

ZONES = ("poa-a", "poa-b", "cxs-a")
ROUTE = ("198.18.0.1", 8443)
ROUNDS = 5
FLOWS = 30
PAUSE_S = 0.03


class Case:
    def __init__(self, world):
        self.world = world
        self.service = (wire.ip_number(ROUTE[0]), ROUTE[1])
        self.reset_open = []
        self.lost = 0
        world.on_system_reset_hook = self.on_system_reset

    def on_system_reset(self, flow, packet, now):
        for host in self.world.hosts.values():
            if (flow.host_seq is not None and
                    host.holds(flow.key, flow.host_seq) and
                    host.flows[flow.key].opened_at is not None):
                self.reset_open.append(flow.name)
                self.world.broken(
                    "FLOW", f"the client got a reset for {flow.name}, which is "
                    f"open at host {host.name}, which lives and did not send "
                    "it")

    def restart(self, machine):
        world = self.world
        machine.signal(signal.SIGTERM)

        def look(now):
            if not machine.has_ended():
                world.at(now + 0.005, look)
                return
            world.at(now + RESTART_S, lambda t: machine.start())
        world.at(world.now(), look)

    def lose_one_report(self, proxy):
        """Loses the first report, to one entry of another zone, that says
        alive after one that said dead."""
        world = self.world
        said_dead, lost = set(), []
        remote = [m for m in world.entries if m.zone != ZONES[2]]

        def drops(entry, datagram):
            state = state_of(datagram)
            if state == DEAD:
                said_dead.add(entry)
            elif state == ALIVE and not lost and entry in said_dead and \
                    any(m.ip == entry for m in remote):
                lost.append(entry)
                self.lost += 1
                world.record("one datagram is lost: the report to "
                             f"{world.name_of(entry)} that the host is alive")
                return True
            return False
        proxy.drops = drops

    def play_round(self, number):
        world = self.world
        # release: a new host comes, with its machine and the node beside it.
        process_ip = world.new_ip()
        proxy = RelayProxy(world, world.new_ip(), process_ip)
        if world.trouble:
            self.lose_one_report(proxy)
        machine = world.add_side(f"side-{11 + number}", ZONES[2], "participa",
                                 ip=process_ip)
        machine.start()
        time.sleep(STABILITY_S + 1.5)
        last = [m for m in world.entries if m.zone == ZONES[2]][0]
        # roll_term: the only entry of cxs-a.
        self.restart(last)
        time.sleep(0.4)
        host = world.do(lambda now: world.boot_host(f"i-{11 + number}", machine,
                                                    "participa"))
        host.public_ip = proxy.ip
        world.register(host)
        registered = world.now()

        client = world.add_client()
        flows = []

        def open_flow(now):
            if len(flows) == FLOWS:
                return
            flow = client.flow(ZONES[2], self.service,
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
            world.at(now + 0.012, open_flow)

        world.at(registered + 0.12, open_flow)
        time.sleep(4)
        at_host = sum(1 for f in flows if world.taker_ip(f.key) == host.ip)
        world.record(f"round {number}: {at_host} of {len(flows)} flows at "
                     f"{host.name}, {len(self.reset_open)} open flows reset "
                     "so far")
        for flow in flows:
            world.call(flow.close)
        old = world.hosts[("i-6", "i-7", "i-11", "i-12", "i-13")[number]]
        world.drain(old)


def play(world):
    world.small_site()
    world.write_config([world.route("r-1", *ROUTE, "participa"),
                        world.route("r-2", "198.18.0.2", 8443, "acervo")])
    world.start()
    time.sleep(1)
    case = Case(world)
    for number in range(ROUNDS):
        case.play_round(number)
    world.record(f"{case.lost} datagrams lost")
    if world.trouble and case.lost < 2:
        raise CannotRun("the reports came in another order")


run_case(os.path.join(HERE, "record.txt"), ZONES, play)
