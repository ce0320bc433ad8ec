"""The section of docs/CAPACITY.md on the relay, from a sweep of the users'
bench in docs/measurements/sweep.txt.

The first line of the file names the digest of the relay's sources and the
site; the rest is the table that `fleetbench sweep` printed.
"""

import hashlib
import re

from capacity_figures import markdown_table
from capacity_target import (
    CPU_LIMIT_PERCENT, MEMORY_LIMIT_BYTES, TRAFFIC_LIMIT_BYTES_PER_S)

# What carries each figure, and its limit at the target, in the row's unit.
ROWS = {
    "entry: kB a second": (
        "hellos to followed hosts, announcements of flows, deltas of the "
        "directory, and clients' data", TRAFFIC_LIMIT_BYTES_PER_S / 1000),
    "entry: processor %": (
        "packets, reports, selection of followed hosts", CPU_LIMIT_PERCENT),
    "entry: memory MB": (
        "hints, directory, host processes", MEMORY_LIMIT_BYTES / 1e6),
    "entry: wake-ups a second": ("timer of 10 ms, packets", None),
    "host: kB a second": (
        "reports, announcements of flows, and clients' data",
        TRAFFIC_LIMIT_BYTES_PER_S / 1000),
    "host: processor %": (
        "packets, reports", CPU_LIMIT_PERCENT),
    "host: memory MB": ("flow table", MEMORY_LIMIT_BYTES / 1e6),
    "host: wake-ups a second": ("timer of 50 ms, packets", None),
    "config in force, ms": (
        "watch of the reader, deltas; whole directory for new routes", 19000),
    "serving after all were killed, ms": (
        "one listing by each entry, owner searches", None),
}


def sources_digest(root):
    """Returns a digest of the relay's sources, independent of the commit."""
    digest = hashlib.sha256()
    paths = [path for folder in ("packages/core/src/relay",
                                 "packages/core/include/arbutusport/relay",
                                 "platform/src", "platform/include")
             for path in (root / folder).rglob("*.?pp")
             if not path.name.endswith("_test.cpp")]
    for path in sorted(paths):
        digest.update(path.relative_to(root).as_posix().encode() + b"\0")
        digest.update(path.read_bytes() + b"\0")
    return digest.hexdigest()[:16]


def is_stale(text, root):
    """Returns whether the sweep measured other sources than this checkout."""
    return "sources=" + sources_digest(root) not in text.splitlines()[0]


def parse_rows(text):
    """Returns the sizes and, by name, the cells of each row of the table."""
    sizes = []
    rows = {}
    for line in text.splitlines():
        heading = re.fullmatch(r"\s+((?:\d+\s+)+)power\s+at (\d+)", line)
        if heading:
            sizes = heading.group(1).split() + ["at " + heading.group(2)]
        cells = re.split(r"\s{2,}", line.strip())
        if sizes and cells[0] in ROWS and len(cells) == len(sizes) + 2:
            rows[cells[0]] = cells[1:]
    return sizes, rows


def section(text):
    sizes, rows = parse_rows(text)
    table = []
    for name, (mechanism, limit) in ROWS.items():
        if name not in rows:
            continue
        *values, power, at_target = rows[name]
        verdict = ""
        if limit is not None:
            met = float(at_target) <= limit
            verdict = f"{'met' if met else 'missed'} ({limit:g})"
        table.append([name, *values, power, at_target, verdict, mechanism])
    machines = [size + " machines" for size in sizes[:-1]]
    header = ["figure", *machines, "power", sizes[-1], "target", "carried by"]
    return (
        "## The relay on the users' platform\n\n"
        "From `docs/measurements/sweep.txt`, a sweep of the users' bench "
        f"({text.splitlines()[0].lstrip('# ')}). Middle / busiest process; "
        "the busiest grows as the number of machines to the given power. "
        "Bytes and processor time include clients' data, so a row that meets "
        "the target of control meets it with them; one that misses it may "
        "miss it because of them. The last column but two carries the power "
        "on and was not played. Ways and what is open: "
        "[scaling.md](scaling.md).\n\n"
        + markdown_table(header, table) + "\n\n")
