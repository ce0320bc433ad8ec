"""A host drains; another writer puts an entry without `born` into the store,
with the address of that host and the state ready."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import standins as s  # noqa: E402

ROUTE = ("127.18.0.1", 8443)
WRITTEN_AFTER_S = 1.0  # after the store has accepted the drain
SERVES_ON_S = 12.0     # the host serves on after DrainMs: "many seconds"


class Drains:
    """Judges DRAIN by the opening packets that hosts take."""

    def __init__(self, world):
        self.world = world
        self.acknowledged = {}
        self.record_opening = world.on_opening
        world.on_opening = self.on_opening

    def drain(self, host):
        host.drain()
        self.acknowledged[host] = time.monotonic()

    def on_opening(self, host, key):
        self.record_opening(host, key)
        drained = self.acknowledged.get(host)
        if drained is None:
            return
        bound = self.world.bounds["DrainMs"] / 1000
        # The first copy of the SYN, as the client sent it.
        sent = self.world.syn_sent.get(key)
        late = time.monotonic() - drained
        if late > bound and sent is not None and sent - drained > bound:
            self.world.broken(
                "DRAIN", "host %s took an opening packet %.2f s after its "
                "drain was acknowledged; the client sent it %.2f s after" %
                (host.name, late, sent - drained))


async def user(world, client):
    """Opens a flow for a request, then the next one."""
    while True:
        flow = client.open(ROUTE)
        world.syn_sent[flow.key] = time.monotonic()
        if await flow.opened:
            await flow.ask(work_ms=20, size=600, body=b"y" * 900, limit_s=1.2,
                           kind="POST")
            flow.close()
        await asyncio.sleep(world.random.uniform(0.2, 0.8))


async def case(holder):
    seed = int(os.environ.get("SEED", os.getpid()))
    world = holder["world"] = s.World(
        HERE, ["z-a", "z-b"], ["z-a", "z-a", "z-b"],
        [("app", "z-a")] * 4 + [("app", "z-b")] * 3,
        ["z-a"] * 8 + ["z-b"] * 4, seed)
    world.syn_sent = {}
    drains = Drains(world)
    world.configure(7, [ROUTE + ("app", "non_idempotent")])
    await world.start()
    await world.until_ready()
    users = [asyncio.ensure_future(user(world, it)) for it in world.clients]
    await asyncio.sleep(5)
    host = world.hosts[0]
    drains.drain(host)
    await asyncio.sleep(WRITTEN_AFTER_S)
    if world.trouble:
        world.record("another writer puts servers/agent-0 without born:",
                     "address of", host.name)
        world.store.put("servers/agent-0", {
            "Service": host.service,
            "Address": "%s:%d" % (host.ip, s.PORT_APP), "Zone": host.zone,
            "Version": "v1", "Slots": 2, "State": "ready", "WarmupLeftMs": 0,
            "Seq": 1})
    await asyncio.sleep(world.bounds["DrainMs"] / 1000 - WRITTEN_AFTER_S +
                        SERVES_ON_S)
    host.unregister()
    host.end()
    for it in users:
        it.cancel()


s.main(case)
