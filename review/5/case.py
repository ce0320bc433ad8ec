"""Configurations come in quick succession. Then the open connections to the
store go silent for good, and one more configuration is acknowledged."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import wire  # noqa: E402
from world import (CONFIG_APPLY_S, STABILITY_S, CannotRun,  # noqa: E402
                   run_case)

ZONES = ("nl-mid-a", "nl-mid-b", "nl-mid-c")
# Dose of config_storm: for_s 2.0, gap_s 0.08.
STORM_S, STORM_GAP_S = 2.0, 0.08
OLD_ROUTE, NEW_ROUTE = ("198.18.0.3", 8443), ("198.18.0.4", 8443)
# Flows whose handling at an entry is later than this are judged. In touch
# again: StabilityWindowMs after the connections went silent.
SLACK_S = 0.02


def play(world):
    world.small_site(("studio", "stalen"), (2, 2, 1))
    base = [world.route("r-1", "198.18.0.1", 8443, "studio"),
            world.route("r-2", "198.18.0.2", 8443, "stalen"),
            world.route("r-old", *OLD_ROUTE, "studio")]
    world.write_config(base)
    world.start()
    time.sleep(6)
    readers = [world.reader_of(zone) for zone in ZONES]
    client = world.add_client()

    storm_end = world.now() + STORM_S
    extra = []
    silent_at = None
    while silent_at is None:
        if world.now() > storm_end:
            break
        extra.append(world.route(f"r-s{len(extra)}", "198.18.1.1",
                                 9000 + len(extra), "studio"))
        world.write_config(base + extra)
        next_at = world.now() + STORM_GAP_S
        while world.now() < next_at and silent_at is None:
            now = world.now()
            answered = [now - world.store.answered_at.get(m.name, 0)
                        for m in readers]
            # All readers were answered just now, and none asks again yet.
            if (now > storm_end - STORM_S / 2 and not world.store.watching
                    and 0.02 < min(answered) and max(answered) < 0.3):
                silent_at = now
            time.sleep(0.002)
    if silent_at is None:
        raise CannotRun("the readers never paused")
    if world.trouble:
        world.store.hush([m.name for m in world.entries])
        world.record("open connections to the store are silent from now on")
    acknowledged = world.write_config(
        [r for r in base if r["Name"] != "r-old"] + extra +
        [world.route("r-new", *NEW_ROUTE, "studio")])
    judged_from = max(acknowledged + CONFIG_APPLY_S,
                      silent_at + STABILITY_S) + SLACK_S
    world.record(f"requests are judged from "
                 f"{judged_from - world.started:.3f} on")
    opened_at = {}

    def on_system_reset(flow, packet, now):
        sent = opened_at.get(flow.key)
        if flow.key[1][0] == wire.ip_number(NEW_ROUTE[0]) and \
                flow.opened_at is None and sent >= judged_from:
            world.broken("CONFIG", f"{flow.name}, sent "
                         f"{sent - acknowledged:.2f} s after the "
                         "acknowledgement of its route, was refused by "
                         f"{flow.entry_name}")

    def on_run(host, key, request, now):
        sent = opened_at.get(key)
        if key[1][0] == wire.ip_number(OLD_ROUTE[0]) and \
                sent is not None and sent >= judged_from:
            world.broken("CONFIG", f"{request}, sent "
                         f"{sent - acknowledged:.2f} s after the "
                         "acknowledgement that dropped its route, was run by "
                         f"{host.name}")

    world.on_system_reset_hook = on_system_reset
    world.on_run_hook = on_run
    number = [0]
    stop_at = acknowledged + 7

    # "A small number of flows are sent directly to each node that is ready.
    # These flows use routes that were just added, routes that were just
    # removed."
    def test_entries(now):
        if now > stop_at:
            return
        for machine in world.entries:
            for host, port in (OLD_ROUTE, NEW_ROUTE):
                number[0] += 1
                flow = client.flow(machine.zone, (wire.ip_number(host), port),
                                   f"flow-{number[0]}")
                flow.direct_to, flow.entry_name = machine.ip, machine.name
                opened_at[flow.key] = now
                flow.open(now)

                def ask(t, flow=flow):
                    if flow.state == "open":
                        flow.ask(f"request-{flow.name}", t)
                flow.on_answer = lambda f, *_: world.at(
                    world.now() + 0.05, lambda t, f=f: f.close(t))
                world.at(now + 0.04, ask)
        world.at(now + 0.05, test_entries)

    world.at(judged_from - 0.5, test_entries)
    time.sleep(max(0.0, stop_at + 0.5 - world.now()))
    if number[0] < 50:
        raise CannotRun("too few flows")


run_case(os.path.join(HERE, "record.txt"), ZONES, play)
