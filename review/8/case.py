"""The node beside a host is stopped and started again (planned work). Later
another writer puts an entry into the store whose service is not named in the
configuration and whose address is that of the host."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import standins as s  # noqa: E402

ROUTE = ("127.18.0.1", 8443)
THINK_S = (4.0, 11.0)
CALM_S = 6.0  # longer than StabilityWindowMs


async def user(world, client):
    """A person at work: a request on a long flow every few seconds."""
    flow = None
    await asyncio.sleep(world.random.uniform(0, 3))
    while True:
        if flow is None or flow.ended or flow.ended_by_host:
            if flow is not None:
                flow.close()
            flow = client.open(ROUTE)
            if not await flow.opened:
                flow = None
                await asyncio.sleep(0.2)
                continue
        await flow.ask(work_ms=20, size=600, body=b"y" * 900, limit_s=1.2,
                       kind="POST")
        await asyncio.sleep(world.random.uniform(*THINK_S))


async def case(holder):
    seed = int(os.environ.get("SEED", os.getpid()))
    world = holder["world"] = s.World(
        HERE, ["z-a", "z-b"], ["z-a", "z-a", "z-b"],
        [("app", "z-a"), ("app", "z-a"), ("app", "z-b")],
        ["z-a"] * 8 + ["z-b"] * 4, seed)
    world.configure(7, [ROUTE + ("app", "non_idempotent")])
    await world.start()
    await world.until_ready()
    users = [asyncio.ensure_future(user(world, it)) for it in world.clients
             for _ in range(2)]
    await asyncio.sleep(12)
    for host, node in zip(world.hosts, world.sides):
        await node.stop_planned()
        await asyncio.sleep(CALM_S)
        if world.trouble:
            world.record("another writer puts servers/probe-%d:" % host.index,
                         "address of", host.name, "service not named")
            world.store.put("servers/probe-%d" % host.index, {
                "Service": "smoke-test",
                "Address": "%s:%d" % (host.ip, s.PORT_APP),
                "Zone": host.zone, "Version": "v1", "Slots": 1,
                "State": "ready", "WarmupLeftMs": 0, "Seq": 1,
                "born": int(time.time() * 1000)})
        await asyncio.sleep(8)
    for it in users:
        it.cancel()


s.main(case)
