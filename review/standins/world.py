"""A small deployment: the project's programs as processes on loopback, with
stand-ins of the platform, hosts and clients, and what the rules need to know.

Settings are like those of DEPLOY.md, except that each machine names its own
link to the store, and that addresses are loopback addresses.
"""

import heapq
import http.client
import itertools
import json
import os
import random
import selectors
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import zlib

import wire
from ends import Client, Host
from store import Store

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "arbutusd")
TICK_S = 0.005
PROBE_S = 0.5
HEARTBEAT_S = 1.2
SILENT_HEARTBEATS = 3
RESTART_S = 0.55

DRAIN_S = 3.0
CONFIG_APPLY_S = 3.0
STABILITY_S = 4.0
MAX_RUN_S = 110


class CannotRun(Exception):
    """The case couldn't run; the exit code is 2."""


class Ports:
    def __init__(self):
        base = random.randrange(20000, 30000, 20)
        self.udp, self.ready, self.control = base, base + 1, base + 2
        self.app, self.outbound, self.store = base + 3, base + 4, base + 5
        self.internal = [base + 6, base + 16]


class Machine:
    """One process of the system, with its settings file."""

    def __init__(self, world, name, zone, ip, fields):
        self.world, self.name, self.zone, self.ip = world, name, zone, ip
        self.process = None
        self.log = open(os.path.join(world.folder, name + ".log"), "ab")
        self.file = os.path.join(world.folder, name + ".json")
        p = world.ports
        settings = {
            "NodeName": name, "Ip": ip, "Zone": zone, "Region": "rs-sul",
            "Zones": {z: "rs-sul" for z in world.zones},
            "Listen": {"UdpListen": f"{ip}:{p.udp}", "Ready": f"{ip}:{p.ready}"},
            "InternalPorts": p.internal,
            "Bootstrap": True, "CountsTowardFaults": False,
            "Limits": {"CpuShare": 0.25, "Cores": 1, "MemoryMb": 260,
                       "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
            "DataDir": None, "Discovery": "platform", "Entry": "announce",
            "HeartbeatMs": int(HEARTBEAT_S * 1000),
            "Contracts": ["base", "drain", "config", "cost", "recover", "flows",
                          "platform"],
            "FaultTolerance": {"Machines": 2, "Zones": 0, "Regions": 0},
            "Bounds": {"SeedLagS": 3, "ReuseAfterS": 2,
                       "StabilityWindowMs": 4000, "AckMs": 5000, "CatchUpS": 4,
                       "DrainMs": 3000, "GraceS": 6, "LossSlackMs": 200,
                       "ConfigApplyMs": 3000, "DowngradeSlackMs": 250,
                       "MaxStretchMs": 12000, "RecoverS": 12, "FlowMs": 2000,
                       "FlowMaxS": 60},
            "Hash": "mod", "ForwardingMode": "agent"}
        settings["Listen"].update(fields.pop("Listen"))
        settings.update(fields)
        self.settings = settings

    def start(self):
        self.settings["Seeds"] = [f"{m.ip}:{self.world.ports.control}"
                                  for m in self.world.entries[:3]]
        with open(self.file, "w") as out:
            json.dump(self.settings, out, indent=1)
        # The commands of deploy/system.toml: the program, the settings file.
        self.process = subprocess.Popen(
            [PROGRAM], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=self.log,
            stderr=self.log,
            env={"PATH": os.environ.get("PATH", ""), "HOME": "/tmp",
                 "LANG": "C", "ARBUTUSPORT_NODE_FILE": self.file})
        self.world.record(f"process {self.name} started")

    def signal(self, number):
        self.world.record(f"process {self.name} gets "
                          f"{signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def has_ended(self):
        return self.process.poll() is not None


class Routers:
    """The platform's routers: readiness probes, and a hash over the nodes in
    rotation of the client's zone (`mod`)."""

    def __init__(self, world):
        self.world = world
        self.misses = {}
        self.next_probe = {}
        for machine in world.entries:
            self.misses[machine] = 2
            threading.Thread(target=self._probe, args=(machine,),
                             daemon=True).start()

    def _is_ready(self, machine):
        try:
            connection = http.client.HTTPConnection(
                machine.ip, self.world.ports.ready, timeout=0.45)
            connection.request("GET", "/arbutusport/readiness")
            ready = connection.getresponse().status == 200
            connection.close()
            return ready
        except (OSError, http.client.HTTPException):
            return False

    def _probe(self, machine):
        while True:
            began = time.monotonic()
            self.next_probe[machine] = began + PROBE_S
            was = self.in_rotation(machine)
            self.misses[machine] = (0 if self._is_ready(machine) else
                                    self.misses[machine] + 1)
            if self.in_rotation(machine) != was:
                self.world.record(f"routers: {machine.name} " +
                                  ("out of" if was else "in") + " rotation")
            time.sleep(max(0.0, began + PROBE_S - time.monotonic()))

    def in_rotation(self, machine):
        return self.misses[machine] < 2

    def choose(self, zone, key):
        own = [m for m in self.world.entries if m.zone == zone]
        ready = [m for m in own if self.in_rotation(m)]
        if ready and 2 * len(ready) < len(own):
            ready = own
        if not ready:
            ready = [m for m in self.world.entries if self.in_rotation(m)]
        if not ready:
            return None
        return ready[zlib.crc32(repr(key).encode()) % len(ready)].ip


class World:
    def __init__(self, record_file, zones, trouble, tries=5):
        self.trouble = trouble
        self.started = time.monotonic()
        self.record_lock = threading.Lock()
        self.record_out = open(record_file, "w")
        self.violations = []
        self.zones = list(zones)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.ports = Ports()
        self.timers, self.counter = [], itertools.count()
        self.selector = selectors.DefaultSelector()
        self.wake_in, self.wake_out = socket.socketpair()
        self.wake_in.setblocking(False)
        self.selector.register(self.wake_in, selectors.EVENT_READ,
                               lambda now: self.wake_in.recv(4096))
        self.labels = {}
        self.hosts, self.entries, self.sides = {}, [], {}
        self.clients = []
        self.addresses = itertools.count(1)
        self.config = None
        self.on_system_reset_hook = None
        self.on_took_hook = None
        self.on_run_hook = None
        self.on_opened_hook = None
        self.runs = {}
        # The host that took the opening packet of a flow last.
        self.takers = {}
        self.stop_request = False
        self.network = self._free_network(tries)
        self.store = Store(self.record)
        self.routers = None
        self.record(f"TROUBLE={int(trouble)}")
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        signal.signal(signal.SIGALRM, self._too_long)
        signal.alarm(MAX_RUN_S)

    def _too_long(self, *_):
        raise CannotRun("the case took too long")

    def _free_network(self, tries):
        for _ in range(tries):
            network = f"127.{random.randrange(64, 120)}.{random.randrange(256)}"
            try:
                with socket.socket() as probe:
                    probe.bind((network + ".1", self.ports.ready))
                return network
            except OSError:
                continue
        raise CannotRun("no free loopback network")

    # What happened.

    def now(self):
        return time.monotonic()

    def record(self, text):
        with self.record_lock:
            self.record_out.write(f"{self.now() - self.started:9.4f} {text}\n")
            self.record_out.flush()

    def broken(self, rule, text):
        self.violations.append((rule, text))
        self.record(f"BROKEN {rule}: {text}")

    def label_flow(self, key, name):
        self.labels[key] = name

    def label(self, key):
        return self.labels.get(key, str(key))

    # Events of the ends.

    def on_host_took(self, host, key, packet, now):
        self.record(f"host {host.name} took the opening packet of "
                    f"{self.label(key)}")
        self.takers[key] = host
        if self.on_took_hook:
            self.on_took_hook(host, key, now)

    def taker_ip(self, key):
        return self.takers[key].ip if key in self.takers else None

    def on_bounced(self, host, key, now):
        self.record(f"host {host.name} bounced a packet of {self.label(key)}")

    def on_host_packet(self, host, key, now):
        pass

    def on_run(self, host, key, request, now):
        self.record(f"host {host.name} runs {request}")
        self.runs.setdefault(request, []).append((host, now))
        if self.on_run_hook:
            self.on_run_hook(host, key, request, now)

    def on_opened(self, flow, now):
        if self.on_opened_hook:
            self.on_opened_hook(flow, now)

    def on_client_packet(self, flow, entry, flags):
        self.record(f"packet of {flow.name} (flags {flags}) goes to "
                    f"{self.name_of(entry)}")

    def on_system_reset(self, flow, packet, now):
        self.record(f"client got a reset of the system for {flow.name}, "
                    f"state {flow.state}")
        if self.on_system_reset_hook:
            self.on_system_reset_hook(flow, packet, now)

    def name_of(self, ip):
        for machine in self.entries:
            if machine.ip == ip:
                return machine.name
        return ip

    # The loop of the ends.

    def add_reader(self, sock, handle):
        self.call(lambda now: self.selector.register(
            sock, selectors.EVENT_READ, handle))

    def remove_reader(self, sock):
        try:
            self.selector.unregister(sock)
        except (KeyError, ValueError):
            pass

    def at(self, when, action):
        heapq.heappush(self.timers, (when, next(self.counter), action))
        self.wake_out.send(b".")

    def call(self, action):
        """Runs the action on the loop's thread."""
        self.at(0.0, action)

    def do(self, action):
        """Runs the action on the loop's thread and returns its result."""
        done = threading.Event()
        out = []

        def run(now):
            try:
                out.append(action(now))
            finally:
                done.set()
        self.call(run)
        done.wait(10)
        if not out:
            raise CannotRun("an action of the script failed")
        return out[0]

    def _loop(self):
        next_tick = self.now()
        while not self.stop_request:
            for ready, _ in self.selector.select(TICK_S):
                ready.data(self.now())
            now = self.now()
            while self.timers and self.timers[0][0] <= now:
                heapq.heappop(self.timers)[2](now)
            if now >= next_tick:
                next_tick = now + TICK_S
                for host in list(self.hosts.values()):
                    if host.alive:
                        host.tick(now)
                for client in self.clients:
                    client.tick(now)

    # The deployment.

    def new_ip(self):
        return f"{self.network}.{next(self.addresses)}"

    def add_entry(self, name, zone):
        ip = self.new_ip()
        link = (self.new_ip(), self.ports.store)
        self.store.add_link(name, link)
        machine = Machine(self, name, zone, ip, {
            "Role": "entry", "MachineClass": "edge",
            "Serves": ["edge", "control_plane"],
            "Listen": {"Control": f"{ip}:{self.ports.control}"},
            "platform": {"Address": f"{link[0]}:{link[1]}",
                         "ForwardingMode": "read", "WritesPerS": 400,
                         "ReadsPerS": 2000, "HistoryS": 20,
                         "ValueBytes": 1048576, "TtlMinMs": 1000}})
        self.entries.append(machine)
        return machine

    def add_side(self, name, zone, service, ip=None):
        ip = ip or self.new_ip()
        machine = Machine(self, name, zone, ip, {
            "Role": "host", "MachineClass": "side", "Serves": ["side"],
            "Listen": {"outbound": f"{ip}:{self.ports.outbound}"},
            "app": f"{ip}:{self.ports.app}", "Service": service})
        self.sides[name] = machine
        return machine

    def boot_host(self, name, machine, service, work_s=0.015):
        host = Host(self, name, service, machine.ip, self.ports.app,
                    self.ports.outbound, work_s=work_s)
        host.zone, host.machine = machine.zone, machine
        # Where others reach the machine; a proxy may stand there.
        host.public_ip = machine.ip
        host.born = int(time.time() * 1000)
        host.seq_number = 0
        host.registered = False
        host.drain_acknowledged_at = None
        self.hosts[name] = host
        return host

    def entry_of(self, host):
        return {"Service": host.service,
                "Address": f"{host.public_ip}:{self.ports.app}",
                "Zone": host.zone,
                "Version": "v1", "Slots": host.slots, "State": host.state,
                "WarmupLeftMs": 0, "Seq": host.seq_number, "born": host.born}

    def register(self, host):
        host.registered = True
        self.store.put("servers/" + host.name, self.entry_of(host))

    def drain(self, host):
        """Returns when the store has acknowledged that the host drains."""
        host.state = "draining"
        self.register(host)
        host.drain_acknowledged_at = self.now()

    def write_config(self, routes, idle_ms=15000):
        version = (self.config or {"Version": 1})["Version"] + 3
        self.config = {
            "Version": version, "Routes": routes,
            "Services": [{"Name": s, "HealthCheck": "/health"} for s in
                         sorted({h.service for h in self.hosts.values()})],
            "Limits": {"IdleTimeoutMs": idle_ms}}
        self.store.put("op/config", self.config)
        return self.now()

    def route(self, name, host, port, service, kind="idempotent"):
        return {"Name": name, "Host": host, "Prefix": f"/{port}/",
                "RouteType": kind, "TimeoutMs": 1000, "TargetLatencyMs": 120,
                "Priority": 2, "Service": service, "Attempts": 2}

    def add_client(self):
        client = Client(self, self.new_ip(), self.ports.udp)
        self.clients.append(client)
        return client

    def start(self, timeout=15.0):
        if not os.path.exists(PROGRAM):
            raise CannotRun("target/arbutusd is missing; run the build of "
                            "deploy/system.toml")
        threading.Thread(target=self._loop, daemon=True).start()
        for machine in self.entries + list(self.sides.values()):
            machine.start()
        self.routers = Routers(self)
        end = self.now() + timeout
        while not all(self.routers.in_rotation(m) for m in self.entries):
            if self.now() > end:
                raise CannotRun("not every entry became ready")
            time.sleep(0.05)

    def log_text(self, machine):
        with open(os.path.join(self.folder, machine.name + ".log"),
                  errors="replace") as text:
            return text.read()

    def reader_of(self, zone, timeout=6.0):
        """The entry of the zone that watches the store."""
        end = self.now() + timeout
        while self.now() < end:
            found = [m for m in self.entries
                     if m.zone == zone and m.name in self.store.watching]
            if len(found) == 1:
                return found[0]
            time.sleep(0.02)
        raise CannotRun(f"not exactly one entry of {zone} watches the store")

    def small_site(self, services=("participa", "acervo"), edges=(3, 2, 1)):
        """The machines of a small site: entries in 3 zones, and 10 hosts."""
        for zone, count in zip(self.zones, edges):
            for i in range(count):
                self.add_entry(f"edge-{zone}-{i + 1}", zone)
        places = [(self.zones[i], services[0]) for i in (0, 0, 0, 1, 1, 2, 2)]
        places += [(zone, services[1]) for zone in self.zones]
        for i, (zone, service) in enumerate(places):
            machine = self.add_side(f"side-{i + 1}", zone, service)
            self.boot_host(f"i-{i + 1}", machine, service)
        for host in self.hosts.values():
            self.register(host)

    def end(self):
        signal.alarm(0)
        self.stop_request = True
        for machine in self.entries + list(self.sides.values()):
            if machine.process and not machine.has_ended():
                machine.process.kill()
                machine.process.wait()
            machine.log.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(record_file, zones, play):
    """Runs `play(world)` and exits with the code that the issue names."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    world, code = None, 2
    try:
        world = World(record_file, zones, trouble)
        play(world)
        code = 1 if world.violations else 0
        world.record("rule broken" if code else "rule held")
    except Exception as error:  # the case couldn't run
        print(f"the case couldn't run: {error!r}", file=sys.stderr)
        if world:
            world.record(f"the case couldn't run: {error!r}")
    finally:
        if world:
            world.end()
    for rule, text in (world.violations if world else [])[:5]:
        print(f"BROKEN {rule}: {text}")
    print({0: "rule held", 1: "rule broken", 2: "couldn't run"}[code])
    sys.stdout.flush()
    os._exit(code)
