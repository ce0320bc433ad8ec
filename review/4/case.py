"""The address of a host that crashed for good goes to another service, whose
name has the same 16-bit tag."""

import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import wire  # noqa: E402
from world import HEARTBEAT_S, SILENT_HEARTBEATS, CannotRun, run_case  # noqa: E402

ZONES = ("poa-a", "poa-b", "cxs-a")
# Names like those of the bench. The first one stands on its page of examples.
FIRST, SECOND = "huvo11a", "paci25b"
ROUTE = ("198.18.0.1", 8443)
REUSE_AFTER_S = 2.0
# The host's last write to the store before its crash.
SINCE_BEAT_S = 0.3


def play(world):
    world.small_site((FIRST, SECOND))
    world.write_config([world.route("r-1", *ROUTE, FIRST),
                        world.route("r-2", "198.18.0.2", 8443, SECOND)])
    allowed = {wire.ip_number(r["Host"]): r["Service"]
               for r in world.config["Routes"]}
    world.start()
    time.sleep(5)

    client = world.add_client()
    service = (wire.ip_number(ROUTE[0]), ROUTE[1])

    def on_run(host, key, request, now):
        wanted = allowed[key[1][0]]
        if host.service != wanted:
            world.broken("ROUTE", f"{request} to a route of {wanted} was run "
                         f"by host {host.name} of service {host.service}")

    world.on_run_hook = on_run
    number = [0]
    stop_at = []

    def open_flow(now):
        if stop_at and now > stop_at[0]:
            return
        number[0] += 1
        flow = client.flow(ZONES[number[0] % 3], service, f"flow-{number[0]}")

        def ask(t):
            if flow.state == "open":
                flow.ask(f"request-{flow.name}", t)
        flow.on_answer = lambda f, *_: world.at(
            world.now() + 0.05, lambda t: f.close(t))
        flow.open(now)
        world.at(now + 0.05, ask)
        world.at(now + 0.03, open_flow)

    world.call(open_flow)
    time.sleep(1)
    if world.trouble:
        host = world.hosts["i-1"]
        machine = host.machine
        crashed = world.now()
        world.do(lambda now: host.end() or True)
        time.sleep(REUSE_AFTER_S - 0.4)
        # The node receives SIGTERM after its host has terminated.
        machine.signal(signal.SIGTERM)
        machine.process.wait(5)
        time.sleep(max(0.0, crashed + REUSE_AFTER_S - world.now()))
        # The address is used again: a new machine of the other service.
        fresh = world.add_side("side-11", host.zone, SECOND, ip=host.ip)
        successor = world.do(
            lambda now: world.boot_host("i-11", fresh, SECOND))
        fresh.start()
        world.register(successor)
        # The entry of the crashed host is removed after three check-in
        # intervals of silence.
        expiry = crashed - SINCE_BEAT_S + SILENT_HEARTBEATS * HEARTBEAT_S
        time.sleep(max(0.0, expiry - world.now()))
        world.store.remove("servers/i-1")
    time.sleep(3)
    stop_at.append(world.now())
    time.sleep(1)
    world.record(f"{len(world.runs)} requests were run")
    if len(world.runs) < 50:
        raise CannotRun("too few requests")


run_case(os.path.join(HERE, "record.txt"), ZONES, play)
