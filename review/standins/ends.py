"""Stand-ins of hosts and clients: the two ends of a flow (PROTOCOL.md).

Both ends acknowledge every second data packet, or one after 40 ms, and
retransmit after 200 ms, with the interval doubling up to 1.6 s.
"""

import random
import re
import socket
import threading
import time

import wire
from wire import ACK, BOUNCED, FIN, MASK, RST, SYN, Packet

DELAYED_ACK_S = 0.04
FIRST_RETRY_S = 0.2
MAX_RETRY_S = 1.6
HOST_RETRIES = 8
SYN_TIMES_S = (0.0, 0.2, 0.6)
OPEN_TIMEOUT_S = 1.4


def is_before(left, right):
    return ((right - left) & MASK) < 1 << 31 and left != right


class Stream:
    """Sending and receiving order of one end of an open flow."""

    def __init__(self, send_seq, receive_seq):
        self.next_seq = send_seq
        self.expected = receive_seq
        self.unacked = []
        self.retry_at = None
        self.retry_s = FIRST_RETRY_S
        self.retries = 0
        self.ack_at = None
        self.unacknowledged = 0

    def queue(self, data, flags, now):
        item = (self.next_seq, data, flags)
        self.unacked.append(item)
        self.next_seq = (self.next_seq + len(data) +
                         (1 if flags & FIN else 0)) & MASK
        self.ack_at, self.unacknowledged = None, 0
        if self.retry_at is None:
            self.retry_at, self.retry_s = now + FIRST_RETRY_S, FIRST_RETRY_S
        return item

    def on_ack(self, ack, now):
        def end_of(item):
            return (item[0] + len(item[1]) + (1 if item[2] & FIN else 0)) & MASK
        before = len(self.unacked)
        self.unacked = [i for i in self.unacked if is_before(ack, end_of(i))]
        if len(self.unacked) < before:
            self.retries = 0
            self.retry_s = FIRST_RETRY_S
            self.retry_at = now + FIRST_RETRY_S if self.unacked else None

    def on_data(self, packet, now):
        """Returns data that is in order, and whether an ACK is due now."""
        length = len(packet.data) + (1 if packet.flags & FIN else 0)
        if length == 0:
            return b"", False
        if packet.seq != self.expected:
            return b"", True
        self.expected = (self.expected + length) & MASK
        self.unacknowledged += 1
        if self.unacknowledged >= 2 or packet.flags & FIN:
            return packet.data, True
        self.ack_at = now + DELAYED_ACK_S
        return packet.data, False


class HostFlow:
    def __init__(self, seq, client_seq, now):
        self.seq = seq
        self.client_seq = client_seq
        self.opened_at = None
        self.syn_ack_at = now
        self.stream = Stream((seq + 1) & MASK, (client_seq + 1) & MASK)
        self.received = b""
        self.closing = False
        self.ended = False


