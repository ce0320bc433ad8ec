"""A proxy in front of the process beside one host. Entries reach this process
at the proxy's address, and it sees each entry at an alias address. `drops`
decides which messages to an entry are lost."""

import socket
import threading

from wire import ip_number

# The type byte of a load report, and the place of the host's state in it
# (packages/core/src/relay/messages.cpp).
LOAD_REPORT = 2
STATE_AT = 11
ALIVE, LISTENER_CLOSED, DEAD = 0, 1, 2


def state_of(datagram):
    """The host's state that a load report tells, or nothing."""
    if len(datagram) <= STATE_AT or datagram[0] != LOAD_REPORT:
        return None
    return datagram[STATE_AT]


class RelayProxy:
    def __init__(self, world, ip, process_ip):
        self.world, self.ip, self.process_ip = world, ip, process_ip
        self.drops = lambda entry, datagram: False
        ports = (world.ports.udp, world.ports.internal[0])
        aliases = {m.ip: world.new_ip() for m in world.entries}
        self.names = [(ip_number(alias).to_bytes(4, order),
                       ip_number(entry).to_bytes(4, order))
                      for entry, alias in aliases.items()
                      for order in ("little", "big")]
        for port in ports:
            front = self._bind(ip, port)
            backs = {e: self._bind(a, port) for e, a in aliases.items()}
            threading.Thread(target=self._to_process,
                             args=(front, backs, port), daemon=True).start()
            for entry, back in backs.items():
                threading.Thread(target=self._to_entry,
                                 args=(front, back, entry, port),
                                 daemon=True).start()

    @staticmethod
    def _bind(ip, port):
        out = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        out.bind((ip, port))
        return out

    def _to_process(self, front, backs, port):
        while True:
            datagram, sender = front.recvfrom(65536)
            if sender[0] in backs:
                backs[sender[0]].sendto(datagram, (self.process_ip, port))

    def _to_entry(self, front, back, entry, port):
        while True:
            datagram, sender = back.recvfrom(65536)
            if sender[0] != self.process_ip or self.drops(entry, datagram):
                continue
            if datagram[:1] == bytes([LOAD_REPORT]):
                # It lists entries, which the process knows by their aliases.
                for alias, name in self.names:
                    datagram = datagram.replace(alias, name)
            front.sendto(datagram, (entry, port))
