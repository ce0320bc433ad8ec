"""Stand-ins for the scripts of this review: the platform's store, routers,
hosts and clients, on loopback addresses and the real clock. They follow the
users' protocol pages. Nothing here knows the system's internals: processes are
started with the command of the deploy file and a settings file only."""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import traceback
import urllib.parse
import zlib

SYN, ACK, FIN, RST, BOUNCED = 4, 128, 2, 16, 32
HEAD = struct.Struct(">IHIHIIIHIB3s")  # 34 bytes
MAX_DATA = 1200
WINDOW = 16
HANDSHAKE_COPIES = (0.2, 0.6)
HANDSHAKE_LIMIT = 1.4
FIRST_RETRY, LAST_RETRY = 0.2, 1.6
HOST_RETRIES = 8
DELAYED_ACK = 0.04
CLIENT_LINK = 0.003

PORT_UDP, PORT_READY, PORT_CONTROL = 8172, 8167, 8166
PORT_OUTBOUND, PORT_APP, PORT_STORE = 8162, 8165, 8169
INTERNAL = [7720, 7735]


def ip_int(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Packet:
    __slots__ = ("sum", "sport", "src", "dport", "dst", "seq", "ack", "len",
                 "echo", "flags", "pad", "data", "raw")

    @staticmethod
    def parse(raw):
        if len(raw) < HEAD.size:
            return None
        it = Packet()
        (it.sum, it.sport, it.src, it.dport, it.dst, it.seq, it.ack, it.len,
         it.echo, it.flags, it.pad) = HEAD.unpack_from(raw)
        it.data = raw[HEAD.size:]
        it.raw = raw
        return it


def checksum(raw):
    """Keyed sum over all fields except `echo`, `pad` and BOUNCED."""
    it = bytearray(raw)
    it[0:4] = b"\0\0\0\0"
    it[26:30] = b"\0\0\0\0"
    it[30] &= 0xFF ^ BOUNCED
    it[31:34] = b"\0\0\0"
    return (zlib.crc32(bytes(it), 0x2D9D17) or 1) & 0xFFFFFFFF


def build(src, sport, dst, dport, seq, ack, flags, data=b""):
    raw = bytearray(HEAD.pack(0, sport, src, dport, dst, seq & 0xFFFFFFFF,
                              ack & 0xFFFFFFFF, len(data), 0, flags,
                              b"\0\0\0") + data)
    struct.pack_into(">I", raw, 0, checksum(raw))
    return bytes(raw)


def diff(a, b):
    """Signed difference of two 32-bit sequence numbers."""
    return ((a - b + 0x80000000) & 0xFFFFFFFF) - 0x80000000


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, *words):
        line = "%8.3f " % self.now() + " ".join(str(it) for it in words)
        self.file.write(line + "\n")
        self.file.flush()