class Host:
    """One boot of a host on a machine of its own."""

    def __init__(self, world, name, service, ip, app_port, outbound_port,
                 slots=2, work_s=0.015):
        self.world = world
        self.name, self.service, self.ip = name, service, ip
        self.app_port = app_port
        self.outbound = (ip, outbound_port)
        self.slots, self.work_s = slots, work_s
        self.flows = {}
        self.state = "ready"
        self.busy = 0
        self.waiting = []
        self.alive = True
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((ip, app_port))
        self.socket.setblocking(False)
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((ip, app_port))
        self.listener.listen(16)
        self.connections = set()
        threading.Thread(target=self._accept, daemon=True).start()
        world.add_reader(self.socket, self._readable)

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.connections.add(connection)
            threading.Thread(target=self._serve_health, args=(connection,),
                             daemon=True).start()

    def _serve_health(self, connection):
        try:
            while data := connection.recv(4096):
                if b"\r\n\r\n" in data:
                    status = b"200" if self.state == "ready" else b"503"
                    connection.sendall(b"HTTP/1.1 " + status +
                                       b" Health\r\nContent-Length: 0\r\n\r\n")
        except OSError:
            pass
        finally:
            self.connections.discard(connection)
            connection.close()

    def end(self):
        """The host exits, or crashes; it discards its flows."""
        self.alive = False
        self.world.remove_reader(self.socket)
        self.socket.close()
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.flows.clear()
        self.world.record(f"host {self.name} ended")

    def holds(self, key, seq):
        flow = self.flows.get(key)
        return (self.alive and flow is not None and flow.seq == seq
                and not flow.ended)

    def send(self, packet):
        try:
            self.socket.sendto(packet.encode(), self.outbound)
        except OSError:
            pass

    def _reply(self, key, seq, ack, flags, data=b""):
        client, service = key
        self.send(Packet(service[0], service[1], client[0], client[1], seq, ack,
                         flags, data))

    def _readable(self, now):
        while self.alive:
            try:
                datagram = self.socket.recv(4096)
            except OSError:
                return
            packet = wire.decode(datagram)
            if packet is None or not packet.is_genuine():
                self.world.broken("UNASKED", f"host {self.name} got a packet "
                                  "that its sender didn't write so")
                continue
            self._on_packet(packet, now)

    def _on_packet(self, packet, now):
        key = ((packet.src, packet.sport), (packet.dst, packet.dport))
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None or flow.client_seq != packet.seq:
                flow = HostFlow(random.getrandbits(32), packet.seq, now)
                self.flows[key] = flow
                self.world.on_host_took(self, key, packet, now)
            self._reply(key, flow.seq, packet.seq + 1, SYN | ACK)
            return
        if (flow is None or
                (packet.ack - flow.seq - 1) & MASK > 1 << 24):
            self.world.on_bounced(self, key, now)
            self._bounce(packet)
            return
        if flow.opened_at is None:
            flow.opened_at = now
            self.world.record(f"host {self.name} opened {self.world.label(key)}")
        self.world.on_host_packet(self, key, now)
        if packet.flags & RST:
            flow.ended = True
            del self.flows[key]
            return
        flow.stream.on_ack(packet.ack, now)
        data, ack_now = flow.stream.on_data(packet, now)
        if ack_now:
            self._reply(key, flow.stream.next_seq, flow.stream.expected, ACK)
        flow.received += data
        while b"\r\n\r\n" in flow.received:
            head, rest = flow.received.split(b"\r\n\r\n", 1)
            size = int((re.search(rb"Content-Length: (\d+)", head) or
                        [0, b"0"])[1])
            if len(rest) < size:
                break
            flow.received = rest[size:]
            self.waiting.append((key, flow, head))
        self._start_work(now)
        if packet.flags & FIN and not flow.closing:
            flow.closing = True
            self._send_data(key, flow, b"", ACK | FIN, now)

    def _start_work(self, now):
        while self.waiting and self.busy < self.slots:
            key, flow, head = self.waiting.pop(0)
            self.busy += 1
            request = re.search(rb"Arbutusport-Attempt-Id: (\S+)", head)[1]
            self.world.on_run(self, key, request.decode(), now)
            self.world.at(now + self.work_s,
                          lambda t, k=key, f=flow, r=request:
                          self._finish(k, f, r, t))

    def _finish(self, key, flow, request, now):
        self.busy -= 1
        if not self.alive:
            return
        if self.flows.get(key) is flow:
            body = b"answer to " + request
            closes = self.state == "draining"
            self._send_data(
                key, flow, b"HTTP/1.1 200 OK\r\nArbutusport-Server-Stamp: " +
                self.name.encode() + b"\r\nContent-Length: %d\r\n" % len(body) +
                (b"Connection: close\r\n" if closes else b"") + b"\r\n" + body,
                ACK | (FIN if closes else 0), now)
            flow.closing = flow.closing or closes
        self._start_work(now)

    def _send_data(self, key, flow, data, flags, now):
        seq, data, flags = flow.stream.queue(data, flags, now)
        self._reply(key, seq, flow.stream.expected, flags, data)

    def _bounce(self, packet):
        self.send(Packet(packet.src, packet.sport, packet.dst, packet.dport,
                         packet.seq, packet.ack, packet.flags | BOUNCED,
                         packet.data, packet.echo, b"\0\0\0", packet.sum))

    def tick(self, now):
        for key, flow in list(self.flows.items()):
            s = flow.stream
            if s.ack_at is not None and now >= s.ack_at:
                s.ack_at, s.unacknowledged = None, 0
                self._reply(key, s.next_seq, s.expected, ACK)
            if s.retry_at is not None and now >= s.retry_at and s.unacked:
                s.retries += 1
                if s.retries > HOST_RETRIES:
                    del self.flows[key]
                    continue
                s.retry_s = min(2 * s.retry_s, MAX_RETRY_S)
                s.retry_at = now + s.retry_s
                seq, data, flags = s.unacked[0]
                self._reply(key, seq, s.expected, flags, data)


