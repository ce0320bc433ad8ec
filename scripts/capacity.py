#!/usr/bin/env python3
"""Works docs/CAPACITY.md out from docs/measurements/bench.txt.

  scripts/capacity.py            writes the page
  scripts/capacity.py --check    exits 1 if the page is not up to date, or if
                                 the figures were measured on other sources
  scripts/capacity.py --sources  prints the digest of the measured sources

The input holds the output of scripts/bench.sh, one figure a line, below
comment lines that name the command, the commit, the sources' digest, the cores
and the load.
"""

import hashlib
import pathlib
import sys

from capacity_figures import Figures, number, table, total
from capacity_target import (
    BYTES_LIMIT, CALLS_LIMIT, CHANGES_A_DAY, CPU_LIMIT, DATA_CENTRES, DAY,
    ENTRIES, FAILURES_A_DAY, FLOWS, HOSTS, HOSTS_A_SERVICE, MEMBERS,
    MEMORY_LIMIT, NEW_FLOWS, READERS_A_DATA_CENTRE, REGIONS, RESTARTS_A_DAY,
    ROUNDS, SERVICES, TICKS, WATCH_S)

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOURCE = ROOT / "docs/measurements/bench.txt"
PAGE = ROOT / "docs/CAPACITY.md"
# Control code and the programs that measure it. The relay for flows that are
# only carried is measured on the users' platform instead.
MEASURED = ("packages/core/src", "packages/core/include", "packages/arbutusd",
            "packages/testing/src/emulator")


def sources_digest():
    """Alike for alike sources, whatever the commit."""
    digest = hashlib.sha256()
    files = [it for folder in MEASURED for it in (ROOT / folder).rglob("*.?pp")
             if not it.name.endswith("_test.cpp") and "relay" not in it.as_posix()]
    for it in sorted(files):
        digest.update(it.relative_to(ROOT).as_posix().encode() + b"\0")
        digest.update(it.read_bytes() + b"\0")
    return digest.hexdigest()[:16]


def stale_runs(runs):
    """Runs whose sources are not those of this checkout."""
    here = "sources=" + sources_digest()
    return [it for it in runs if "command=" in it and here not in it]