class Store:
    """The platform's metadata store: kv-key, kv-range, kv-watch."""

    ANSWER_S = 0.004

    def __init__(self, world):
        self.world = world
        self.items = {}
        self.history = []
        self.revision = 100
        self.changed = asyncio.Event()

    def put(self, key, value):
        self.revision += 1
        created = self.items[key]["CreatedRev"] if key in self.items \
            else self.revision
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        item = {"Key": key, "Value": base64.b64encode(value).decode(),
                "Revision": self.revision, "CreatedRev": created, "Lease": 0}
        self.items[key] = item
        self._event(item)

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._event({"Key": key, "Revision": self.revision, "Removed": True})

    def _event(self, item):
        self.history.append(item)
        self.changed.set()
        self.changed = asyncio.Event()

    async def start(self, ip):
        self.server = await asyncio.start_server(self._serve, ip, PORT_STORE)

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                path, _, query = target.partition("?")
                args = dict(urllib.parse.parse_qsl(query, True))
                status, body = await self._answer(path, args)
                await asyncio.sleep(self.ANSWER_S)
                data = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json"
                             b"\r\nContent-Length: %d\r\n\r\n" %
                             (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, path, args):
        prefix = args.get("Prefix", "")
        if path.endswith("/kv-key"):
            item = self.items.get(args.get("Key", ""))
            return (200, dict(item, AsOf=self.revision)) if item else (404, {})
        if path.endswith("/kv-range"):
            after = args.get("after", "")
            keys = sorted(k for k in self.items
                          if k.startswith(prefix) and k > after)
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "HasMore": len(keys) > 500, "AsOf": self.revision}
        if path.endswith("/kv-watch"):
            after = int(args["after"])
            until = time.monotonic() + int(args["WaitMs"]) / 1000
            while True:
                events = [it for it in self.history if it["Revision"] > after
                          and it["Key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "AsOf": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {}


class Udp(asyncio.DatagramProtocol):
    def __init__(self, handle):
        self.handle = handle

    def datagram_received(self, data, addr):
        self.handle(data, addr)

    def error_received(self, exc):
        pass


async def open_udp(ip, port, handle):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: Udp(handle), local_addr=(ip, port))
    return transport


class Conn:
    """One end of a flow: sequence numbers, acknowledgements, retransmission.
    `emit(flags, seq, ack, data)` sends a packet."""

    def __init__(self, emit, own_seq, peer_next, retries):
        self.emit = emit
        self.next = own_seq        # next sequence number to use
        self.una = own_seq         # oldest unacknowledged one
        self.expected = peer_next  # next sequence number of the peer
        self.queue = []            # (data, fin) not sent yet
        self.flight = []           # [seq, end, flags, data]
        self.early = {}            # packets that arrived too early
        self.unacked_packets = 0
        self.retries = retries
        self.tries = 0
        self.timer = None
        self.ack_timer = None
        self.dead = False
        self.fin_sent = self.fin_received = False
        self.on_data = lambda data: None
        self.on_fin = lambda: None
        self.on_give_up = lambda: None

    def send(self, data, fin=False):
        parts = [data[i:i + MAX_DATA] for i in range(0, len(data), MAX_DATA)]
        for i, part in enumerate(parts):
            self.queue.append((part, fin and i == len(parts) - 1))
        if not parts and fin:
            self.queue.append((b"", True))
        self._pump()

    def _pump(self):
        while self.queue and len(self.flight) < WINDOW and not self.dead:
            data, fin = self.queue.pop(0)
            flags = ACK | (FIN if fin else 0)
            end = (self.next + len(data) + (1 if fin else 0)) & 0xFFFFFFFF
            self.flight.append([self.next, end, flags, data])
            self._transmit(self.flight[-1])
            self.next = end
            self.fin_sent = self.fin_sent or fin
        if self.flight and self.timer is None:
            self._arm()

    def _transmit(self, it):
        self._acked()
        self.emit(it[2], it[0], self.expected, it[3])

    def _acked(self):
        self.unacked_packets = 0
        if self.ack_timer:
            self.ack_timer.cancel()
            self.ack_timer = None

    def _arm(self):
        wait = min(FIRST_RETRY * 2 ** self.tries, LAST_RETRY)
        self.timer = asyncio.get_running_loop().call_later(wait, self._retry)

    def _retry(self):
        self.timer = None
        if self.dead or not self.flight:
            return
        self.tries += 1
        if self.tries > self.retries:
            self.close()
            self.on_give_up()
            return
        self._transmit(self.flight[0])
        self._arm()

    def send_ack(self):
        self._acked()
        self.emit(ACK, self.next, self.expected, b"")

    def on_packet(self, it):
        if self.dead:
            return
        if it.flags & ACK and diff(it.ack, self.una) > 0 and \
                diff(it.ack, self.next) <= 0:
            self.una = it.ack
            while self.flight and diff(it.ack, self.flight[0][1]) >= 0:
                self.flight.pop(0)
            self.tries = 0
            if self.timer:
                self.timer.cancel()
                self.timer = None
            if self.flight:
                self._arm()
            self._pump()
        fin = bool(it.flags & FIN)
        if not it.data and not fin:
            return
        if it.seq != self.expected:
            if diff(it.seq, self.expected) > 0:
                self.early[it.seq] = (it.data, fin)
            self.send_ack()
            return
        got_fin = False
        data, fin_here = it.data, fin
        received = b""
        while True:
            received += data
            self.expected = (self.expected + len(data) + int(fin_here)) \
                & 0xFFFFFFFF
            self.unacked_packets += 1
            got_fin = got_fin or fin_here
            if self.expected not in self.early:
                break
            data, fin_here = self.early.pop(self.expected)
        if got_fin:
            self.fin_received = True
            self.send_ack()
        elif self.unacked_packets >= 2:
            self.send_ack()
        elif self.ack_timer is None:
            self.ack_timer = asyncio.get_running_loop().call_later(
                DELAYED_ACK, self._delayed_ack)
        if received:
            self.on_data(received)
        if got_fin:
            self.on_fin()

    def _delayed_ack(self):
        self.ack_timer = None
        if not self.dead and self.unacked_packets:
            self.send_ack()

    def close(self):
        self.dead = True
        for it in (self.timer, self.ack_timer):
            if it:
                it.cancel()
        self.timer = self.ack_timer = None


class HostFlow:
    def __init__(self, client_seq, host_seq):
        self.client_seq = client_seq
        self.host_seq = host_seq
        self.open = False
        self.opened_at = None
        self.used_at = time.monotonic()
        self.conn = None
        self.buffer = b""
        self.busy = False


class Host:
    """An application host. Requests are `GET name work bytes` lines in HTTP
    form; it answers with a whole body and its stamp."""

    def __init__(self, world, index, ip, service, zone, slots=2):
        self.world, self.index, self.ip = world, index, ip
        self.service, self.zone, self.slots = service, zone, slots
        self.name = "h%d" % index
        self.id = "i-%08x" % world.random.getrandbits(32)
        self.state = "ready"
        self.alive = False
        self.flows = {}
        self.ended = {}
        self.waiting = []
        self.running = 0
        self.seq = 0
        self.listener = None
        self.connections = set()
        self.runs = {}
        self.entry = None

    async def start(self):
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.alive = True
        self.udp = await open_udp(self.ip, PORT_APP, self._receive)
        await self.listen()
        self.beat = asyncio.ensure_future(self._beat())
        self.world.record("host", self.name, "started", self.ip, self.service)

    async def listen(self):
        self.listener = await asyncio.start_server(self._health, self.ip,
                                                   PORT_APP)

    def close_listener(self):
        self.world.record("host", self.name, "closes its TCP listener;",
                          self.open_flows(), "flows open")
        self.listener.close()
        self.listener = None
        for it in list(self.connections):
            it.close()

    def open_flows(self):
        return sum(1 for it in self.flows.values() if it.open)

    def drain(self):
        self.state = "draining"
        self.register()
        self.world.record("host", self.name, "registers draining;",
                          self.open_flows(), "flows open")

    def end(self):
        """The process ends; it tells its flows nothing."""
        self.alive = False
        self.beat.cancel()
        if self.listener:
            self.close_listener()
        for it in self.flows.values():
            if it.conn:
                it.conn.close()
        self.flows.clear()
        self.udp.close()
        self.world.record("host", self.name, "ended")

    def register(self):
        """Writes the host's entry. The entry changes only when more than
        `Seq` changes."""
        self.seq += 1
        entry = {
            "Service": self.service,
            "Address": "%s:%d" % (self.ip, PORT_APP), "Zone": self.zone,
            "Version": "v1", "Slots": self.slots, "State": self.state,
            "WarmupLeftMs": 0, "born": self.born}
        if entry != self.entry or "servers/" + self.id not in \
                self.world.store.items:
            self.entry = entry
            self.world.store.put("servers/" + self.id,
                                 dict(entry, Seq=self.seq))

    def unregister(self):
        self.world.store.remove("servers/" + self.id)

    async def _beat(self):
        self.register()
        while True:
            await asyncio.sleep(self.world.heartbeat_ms / 1000)
            self.register()

    async def _health(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                status = 200 if self.state == "ready" else 503
                writer.write(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n"
                             b"Arbutusport-Instance-Id: %s\r\n\r\n" %
                             (status, self.id.encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def _out(self, raw):
        if self.alive:
            self.udp.sendto(raw, (self.ip, PORT_OUTBOUND))

    def _receive(self, raw, _):
        it = Packet.parse(raw)
        if it is None or it.sum != checksum(raw):
            self.world.broken("UNASKED", self.name, "got a packet that its "
                              "sender did not write so")
            return
        key = (it.src, it.sport, it.dst, it.dport)
        flow = self.flows.get(key)
        if it.flags & SYN and not it.flags & ACK:
            if flow is None or flow.client_seq != it.seq:
                flow = HostFlow(it.seq, self.world.random.getrandbits(32))
                self.flows[key] = flow
                self.world.on_opening(self, key)
            flow.used_at = time.monotonic()
            self._out(build(it.dst, it.dport, it.src, it.sport, flow.host_seq,
                            it.seq + 1, SYN | ACK))
            return
        if flow is not None and not flow.open:
            if it.flags & ACK and 0 < diff(it.ack, flow.host_seq) <= 1:
                self._open(key, flow)
            else:
                flow = None
        if flow is None:
            if key in self.ended:
                self._on_ended(key, it)
                return
            bounced = bytearray(raw)
            bounced[30] |= BOUNCED
            bounced[31:34] = b"\0\0\0"
            self._out(bytes(bounced))
            return
        flow.used_at = time.monotonic()
        if it.flags & RST:
            self._forget(key)
            return
        flow.conn.on_packet(it)

    def _on_ended(self, key, it):
        src, sport, dst, dport = key
        if it.flags & FIN:
            self._out(build(dst, dport, src, sport, it.ack,
                            it.seq + it.len + 1, ACK))
        elif it.len:
            self._out(build(dst, dport, src, sport, it.ack, it.seq + it.len,
                            RST | ACK))

    def _open(self, key, flow):
        flow.open = True
        flow.opened_at = time.monotonic()
        src, sport, dst, dport = key

        def emit(flags, seq, ack, data):
            flow.used_at = time.monotonic()
            self._out(build(dst, dport, src, sport, seq, ack, flags, data))

        flow.conn = Conn(emit, flow.host_seq + 1, flow.client_seq + 1,
                         HOST_RETRIES)
        flow.conn.on_data = lambda data: self._data(key, flow, data)
        flow.conn.on_fin = lambda: self._fin(key, flow)
        flow.conn.on_give_up = lambda: self._forget(key)

    def _forget(self, key):
        flow = self.flows.pop(key, None)
        if flow and flow.conn:
            flow.conn.close()
        self.ended[key] = time.monotonic()

    def _fin(self, key, flow):
        if not flow.conn.fin_sent:
            flow.conn.send(b"", fin=True)
        asyncio.get_running_loop().call_later(
            0.5, lambda: self.flows.get(key) is flow and self._forget(key))

    def _data(self, key, flow, data):
        flow.buffer += data
        while b"\r\n\r\n" in flow.buffer:
            head, _, rest = flow.buffer.partition(b"\r\n\r\n")
            words = dict(
                line.split(": ", 1)
                for line in head.decode().split("\r\n")[1:])
            length = int(words.get("Content-Length", 0))
            if len(rest) < length:
                return
            flow.buffer = rest[length:]
            self.waiting.append((key, flow, words))
        self._work()

    def _work(self):
        while self.waiting and self.running < self.slots:
            key, flow, words = self.waiting.pop(0)
            self.running += 1
            name = words["Arbutusport-Attempt-Id"]
            self.runs[name] = self.runs.get(name, 0) + 1
            self.world.on_run(self, name)
            asyncio.get_running_loop().call_later(
                float(words["X-Work-Ms"]) / 1000, self._answer, key, flow,
                words)

    def _answer(self, key, flow, words):
        self.running -= 1
        if self.alive and self.flows.get(key) is flow:
            body = b"x" * int(words["X-Bytes"])
            fin = self.state == "draining"
            name = words["Arbutusport-Attempt-Id"]
            flow.conn.send(
                b"HTTP/1.1 200 OK\r\nArbutusport-Server-Stamp: %s\r\n"
                b"Arbutusport-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n" %
                (self.id.encode(), name.encode(), len(body)) + body, fin)
        self._work()


class ClientFlow:
    """A client's flow: opens with a SYN, then carries requests."""

    def __init__(self, client, port, address):
        self.client, self.world = client, client.world
        self.port, self.address = port, address
        self.key = (client.number, port, ip_int(address[0]), address[1])
        self.start_seq = self.world.random.getrandbits(32)
        self.last_ack = 0
        self.conn = None
        self.host_seq = None
        self.opened = asyncio.get_running_loop().create_future()
        self.ended = None          # reason
        self.ended_by_host = False
        self.answer = None
        self.buffer = b""
        self.request = None
        self.used_at = self.opened_at = None
        loop = asyncio.get_running_loop()
        self._syn(0)
        self.timers = [loop.call_later(at, self._syn, i + 1)
                       for i, at in enumerate(HANDSHAKE_COPIES)]
        self.timers.append(loop.call_later(HANDSHAKE_LIMIT, self.finish,
                                           "no answer"))

    def _out(self, flags, seq, ack, data=b""):
        self.last_ack = ack
        self.used_at = time.monotonic()
        _, _, dst, dport = self.key
        self.client.send(self, build(self.client.number, self.port, dst, dport,
                                     seq, ack, flags, data))

    def _syn(self, copies):
        self._out(SYN, self.start_seq, copies)

    def on_packet(self, it):
        if it.flags & RST:
            self._on_reset(it)
            return
        if it.flags & SYN:
            if self.conn is None:
                self.host_seq = it.seq
                self.conn = Conn(self._out, self.start_seq + 1, it.seq + 1,
                                 1000)
                self.conn.on_data = self._data
                self.conn.on_fin = self._fin
                for timer in self.timers:
                    timer.cancel()
                self.opened_at = time.monotonic()
                if not self.opened.done():
                    self.opened.set_result(True)
                self.conn.send_ack()
            return
        if self.conn is not None:
            self.conn.on_packet(it)

    def _on_reset(self, it):
        own = it.sum == 0
        if self.conn is not None and own and \
                abs(diff(it.seq, self.last_ack)) > 76800:
            return
        if self.ended is None and own and self.conn is not None:
            self.world.on_system_reset(self)
        self.finish("reset by the system" if own else "reset by the host")

    def finish(self, reason):
        if self.ended is not None:
            return
        self.ended = reason
        for timer in self.timers:
            timer.cancel()
        if self.conn:
            self.conn.close()
        if not self.opened.done():
            self.opened.set_result(False)
        if self.answer and not self.answer.done():
            self.answer.set_result(None)

    def _fin(self):
        self.ended_by_host = True
        if self.answer and not self.answer.done():
            self.answer.set_result(None)

    def close(self):
        """The application closes the flow."""
        if self.ended is None and self.conn and not self.conn.fin_sent:
            self.conn.send(b"", fin=True)
            asyncio.get_running_loop().call_later(1.0, self.finish, "closed")

    def _data(self, data):
        self.buffer += data
        head, found, rest = self.buffer.partition(b"\r\n\r\n")
        if not found:
            return
        words = dict(line.split(": ", 1)
                     for line in head.decode().split("\r\n")[1:])
        if len(rest) < int(words["Content-Length"]):
            return
        self.buffer = rest[int(words["Content-Length"]):]
        if self.answer and not self.answer.done():
            self.answer.set_result(words)

    async def ask(self, work_ms, size, body=b"", limit_s=5.0, kind="GET"):
        """Sends a request; returns (name, headers or None)."""
        name = "a%d" % self.world.next_number()
        self.request = (name, kind)
        self.answer = asyncio.get_running_loop().create_future()
        self.world.on_sent(self, name, kind)
        self.conn.send(
            b"%s / HTTP/1.1\r\nArbutusport-Attempt-Id: %s\r\nX-Work-Ms: %g\r\n"
            b"X-Bytes: %d\r\nContent-Length: %d\r\n\r\n" %
            (kind.encode(), name.encode(), work_ms, size, len(body)) + body)
        try:
            words = await asyncio.wait_for(asyncio.shield(self.answer),
                                           limit_s)
        except asyncio.TimeoutError:
            words = None
        self.request = None
        self.world.on_answered(self, name, words)
        return name, words


class Client:
    def __init__(self, world, index, ip, zone):
        self.world, self.index, self.ip, self.zone = world, index, ip, zone
        self.number = ip_int(ip)
        self.flows = {}
        self.next_port = 40000 + world.random.randrange(10000)

    async def start(self):
        self.udp = await open_udp(self.ip, PORT_UDP, self._receive)

    def open(self, address):
        self.next_port += 1
        flow = ClientFlow(self, self.next_port, address)
        self.flows[(flow.port,) + tuple(flow.key[2:])] = flow
        return flow

    def send(self, flow, raw):
        # The router's choice at this moment, one link delay later.
        asyncio.get_running_loop().call_later(CLIENT_LINK, self._route,
                                              flow.key, raw)

    def _route(self, key, raw):
        entry = self.world.route(self.zone, key)
        if entry is not None:
            self.udp.sendto(raw, (entry.ip, PORT_UDP))

    def _receive(self, raw, _):
        asyncio.get_running_loop().call_later(CLIENT_LINK, self._deliver, raw)

    def _deliver(self, raw):
        it = Packet.parse(raw)
        if it is None:
            return
        flow = self.flows.get((it.dport, it.src, it.sport))
        if it.sum != 0 and it.sum != checksum(raw):
            self.world.broken("MIXED", "a client got a packet that its sender "
                              "did not write so")
        elif flow is not None and flow.ended is None:
            flow.on_packet(it)


class Node:
    """A process of the system, run by the deploy file's command."""

    RESTART_S = 0.5

    def __init__(self, world, name, ip, zone, settings):
        self.world, self.name, self.ip, self.zone = world, name, ip, zone
        self.file = os.path.join(world.folder, name + ".json")
        with open(self.file, "w") as out:
            json.dump(settings, out, indent=1)
        self.process = None
        self.wanted = False
        self.in_rotation = False
        self.misses = 0
        self.exits = []

    async def start(self):
        self.wanted = True
        log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(self.world.root, "target", "arbutusd"),
            cwd=self.world.root, stdin=asyncio.subprocess.DEVNULL, stdout=log,
            stderr=log, env={"PATH": os.environ.get("PATH", ""),
                             "HOME": self.world.folder,
                             "ARBUTUSPORT_NODE_FILE": self.file})
        log.close()
        asyncio.ensure_future(self._watch(self.process))

    async def _watch(self, process):
        code = await process.wait()
        self.exits.append(code)
        self.world.record("process", self.name, "ended with", code)
        if self.wanted:
            await asyncio.sleep(self.RESTART_S)
            if self.wanted:
                self.world.record("process", self.name, "is started again")
                await self.start()

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop_planned(self):
        """SIGTERM, SIGKILL after GraceS, and started again."""
        self.world.record("process", self.name, "gets SIGTERM (planned)")
        old = self.process
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(old.wait(), self.world.grace_s)
        except asyncio.TimeoutError:
            old.kill()

    async def stop_for_good(self):
        self.wanted = False
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class World:
    """A small deployment. `zones`: names; `entries`: zone of each; `hosts`:
    (service, zone) of each; `routes`: list of configuration entries."""

    heartbeat_ms = 1200
    idle_timeout_ms = 15000
    grace_s = 6.0
    bounds = {"SeedLagS": 3, "ReuseAfterS": 2, "StabilityWindowMs": 4000,
              "AckMs": 5000, "CatchUpS": 4, "DrainMs": 3000, "GraceS": 6,
              "LossSlackMs": 200, "ConfigApplyMs": 3000,
              "DowngradeSlackMs": 250, "MaxStretchMs": 12000, "RecoverS": 12,
              "FlowMs": 2000, "FlowMaxS": 60}

    def __init__(self, case_folder, zones, entries, hosts, clients, seed=None):
        self.case_folder = case_folder
        self.root = os.path.abspath(os.path.join(case_folder, "..", ".."))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.random = random.Random(seed)
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record("seed", seed, "trouble", int(self.trouble))
        salt = os.getpid()
        self.net = "127.%d.%d." % (32 + salt // 251 % 64, salt % 251 + 1)
        self.zones = zones
        self.counter = 0
        self.broken_rules = []
        self.sent, self.answered, self.runs = {}, {}, {}
        self.openings = []
        self.store = Store(self)
        self.store_ip = self.net + "250"
        ips = [self.net + str(1 + i) for i in range(len(entries))]
        seeds = ["%s:%d" % (it, PORT_CONTROL) for it in ips[:3]]
        self.entries = []
        for i, zone in enumerate(entries):
            self.entries.append(Node(
                self, "edge-%d" % i, ips[i], zone,
                self._settings("edge-%d" % i, "entry", "edge",
                               ["edge", "control_plane"], ips[i], zone,
                               seeds)))
        self.hosts, self.sides = [], []
        for i, (service, zone) in enumerate(hosts):
            self.add_host(service, zone, seeds)
        self.seeds = seeds
        self.clients = [Client(self, i, self.net + str(101 + i), zone)
                        for i, zone in enumerate(clients)]

    def add_host(self, service, zone, seeds=None):
        i = len(self.hosts)
        ip = self.net + str(51 + i)
        host = Host(self, i, ip, service, zone)
        self.hosts.append(host)
        settings = self._settings("side-%d" % i, "host", "side", ["side"], ip,
                                  zone, seeds or self.seeds)
        settings["app"] = "%s:%d" % (ip, PORT_APP)
        settings["Service"] = service
        self.sides.append(Node(self, "side-%d" % i, ip, zone, settings))
        return host, self.sides[-1]

    def _settings(self, name, role, machine_class, serves, ip, zone, seeds):
        listen = {"UdpListen": "%s:%d" % (ip, PORT_UDP),
                  "Ready": "%s:%d" % (ip, PORT_READY)}
        if machine_class == "side":
            listen["outbound"] = "%s:%d" % (ip, PORT_OUTBOUND)
        else:
            listen["Control"] = "%s:%d" % (ip, PORT_CONTROL)
        return {
            "NodeName": name, "Role": role, "MachineClass": machine_class,
            "Serves": serves, "Ip": ip, "Zone": zone, "Region": "r",
            "Zones": {it: "r" for it in self.zones}, "Listen": listen,
            "InternalPorts": INTERNAL, "Seeds": seeds, "Bootstrap": True,
            "CountsTowardFaults": False,
            "Limits": {"CpuShare": 0.25, "Cores": 1, "MemoryMb": 260,
                       "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
            "DataDir": None, "Discovery": "platform", "Entry": "announce",
            "HeartbeatMs": self.heartbeat_ms,
            "Contracts": ["base", "drain", "config", "cost", "recover",
                          "flows", "platform"],
            "FaultTolerance": {"Machines": 2, "Zones": 0, "Regions": 0},
            "Bounds": self.bounds, "Hash": "mod", "ForwardingMode": "agent",
            "platform": {"Address": "%s:%d" % (self.store_ip, PORT_STORE),
                         "ForwardingMode": "read", "WritesPerS": 400,
                         "ReadsPerS": 2000, "HistoryS": 20,
                         "ValueBytes": 1048576, "TtlMinMs": 1000}}

    def next_number(self):
        self.counter += 1
        return self.counter

    def configure(self, version, routes):
        """`routes`: (address, port, service, kind)."""
        self.store.put("op/config", {
            "Version": version,
            "Routes": [{"Name": "r%d" % i, "Host": a, "Prefix": "/%d/" % p,
                        "RouteType": kind, "TimeoutMs": 5000,
                        "TargetLatencyMs": 150, "Priority": 1, "Service": s,
                        "Attempts": 2}
                       for i, (a, p, s, kind) in enumerate(routes)],
            "Services": [{"Name": s, "HealthCheck": "/health",
                          "MaxConns": 2000, "Protocol": "h1", "Tls": False}
                         for s in sorted({it[2] for it in routes})],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                       "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": self.idle_timeout_ms}})

    async def start(self):
        await self.store.start(self.store_ip)
        for it in self.hosts:
            await it.start()
        for it in self.entries + self.sides:
            await it.start()
        for it in self.clients:
            await it.start()
        for it in self.entries:
            asyncio.ensure_future(self._probe(it))

    async def _probe(self, entry):
        """The platform's routers probe readiness twice a second."""
        while True:
            ok = False
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(entry.ip, PORT_READY), 0.4)
                writer.write(b"GET /arbutusport/readiness HTTP/1.1\r\n"
                             b"Host: x\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 0.4)
                ok = b" 200 " in line
                writer.close()
            except (OSError, asyncio.TimeoutError):
                pass
            entry.misses = 0 if ok else entry.misses + 1
            if ok != entry.in_rotation and (ok or entry.misses >= 2):
                entry.in_rotation = ok
                self.record("router", entry.name,
                            "in rotation" if ok else "out of rotation")
            await asyncio.sleep(0.5)

    def route(self, zone, key):
        mine = [it for it in self.entries if it.zone == zone]
        ready = [it for it in mine if it.in_rotation]
        if not ready:
            ready = [it for it in self.entries if it.in_rotation]
        elif 2 * len(ready) < len(mine):
            ready = mine
        if not ready:
            return None
        return ready[zlib.crc32(repr(key).encode()) % len(ready)]

    async def until_ready(self, limit_s=15):
        until = time.monotonic() + limit_s
        while not all(it.in_rotation for it in self.entries):
            if time.monotonic() > until:
                raise CannotRun("the entries did not become ready")
            await asyncio.sleep(0.1)

    def holder(self, flow):
        """The host that holds the client's flow open; None if there is none."""
        for host in self.hosts:
            it = host.flows.get(flow.key)
            if host.alive and it and it.open and it.host_seq == flow.host_seq:
                return host, it
        return None

    def on_system_reset(self, flow):
        held = self.holder(flow)
        now = time.monotonic()
        if held is None:
            self.record("flow", flow.port, "reset by the system; no host holds "
                        "it")
            return
        host, it = held
        age, idle = now - it.opened_at, now - it.used_at
        text = ("flow of client %d port %d reset by the system; host %s lives "
                "and holds it; open for %.1f s, idle for %.1f s; request in "
                "progress: %s" % (flow.client.index, flow.port, host.name, age,
                                  idle, flow.request))
        if it.conn.fin_sent and it.conn.fin_received:
            self.record("allowed:", text, "(both ends have sent a FIN)")
        elif age > self.bounds["FlowMaxS"] or idle * 1000 > \
                self.idle_timeout_ms:
            self.record("allowed:", text)
        else:
            self.broken("FLOW", text)

    def broken(self, rule, *words):
        text = rule + ": " + " ".join(str(it) for it in words)
        self.broken_rules.append(text)
        self.record("BROKEN", text)

    def on_opening(self, host, key):
        self.openings.append((time.monotonic(), host, key))
        self.record("host", host.name, "takes the opening packet of",
                    "%s:%d" % (ip_text(key[0]), key[1]), "to",
                    "%s:%d" % (ip_text(key[2]), key[3]))

    def on_run(self, host, name):
        self.runs[name] = self.runs.get(name, 0) + 1
        self.record("run", name, "at", host.name)

    def on_sent(self, flow, name, kind):
        self.sent[name] = kind
        self.record("sent", name, kind, "client", flow.client.index, "port",
                    flow.port)

    def on_answered(self, flow, name, words):
        self.answered[name] = words is not None
        self.record("answered" if words else "not answered", name,
                    "" if words else "(flow: %s)" % flow.ended)

    async def close(self):
        for it in self.entries + self.sides:
            await it.stop_for_good()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


def main(case):
    """Runs `case`, an async function that returns the World, or raises
    CannotRun; exits with 1 if a rule was broken, 0 if not, 2 otherwise."""
    async def run():
        world = None
        holder = {}
        try:
            await asyncio.wait_for(case(holder), 115)
            world = holder["world"]
            for it in world.broken_rules:
                print("BROKEN", it)
            world.record("result", len(world.broken_rules), "rules broken;",
                         len(world.sent), "requests sent,",
                         sum(world.answered.values()), "answered,",
                         sum(world.runs.values()), "runs")
            if not any(world.answered.values()):
                raise CannotRun("no request was answered")
            return 1 if world.broken_rules else 0
        except Exception:  # An error of the script says nothing of the rule.
            traceback.print_exc()
            return 2
        finally:
            if holder.get("world"):
                await holder["world"].close()
    code = asyncio.run(run())
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.stdout.flush()
    os._exit(code)