class ClientFlow:
    """A client's flow. `zone` may change when the client moves."""

    def __init__(self, world, client, port, zone, service, name):
        self.world, self.client, self.port = world, client, port
        self.zone, self.service, self.name = zone, service, name
        self.key = ((client.ip, port), service)
        self.seq = random.getrandbits(32)
        self.state = "new"
        self.host_seq = None
        self.stream = None
        self.opened_at = None
        self.started_at = None
        self.syn_sent = 0
        self.received = b""
        self.request = None
        self.request_at = None
        self.on_answer = None
        self.on_end = None
        self.answers = 0
        self.last_ack = 0
        # An entry to which all packets go; otherwise the routers choose one.
        self.direct_to = None
        # SYN+ACKs that are lost on their way to the client.
        self.lose_syn_acks = 0

    def open(self, now):
        self.state, self.started_at = "opening", now
        self._send_syn(now)

    def _send(self, flags, seq, ack, data=b""):
        self.last_ack = ack
        packet = Packet(self.key[0][0], self.key[0][1], self.key[1][0],
                        self.key[1][1], seq, ack, flags, data)
        entry = self.direct_to or self.world.routers.choose(self.zone, self.key)
        if entry is None:
            return
        self.world.on_client_packet(self, entry, flags)
        self.client.send(packet.encode(), entry)

    def _send_syn(self, now):
        self.syn_sent += 1
        self._send(SYN, self.seq, self.syn_sent - 1)

    def ask(self, request, now, method="GET", body=b""):
        self.request, self.request_at = request, now
        data = (f"{method} /review HTTP/1.1\r\nHost: review\r\n"
                f"Arbutusport-Attempt-Id: {request}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        self.world.record(f"client asks {request} on {self.name}")
        seq, data, flags = self.stream.queue(data, ACK, now)
        self._send(flags, seq, self.stream.expected, data)

    def move(self, zone):
        self.world.record(f"client of {self.name} moves from {self.zone} "
                          f"to {zone}")
        self.zone = zone

    def finish(self, why, now):
        if self.state == "ended":
            return
        self.state = "ended"
        self.world.record(f"flow {self.name} ended: {why}")
        self.client.flows.pop(self.port, None)
        if self.on_end:
            self.on_end(self, why, now)

    def close(self, now):
        if self.state == "open":
            seq, data, flags = self.stream.queue(b"", ACK | FIN, now)
            self._send(flags, seq, self.stream.expected, data)
            self.state = "closing"

    def on_packet(self, packet, now):
        if packet.is_system_reset():
            self.world.on_system_reset(self, packet, now)
            self.finish("reset by the system", now)
            return
        if not packet.is_genuine():
            self.world.broken("MIXED", f"{self.name} got a packet that its "
                              "sender didn't write so")
            return
        if packet.flags & RST:
            self.finish("reset by its host", now)
            return
        if packet.flags & SYN:
            if self.lose_syn_acks > 0:
                self.lose_syn_acks -= 1
                self.world.record(f"a SYN+ACK to {self.name} is lost")
                return
            if self.state == "opening":
                self.host_seq = packet.seq
                self.stream = Stream((self.seq + 1) & MASK,
                                     (packet.seq + 1) & MASK)
                self.state, self.opened_at = "open", now
                self.world.record(f"flow {self.name} opened")
                self._send(ACK, self.stream.next_seq, self.stream.expected)
                self.world.on_opened(self, now)
            elif self.host_seq == packet.seq:
                self._send(ACK, self.stream.next_seq, self.stream.expected)
            return
        if self.stream is None:
            return
        self.stream.on_ack(packet.ack, now)
        data, ack_now = self.stream.on_data(packet, now)
        if ack_now:
            self.stream.ack_at, self.stream.unacknowledged = None, 0
            self._send(ACK, self.stream.next_seq, self.stream.expected)
        self.received += data
        self._read_answer(now)
        if packet.flags & FIN:
            if self.state == "open":
                self.close(now)
            self.finish("closed", now)

    def _read_answer(self, now):
        if b"\r\n\r\n" not in self.received:
            return
        head, rest = self.received.split(b"\r\n\r\n", 1)
        size = int(re.search(rb"Content-Length: (\d+)", head)[1])
        if len(rest) < size:
            return
        body, self.received = rest[:size], rest[size:]
        request, self.request = self.request, None
        if request is None or body != b"answer to " + request.encode():
            self.world.broken("MIXED", f"{self.name} got {body!r} for {request}")
            return
        stamp = re.search(rb"Arbutusport-Server-Stamp: (\S+)", head)[1].decode()
        self.answers += 1
        self.world.record(f"client got the answer to {request} from {stamp}")
        if self.on_answer:
            self.on_answer(self, request, stamp, now)

    def tick(self, now):
        if self.state == "opening":
            since = now - self.started_at
            if since >= OPEN_TIMEOUT_S:
                self.finish("never opened", now)
            elif (self.syn_sent < len(SYN_TIMES_S) and
                  since >= SYN_TIMES_S[self.syn_sent]):
                self._send_syn(now)
        elif self.stream is not None:
            s = self.stream
            if s.ack_at is not None and now >= s.ack_at:
                s.ack_at, s.unacknowledged = None, 0
                self._send(ACK, s.next_seq, s.expected)
            if s.retry_at is not None and now >= s.retry_at and s.unacked:
                s.retry_s = min(2 * s.retry_s, MAX_RETRY_S)
                s.retry_at = now + s.retry_s
                seq, data, flags = s.unacked[0]
                self._send(flags, seq, s.expected, data)


class Client:
    def __init__(self, world, ip_text, udp_port):
        self.world, self.ip = world, wire.ip_number(ip_text)
        self.udp_port = udp_port
        self.flows = {}
        self.next_port = 20000 + random.randrange(20000)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((ip_text, udp_port))
        self.socket.setblocking(False)
        world.add_reader(self.socket, self._readable)

    def flow(self, zone, service, name):
        self.next_port += 1
        flow = ClientFlow(self.world, self, self.next_port, zone, service, name)
        self.flows[self.next_port] = flow
        self.world.label_flow(flow.key, name)
        return flow

    def send(self, datagram, entry):
        try:
            self.socket.sendto(datagram, (entry, self.udp_port))
        except OSError:
            pass

    def _readable(self, now):
        while True:
            try:
                datagram = self.socket.recv(4096)
            except OSError:
                return
            packet = wire.decode(datagram)
            flow = self.flows.get(packet.dport) if packet else None
            if flow and (packet.src, packet.sport) == flow.key[1]:
                flow.on_packet(packet, now)

    def tick(self, now):
        for flow in list(self.flows.values()):
            flow.tick(now)


def wait(seconds):
    time.sleep(seconds)
