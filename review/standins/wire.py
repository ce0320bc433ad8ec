"""Packets between clients, entries and hosts, as PROTOCOL.md lays them out."""

import hashlib
import struct

SYN, ACK, FIN, RST, BOUNCED = 4, 128, 2, 16, 32
HEADER = struct.Struct(">I H I H I I I H I B 3s")
HEADER_BYTES = HEADER.size
MAX_DATA = 1200
MASK = 0xFFFFFFFF

assert HEADER_BYTES == 34

# Known to clients and hosts only.
_KEY = b"key of the clients and hosts of the review"


def ip_number(text):
    a, b, c, d = (int(part) for part in text.split("."))
    return a << 24 | b << 16 | c << 8 | d


def ip_text(number):
    return ".".join(str(number >> shift & 255) for shift in (24, 16, 8, 0))


class Packet:
    """One datagram. Addresses are numbers."""

    __slots__ = ("sport", "src", "dport", "dst", "seq", "ack", "echo", "flags",
                 "pad", "data", "sum")

    def __init__(self, src, sport, dst, dport, seq=0, ack=0, flags=0, data=b"",
                 echo=0, pad=b"\0\0\0", sum_=None):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.seq, self.ack, self.flags = seq & MASK, ack & MASK, flags
        self.data, self.echo, self.pad = data, echo, pad
        self.sum = self.keyed_sum() if sum_ is None else sum_

    def keyed_sum(self):
        """The sum over all fields except echo, pad and BOUNCED."""
        covered = HEADER.pack(0, self.sport, self.src, self.dport, self.dst,
                              self.seq, self.ack, len(self.data), 0,
                              self.flags & ~BOUNCED, b"\0\0\0") + self.data
        digest = hashlib.blake2b(covered, digest_size=4, key=_KEY).digest()
        return int.from_bytes(digest, "big")

    def encode(self):
        return HEADER.pack(self.sum, self.sport, self.src, self.dport, self.dst,
                           self.seq, self.ack, len(self.data), self.echo,
                           self.flags, self.pad) + self.data

    def is_genuine(self):
        return self.sum == self.keyed_sum()

    def is_system_reset(self):
        return bool(self.flags & RST) and self.sum == 0 and not self.data


def decode(datagram):
    """Returns nothing if the datagram is no packet."""
    if len(datagram) < HEADER_BYTES:
        return None
    (sum_, sport, src, dport, dst, seq, ack, length, echo, flags,
     pad) = HEADER.unpack_from(datagram)
    data = datagram[HEADER_BYTES:]
    if length != len(data) or length > MAX_DATA:
        return None
    return Packet(src, sport, dst, dport, seq, ack, flags, data, echo, pad,
                  sum_)