class Page:
    def __init__(self, figures):
        self.f = figures
        self.bytes = {"entry": [], "host": []}
        self.cpu = {"entry": [], "host": []}
        self.memory = {"entry": [], "host": []}

    def at_target(self, name, **sizes):
        return self.f.value(name, services=SERVICES, **sizes)

    def scaled(self, value, factor):
        return None if value is None else value * factor

    def add(self, kind, roles, label, value, mechanism, source):
        for role in roles:
            getattr(self, kind)[role].append((label, value, mechanism, source))

    def by_members(self, name, **sizes):
        """The value at the greatest measured fleet, and its size."""
        row = self.f.largest(name, "members", **sizes)
        return (float(row["value"]), row["members"]) if row else (None, "none")

    def collect_bytes(self):
        both, host = ("entry", "host"), ("host",)
        for figure, label, mechanism in (
                ("probe_bytes_per_s", "probes at rest",
                 "one probe a second and member (4.4)"),
                ("sync_bytes_per_s", "gossip rounds at rest",
                 "one push-pull round a second (4.1)")):
            value, n = self.by_members(figure)
            self.add("bytes", both, label, value, mechanism,
                     f"`{figure}` members={n}")
        value, n = self.by_members("change_bytes")
        self.add("bytes", both, "configuration changes",
                 self.scaled(value, CHANGES_A_DAY / DAY),
                 "delta of the changed record (4.1)",
                 f"`change_bytes` members={n} x {CHANGES_A_DAY} a day")
        for figure, label, events in (
                ("failure_bytes", "news of failures",
                 FAILURES_A_DAY + RESTARTS_A_DAY),
                ("replacement_bytes", "news of replacements",
                 FAILURES_A_DAY + RESTARTS_A_DAY)):
            value, n = self.by_members(figure)
            self.add("bytes", both, label, self.scaled(value, events / DAY),
                     "events piggybacked on probes (4.4)",
                     f"`{figure}` members={n} x {events} a day")
        self.add("bytes", both, "full sets after restarts",
                 self.scaled(self.at_target("published_bytes"),
                             2 * (FAILURES_A_DAY + RESTARTS_A_DAY)
                             / MEMBERS / DAY),
                 "a fresh process pulls the set from a peer (4.1)",
                 f"`published_bytes` hosts={HOSTS}, sent and received, mean "
                 "over the fleet")
        self.add("bytes", ("entry",), "list of instances, readers only",
                 self.scaled(self.at_target("instance_list_bytes"),
                             1 / self.interval()),
                 "3 readers of a data centre read the whole list (4.1)",
                 f"`instance_list_bytes` instances={MEMBERS}, "
                 f"each {self.interval():g} s")
        self.add("bytes", host, "ownership queries",
                 self.scaled(self.f.value("flow_open_bytes_sent", hosts=14),
                             2 * NEW_FLOWS / HOSTS),
                 "cover query before a flow opens (4.3)",
                 f"`flow_open_bytes_sent` hosts=14 x 2 directions x "
                 f"{NEW_FLOWS / HOSTS:.1f} flows a second")
        changes = (CHANGES_A_DAY / SERVICES) / DAY
        self.add("bytes", host, "holder bitmaps, changes of hosts",
                 self.scaled(self.f.value("holders_bytes_per_host_change",
                                          hosts=14), changes),
                 "bitmap to each peer of the service (4.3)",
                 "`holders_bytes_per_host_change` hosts=14, if every change "
                 "concerned hosts")
        restarts = RESTARTS_A_DAY / SERVICES / DAY
        self.add("bytes", host, "holder bitmaps, restarts of peers",
                 self.scaled(self.f.value("holders_bytes_per_restart",
                                          hosts=14), restarts / 13),
                 "bitmap to and from the restarted host (4.3)",
                 "`holders_bytes_per_restart` hosts=14, one of its 13 peers")

    def interval(self):
        rows = self.f.all("instance_list_bytes")
        return float(rows[0]["interval_s"]) if rows else 10

    def collect_cpu(self):
        both = ("entry", "host")
        per_second = 1 / 1e6 * 100  # us a second -> percent of a core
        for role in both:
            self.add("cpu", (role,), "idle process of a fleet of 13",
                     self.f.value("idle_cpu_percent", role=role),
                     "threads, timers, sockets and HTTP of the process",
                     f"`idle_cpu_percent` role={role}")
        self.add("cpu", both, "member table",
                 self.scaled(self.at_target("member_tick_us"),
                             TICKS * per_second),
                 "each tick visits every member (4.4)",
                 f"`member_tick_us` hosts={HOSTS} x {TICKS} ticks a second")
        self.add("cpu", both, "gossip rounds",
                 self.scaled(self.at_target("sync_round_us"),
                             2 * ROUNDS * per_second),
                 "one round asked, one answered a second (4.1)",
                 f"`sync_round_us` hosts={HOSTS} x 2")
        self.add("cpu", both, "changes: delta and snapshot",
                 self.scaled(self.at_target("delta_adoption_us"),
                             CHANGES_A_DAY / DAY * per_second),
                 "the whole snapshot is built anew (4.1)",
                 f"`delta_adoption_us` hosts={HOSTS} x {CHANGES_A_DAY} a day")
        self.add("cpu", ("entry",), "changes: slot table of one service",
                 self.scaled(self.at_target("slot_tables_build_us",
                                            change="one_host"),
                             CHANGES_A_DAY / DAY * per_second),
                 "only changed services are ranked anew (4.2)",
                 f"`slot_tables_build_us` change=one_host x {CHANGES_A_DAY} "
                 "a day")
        self.add("cpu", both, "status",
                 self.scaled(self.at_target("member_list_us"), per_second),
                 "members are counted by state each second",
                 f"`member_list_us` hosts={HOSTS}")
        self.add("cpu", ("entry",), "list of instances, readers only",
                 self.scaled(self.at_target("instance_list_us"),
                             per_second / self.interval()),
                 "the whole list is parsed",
                 f"`instance_list_us` instances={MEMBERS}, "
                 f"each {self.interval():g} s")
        self.add("cpu", ("host",), "ownership queries",
                 self.scaled(self.f.value("flow_open_us", hosts=14),
                             NEW_FLOWS / HOSTS * per_second),
                 "all hosts' work for a flow, codec included (4.3)",
                 f"`flow_open_us` hosts=14 x {NEW_FLOWS / HOSTS:.1f} "
                 "flows a second; system calls not included")

    def collect_memory(self):
        for role in ("entry", "host"):
            self.add("memory", (role,), "idle process of a fleet of 13",
                     self.f.value("idle_resident_bytes", role=role),
                     "program, libraries, threads, small tables",
                     f"`idle_resident_bytes` role={role}")
        both = ("entry", "host")
        self.add("memory", both, "snapshots, old and new",
                 self.scaled(self.at_target("snapshot_bytes"), 2),
                 "both exist while a change is adopted (4.1)",
                 f"`snapshot_bytes` hosts={HOSTS} x 2")
        self.add("memory", both, "member table",
                 self.at_target("member_table_bytes"), "one entry a process",
                 f"`member_table_bytes` hosts={HOSTS}")
        self.add("memory", ("entry",), "slot tables",
                 self.at_target("slot_tables_bytes"),
                 "4,096 slots x 4 ranks x 2 B a service (4.2)",
                 f"`slot_tables_bytes` services={SERVICES}")
        self.add("memory", ("host",), "slot table, covers and bitmaps",
                 self.at_target("flow_tables_bytes"),
                 "512 B a peer of the service (4.3)",
                 f"`flow_tables_bytes` services={SERVICES}")

    def role_section(self, role):
        out = f"## Role {role}\n\n"
        for kind, unit, limit in (("bytes", "B/s", BYTES_LIMIT),
                                  ("cpu", "% of a core", CPU_LIMIT),
                                  ("memory", "B", MEMORY_LIMIT)):
            rows = getattr(self, kind)[role]
            spent = total(rows)
            missing = [row[0] for row in rows if row[1] is None]
            out += table(["control " + kind, unit, "mechanism", "slope"],
                         [(r[0], number(r[1]), r[2], r[3]) for r in rows])
            verdict = "met" if spent <= limit else "**not met**"
            out += (f"\nSum {number(spent)} {unit} of {number(limit)}: "
                    f"{verdict}, {100 * spent / limit:.0f}% of the limit.")
            if missing:
                out += " Not measured: " + ", ".join(missing) + "."
            out += "\n\n"
        return out + self.messages(role) + self.state(role)

    def messages(self, role):
        probes, n = self.by_members("probe_messages_per_s")
        sync, m = self.by_members("sync_messages_per_s")
        rows = [("probe, probe_ack, probe_request", number(probes),
                 f"`probe_messages_per_s` members={n}"),
                ("sync", number(sync), f"`sync_messages_per_s` members={m}")]
        if role == "entry":
            rows.append(("instance list reads, readers only",
                         number(1 / self.interval()),
                         "`instance_list_bytes` interval_s"))
        if role == "host":
            opened = self.f.value("flow_open_messages_sent", hosts=14)
            rows.append(("query, query_reply, place",
                         number(self.scaled(opened, 2 * NEW_FLOWS / HOSTS)),
                         "`flow_open_messages_sent` hosts=14, both directions"))
        return table(["control messages", "a second", "slope"], rows) + "\n"

    def state(self, role):
        if role == "entry":
            hint = self.f.largest("bytes_per_flow", "flows", role="entry")
            each = float(hint["value"]) if hint else None
            rows = [("hints, at most 500,000",
                     number(self.scaled(each, 500_000)), "B",
                     "`bytes_per_flow` role=entry")]
            mean = FLOWS / ENTRIES
            extra = (f"{FLOWS:,} flows are {mean:,.0f} an entry if each has a "
                     "hint at one entry. A flow whose packets are sprayed may "
                     "have one at every entry; the bound above then applies.")
        else:
            flow = self.f.largest("bytes_per_flow", "flows", role="host")
            session = self.f.largest("bytes_per_session", "sessions")
            mean = FLOWS / HOSTS
            rows = [(f"flows, {mean:,.0f} a host",
                     number(self.scaled(float(flow["value"]) if flow else None,
                                        mean)), "B",
                     "`bytes_per_flow` role=host"),
                    (f"sessions, {mean:,.0f} a host",
                     number(self.scaled(
                         float(session["value"]) if session else None, mean)),
                     "B", "`bytes_per_session`")]
            extra = "A flow and a session exist once, at one host."
        return ("Forwarding of clients' data, apart from control:\n\n"
                + table(["state", "value", "unit", "slope"], rows)
                + "\n" + extra + "\n\n" + self.forwarding(role))

    def forwarding(self, role):
        if role == "entry":
            rate = self.f.value("entry_packets_per_s")
            return (f"One core forwards {number(rate)} packets a second "
                    "(`entry_packets_per_s`). The packets a second of the "
                    "target are not stated, so no load follows from it.\n\n")
        row = self.f.largest("broker_us_per_request", "sessions")
        cost = float(row["value"]) if row else None
        return (f"A request takes {number(cost)} us of the broker "
                "(`broker_us_per_request`). The requests a second of the "
                "target are not stated, so no load follows from it.\n\n")

    def platform(self):
        readers = DATA_CENTRES * READERS_A_DATA_CENTRE
        change = self.f.largest("change_calls", "members")
        calls = float(change["value"]) / 9 * readers if change else None
        lists = readers / self.interval()
        rows = [("waiting watches", number(readers / WATCH_S),
                 f"{readers} readers, 30 s each (4.1)",
                 "`watch_calls_per_s`: "
                 + number(self.by_members("watch_calls_per_s")[0])
                 + " with 9 readers"),
                ("reads after changes",
                 number(self.scaled(calls, CHANGES_A_DAY / DAY)),
                 f"{readers} readers (4.1)",
                 "`change_calls` / 9 readers x 24 readers"),
                ("lists of instances", number(lists),
                 f"{readers} readers, each {self.interval():g} s",
                 "`instance_list_bytes` interval_s")]
        spent = readers / WATCH_S + lists
        spent += self.scaled(calls, CHANGES_A_DAY / DAY) or 0
        return ("## The platform's configuration service\n\n"
                + table(["calls", "a second", "mechanism", "slope"], rows)
                + f"\nSum {number(spent)} of {CALLS_LIMIT:,} calls a second: "
                  f"{100 * spent / CALLS_LIMIT:.0f}% of the limit. "
                  "Calls grow with the data centres, not with the fleet.\n\n")

    def in_force(self):
        rounds = self.f.value("config_spread_rounds_extrapolated")
        reader = self.f.value("config_in_force_s")
        return ("## Time until a change is in force\n\n"
                f"{number(rounds)} s after the first process, of 19 s: "
                "gossip rounds of one second with a push to 3 peers "
                "(`config_spread_rounds_extrapolated`, from 64, 256 and 1,024 "
                f"members to {MEMBERS:,}). With 13 processes and the platform "
                f"down in one data centre it took {number(reader)} s "
                "(`config_in_force_s`). Delays are virtual; the time in which "
                "a loaded process handles a message is not in it.\n\n")

    def first_limit(self):
        """Sizes at which a limit is met, if hosts and flows grow alike."""
        found = []
        for role in ("entry", "host"):
            for kind, limit in (("bytes", BYTES_LIMIT), ("cpu", CPU_LIMIT),
                                ("memory", MEMORY_LIMIT)):
                rows = getattr(self, kind)[role]
                # What grows with the fleet at constant flows a host.
                growing = sum(r[1] for r in rows if r[1] is not None and
                              any(w in r[0] for w in
                                  ("list of instances", "member table",
                                   "status", "snapshot", "slot tables",
                                   "changes: delta")))
                fixed = total(rows) - growing
                size = ((limit - fixed) / growing * MEMBERS if growing else
                        float("inf"))
                found.append((size, f"{kind} of role {role}"))
        found.sort()
        rows = [(name, "does not depend on it" if size == float("inf") else
                 f"{size:,.0f}" if size > 0 else "at any size")
                for size, name in found]
        return ("## Which limit is met first\n\n"
                f"First: **{found[0][1]}**. The size is the number of "
                "processes at which the limit is met if flows a host, hosts a "
                "service and changes stay those of the target.\n\n"
                + table(["limit", "processes"], rows)
                + self.flow_rate_limit() + "\n")

    def flow_rate_limit(self):
        per_flow = self.f.value("flow_open_bytes_sent", hosts=14)
        if per_flow is None:
            return ""
        queries = [r for r in self.bytes["host"] if r[0] == "ownership queries"]
        rest = BYTES_LIMIT - (total(self.bytes["host"]) - total(queries))
        rate = rest / (2 * per_flow)
        return (f"\nAt {MEMBERS:,} processes a host meets the limit at "
                f"{rate:.1f} new flows a second, {rate * HOSTS:,.0f} in all; "
                f"the target is {NEW_FLOWS / HOSTS:.1f} and {NEW_FLOWS:,}.\n")

    def failures(self):
        isolated, n = self.by_members("isolation_bytes_per_s",
                                      window_s="settled")
        starts = self.f.all("isolation_bytes_per_s", window_s="0..60")
        early = max(starts, key=lambda r: int(r["members"])) if starts else None
        rejoin, r = self.by_members("rejoin_bytes_per_s")
        calls = self.f.largest("data_centre_restart_calls", "members")
        link = self.f.all("link_return_s")
        lost = FLOWS / DATA_CENTRES
        reopened = lost / (HOSTS - HOSTS / DATA_CENTRES)
        per_flow = self.f.value("flow_open_bytes_sent", hosts=14)
        messages = self.f.value("flow_open_messages_sent", hosts=14)
        us = self.f.value("flow_open_us", hosts=14)
        out = "## The day when a data centre is lost\n\n"
        out += (f"With hosts and flows spread evenly, {lost:,.0f} flows of "
                f"{HOSTS // DATA_CENTRES} hosts end and re-open at the other "
                f"{HOSTS - HOSTS // DATA_CENTRES}: {reopened:.0f} a host.\n\n")
        out += table(["quantity", "value", "slope"], [
            ("ownership messages, all hosts",
             number(self.scaled(messages, lost)),
             "`flow_open_messages_sent` hosts=14"),
            ("ownership bytes a host, both directions",
             number(self.scaled(per_flow, 2 * reopened)) + " B",
             "`flow_open_bytes_sent` hosts=14"),
            ("processor time a host", number(self.scaled(us, reopened / 1e6))
             + " s", "`flow_open_us` hosts=14"),
            ("probe traffic in the first minute",
             (number(float(early["value"])) if early else "not measured")
             + " B/s", "`isolation_bytes_per_s` 1 of 3 data centres, members="
             + (early["members"] if early else "none")),
            ("probe traffic later", number(isolated) + " B/s",
             f"`isolation_bytes_per_s` window_s=settled members={n}"),
            ("membership events", f"{MEMBERS // DATA_CENTRES}",
             "one a process of the data centre; not measured at this size"),
            ("bytes that each process pulls when it starts again",
             number(self.at_target("published_bytes")) + " B",
             f"`published_bytes` hosts={HOSTS}"),
            ("calls of the platform when it starts again",
             number(self.per_restarted(calls, "value")),
             "`data_centre_restart_calls` by restarted process, members="
             + (calls["members"] if calls else "none")),
            ("the same in the busiest second, of 2,000",
             number(self.per_restarted(calls, "peak_per_s")),
             "`data_centre_restart_calls` peak_per_s, likewise"),
        ])
        start = self.f.largest("start_calls", "members")
        if start:
            peak = float(start["peak_per_s"]) / float(start["members"])
            calls_then = peak * MEMBERS
            relation = "above" if calls_then > CALLS_LIMIT else "within"
            out += (f"\nIf all {MEMBERS:,} processes started at once, the "
                    f"busiest second would have about {calls_then:,.0f} "
                    f"calls, {relation} the {CALLS_LIMIT:,} allowed "
                    "(`start_calls` peak_per_s, "
                    f"{float(start['peak_per_s']):.0f} at {start['members']} "
                    "members, scaled by the number of members). What happens "
                    "at a platform that is over its limit is not measured."
                    "\n")
        out += ("\nThe time in which the flows re-open depends on the "
                "clients' retransmissions, which are not measured. A host "
                "holds 1,024 packets at once and refuses more (held_full).\n\n")
        out += "## An hour without a region's link\n\n"
        missed = CHANGES_A_DAY / 24
        out += (f"The region misses {missed:.0f} changes and serves the last "
                "good generation. Flows of hosts beyond the cut are not "
                "reachable and re-open on the client's side of it.\n\n")
        if link:
            out += table(["quantity", "value", "slope"], [
                ("time until the newest generation is in force everywhere",
                 number(float(link[0]["value"])) + " s",
                 "`link_return_s` members=256, 39 changes missed"),
                ("sync bytes a process meanwhile",
                 number(float(link[0]["bytes_per_member"])) + " B",
                 "`link_return_s` bytes_per_member"),
                ("probe traffic in the minute after",
                 number(rejoin) + " B/s", f"`rejoin_bytes_per_s` members={r}")])
        else:
            out += ("The return of the link is not measured "
                    "(`link_return_s`).\n")
        return out + "\n"

    def per_restarted(self, row, key):
        """A third of the measured fleet restarted; an eighth does here."""
        if row is None:
            return None
        return float(row[key]) / (float(row["members"]) / 3) * (
            MEMBERS / DATA_CENTRES)

    def extrapolation(self):
        rows = []
        for name in ("probe_bytes_per_s", "sync_bytes_per_s", "change_bytes",
                     "failure_bytes", "replacement_bytes",
                     "isolation_bytes_per_s", "rejoin_bytes_per_s",
                     "start_calls", "data_centre_restart_calls"):
            # The greatest where a figure has several windows.
            by_size = {}
            for r in self.f.all(name):
                n, v = int(r["members"]), float(r["value"])
                by_size[n] = max(v, by_size.get(n, v))
            sizes = sorted(by_size.items())
            if sizes:
                rows.append((f"`{name}`", ", ".join(
                    f"{number(v)} at {n}" for n, v in sizes),
                    f"{MEMBERS / sizes[-1][0]:.1f} times"))
            else:
                rows.append((f"`{name}`", "not measured", "-"))
        return ("## What was extrapolated\n\n"
                f"The target has {MEMBERS:,} members. These figures were "
                "taken as constant beyond the greatest measured fleet; the "
                "values by size show how far that holds. Traffic in the first "
                "minute of a partition grows with the fleet, so it will be "
                "above the value used here.\n\n"
                + table(["figure", "by members", "beyond the measured size"],
                        rows)
                + f"\nFigures with services={SERVICES} were measured at the "
                  "target's size, with peers that exist only as records. "
                  f"`flow_open_*` and `holders_*` were measured with 14 hosts; "
                  f"the target has {HOSTS_A_SERVICE:.1f} hosts a service.\n\n"
                  "Not measured: headers of TCP, IP, nng and HTTP; processor "
                  "time in the kernel for ownership queries; a real process "
                  "with the target's records (its memory and idle processor "
                  "time are sums of a small process and the measured tables); "
                  "a fleet of 5,460 members; queries lost and repeated; the "
                  "history of generations kept for deltas; "
                  "a start of the whole fleet at once.\n")

    def text(self):
        self.collect_bytes()
        self.collect_cpu()
        self.collect_memory()
        runs = "\n".join("- " + run for run in self.f.runs)
        return (
            "# Capacity\n\n"
            "Written by `scripts/capacity.py` from "
            "`docs/measurements/bench.txt`; do not edit. Control means "
            "configuration, membership, ownership queries and holder bitmaps. "
            "Bytes count both directions.\n\n"
            f"Target: {ENTRIES} entries before {HOSTS:,} hosts behind "
            f"{SERVICES} addresses, {FLOWS:,} open flows, {NEW_FLOWS:,} new a "
            f"second, {REGIONS} regions, {DATA_CENTRES} data centres, "
            f"{CHANGES_A_DAY} changes a day, {FAILURES_A_DAY} failures and "
            f"{RESTARTS_A_DAY} restarts a day.\n\n"
            "Runs:\n\n" + runs + "\n\n"
            + self.role_section("entry") + self.role_section("host")
            + self.platform() + self.in_force() + self.first_limit() + self.failures()
            + self.extrapolation())


def main(arguments):
    if arguments not in ([], ["--check"], ["--sources"]):
        print(__doc__, file=sys.stderr)
        return 2
    if arguments == ["--sources"]:
        print(sources_digest())
        return 0
    figures = Figures(SOURCE.read_text())
    page = Page(figures).text()
    if not arguments:
        PAGE.write_text(page)
        return 0
    if not PAGE.exists() or PAGE.read_text() != page:
        print("docs/CAPACITY.md is not what scripts/capacity.py makes from "
              "docs/measurements/bench.txt", file=sys.stderr)
        return 1
    stale = stale_runs(figures.runs)
    for it in stale:
        print(f"docs/measurements/bench.txt: measured on other sources than "
              f"{sources_digest()}, measure again: {it}", file=sys.stderr)
    return 1 if stale else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
