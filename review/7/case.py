"""A host drains; a client acknowledges the end of its answer and closes its
end of the flow only when it next needs it."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import standins as s  # noqa: E402

ROUTE = ("127.18.0.1", 8443)
THINK_S = (3.0, 9.0)
WORK_MS = (10, 120)    # the range of the site's non-idempotent requests
SETTLE_S = 12.0      # flows open and are used before the drain
SERVES_ON_S = 10.0   # the host serves on after DrainMs: "many seconds"


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
        await flow.ask(work_ms=world.random.uniform(*WORK_MS), size=600,
                       body=b"y" * 900, limit_s=1.2, kind="POST")
        await asyncio.sleep(world.random.uniform(*THINK_S))


async def case(holder):
    seed = int(os.environ.get("SEED", os.getpid()))
    world = holder["world"] = s.World(
        HERE, ["z-a", "z-b"], ["z-a", "z-a", "z-b"],
        [("app", "z-a")] * 4 + [("app", "z-b")] * 3,
        ["z-a"] * 8 + ["z-b"] * 4, seed)
    world.configure(7, [ROUTE + ("app", "non_idempotent")])
    await world.start()
    await world.until_ready()
    users = [asyncio.ensure_future(user(world, it)) for it in world.clients
             for _ in range(3)]
    await asyncio.sleep(SETTLE_S)
    host = world.hosts[0]
    if world.trouble:
        host.drain()
    await asyncio.sleep(world.bounds["DrainMs"] / 1000)
    if world.trouble:
        host.close_listener()
    await asyncio.sleep(SERVES_ON_S)
    if world.trouble:
        host.unregister()
        host.end()
        await world.sides[host.index].stop_for_good()
    await asyncio.sleep(2)
    for it in users:
        it.cancel()


s.main(case)
