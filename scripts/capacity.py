#!/usr/bin/env python3
"""Generates docs/CAPACITY.md from docs/measurements/bench.txt and sweep.txt.

  scripts/capacity.py            writes the page
  scripts/capacity.py --check    exits with 1 if the page is out of date or the
                                 figures were measured on other sources
  scripts/capacity.py --sources  prints the digest of the measured sources

The input is the output of scripts/bench.sh, one figure per line. Each run
starts with comment lines that name the command, the commit, the digest of the
sources, the cores and the load. The relay's section is described in
capacity_relay.py.
"""

import hashlib
import pathlib
import sys

import capacity_relay
from capacity_figures import (
    Figures, format_number, markdown_table, sum_values)
from capacity_target import (
    CHANGES_PER_DAY, CPU_LIMIT_PERCENT, DATA_CENTRES, ENTRIES,
    FAILURES_PER_DAY, FLOWS, GOSSIP_ROUNDS_PER_S, HOSTS, HOSTS_PER_SERVICE,
    MEMBERS, MEMORY_LIMIT_BYTES, NEW_FLOWS_PER_S, PLATFORM_CALLS_LIMIT_PER_S,
    READERS_PER_DATA_CENTRE, REGIONS, RESTARTS_PER_DAY, SECONDS_PER_DAY,
    SERVICES, TICKS_PER_S, TRAFFIC_LIMIT_BYTES_PER_S, WATCH_WAIT_S)

ROOT = pathlib.Path(__file__).resolve().parent.parent
MEASUREMENTS_FILE = ROOT / "docs/measurements/bench.txt"
SWEEP_FILE = ROOT / "docs/measurements/sweep.txt"
PAGE_FILE = ROOT / "docs/CAPACITY.md"
# Control code and the programs that measure it. The relay, which forwards
# flows without parsing them, is measured on the users' platform instead.
MEASURED_FOLDERS = ("packages/core/src", "packages/core/include",
                    "packages/arbutusd", "packages/testing/src/emulator")


def sources_digest():
    """Returns a digest of the measured sources, independent of the commit."""
    digest = hashlib.sha256()
    paths = [path for folder in MEASURED_FOLDERS
             for path in (ROOT / folder).rglob("*.?pp")
             if not path.name.endswith("_test.cpp")
             and "relay" not in path.as_posix()]
    for path in sorted(paths):
        digest.update(path.relative_to(ROOT).as_posix().encode() + b"\0")
        digest.update(path.read_bytes() + b"\0")
    return digest.hexdigest()[:16]


def stale_runs(runs):
    """Returns the runs that measured other sources than this checkout."""
    current_sources = "sources=" + sources_digest()
    return [run for run in runs
            if "command=" in run and current_sources not in run]


class Page:
    """Text of docs/CAPACITY.md, calculated from measured figures."""

    def __init__(self, figures):
        self.figures = figures
        self.bytes = {"entry": [], "host": []}
        self.cpu = {"entry": [], "host": []}
        self.memory = {"entry": [], "host": []}

    def at_target(self, name, **sizes):
        return self.figures.value(name, services=SERVICES, **sizes)

    def scaled(self, value, factor):
        return None if value is None else value * factor

    def add_row(self, kind, roles, label, value, mechanism, source):
        for role in roles:
            getattr(self, kind)[role].append((label, value, mechanism, source))

    def value_at_largest_fleet(self, name, **sizes):
        """Returns the value at the largest measured fleet and that size."""
        row = self.figures.largest_row(name, "members", **sizes)
        return (float(row["value"]), row["members"]) if row else (None, "none")

    def collect_bytes(self):
        both, host = ("entry", "host"), ("host",)
        for figure, label, mechanism in (
                ("probe_bytes_per_s", "probes at rest",
                 "one probe a second and member (4.4)"),
                ("sync_bytes_per_s", "gossip rounds at rest",
                 "one push-pull round a second (4.1)")):
            value, members = self.value_at_largest_fleet(figure)
            self.add_row("bytes", both, label, value, mechanism,
                         f"`{figure}` members={members}")
        value, members = self.value_at_largest_fleet("change_bytes")
        self.add_row("bytes", both, "configuration changes",
                     self.scaled(value, CHANGES_PER_DAY / SECONDS_PER_DAY),
                     "delta of the changed record (4.1)",
                     f"`change_bytes` members={members} x {CHANGES_PER_DAY} a "
                     "day")
        for figure, label, events in (
                ("failure_bytes", "news of failures",
                 FAILURES_PER_DAY + RESTARTS_PER_DAY),
                ("replacement_bytes", "news of replacements",
                 FAILURES_PER_DAY + RESTARTS_PER_DAY)):
            value, members = self.value_at_largest_fleet(figure)
            self.add_row("bytes", both, label,
                         self.scaled(value, events / SECONDS_PER_DAY),
                         "events piggybacked on probes (4.4)",
                         f"`{figure}` members={members} x {events} a day")
        self.add_row("bytes", both, "full sets after restarts",
                     self.scaled(self.at_target("published_bytes"),
                                 2 * (FAILURES_PER_DAY + RESTARTS_PER_DAY)
                                 / MEMBERS / SECONDS_PER_DAY),
                     "a fresh process pulls the set from a peer (4.1)",
                     f"`published_bytes` hosts={HOSTS}, sent and received, "
                     "mean over the fleet")
        self.add_row("bytes", ("entry",), "list of instances, readers only",
                     self.scaled(self.at_target("instance_list_bytes"),
                                 1 / self.instance_list_interval_s()),
                     "3 readers of a data centre read the whole list (4.1)",
                     f"`instance_list_bytes` instances={MEMBERS}, "
                     f"each {self.instance_list_interval_s():g} s")
        self.add_row("bytes", host, "ownership queries",
                     self.scaled(self.figures.value("flow_open_bytes_sent",
                                                    hosts=14),
                                 2 * NEW_FLOWS_PER_S / HOSTS),
                     "cover query before a flow opens (4.3)",
                     f"`flow_open_bytes_sent` hosts=14 x 2 directions x "
                     f"{NEW_FLOWS_PER_S / HOSTS:.1f} flows a second")
        changes_per_s = (CHANGES_PER_DAY / SERVICES) / SECONDS_PER_DAY
        self.add_row("bytes", host, "holder bitmaps, changes of hosts",
                     self.scaled(
                         self.figures.value("holders_bytes_per_host_change",
                                            hosts=14), changes_per_s),
                     "bitmap to each peer of the service (4.3)",
                     "`holders_bytes_per_host_change` hosts=14, if every "
                     "change concerned hosts")
        restarts_per_s = RESTARTS_PER_DAY / SERVICES / SECONDS_PER_DAY
        self.add_row("bytes", host, "holder bitmaps, restarts of peers",
                     self.scaled(
                         self.figures.value("holders_bytes_per_restart",
                                            hosts=14), restarts_per_s / 13),
                     "bitmap to and from the restarted host (4.3)",
                     "`holders_bytes_per_restart` hosts=14, one of its "
                     "13 peers")

    def instance_list_interval_s(self):
        rows = self.figures.matching_rows("instance_list_bytes")
        return float(rows[0]["interval_s"]) if rows else 10

    def collect_cpu(self):
        both = ("entry", "host")
        us_to_percent = 1 / 1e6 * 100  # us per second -> percent of a core
        for role in both:
            self.add_row("cpu", (role,), "idle process of a fleet of 13",
                         self.figures.value("idle_cpu_percent", role=role),
                         "threads, timers, sockets and HTTP of the process",
                         f"`idle_cpu_percent` role={role}")
        self.add_row("cpu", both, "member table",
                     self.scaled(self.at_target("member_tick_us"),
                                 TICKS_PER_S * us_to_percent),
                     "each tick visits every member (4.4)",
                     f"`member_tick_us` hosts={HOSTS} x {TICKS_PER_S} ticks a "
                     "second")
        self.add_row("cpu", both, "gossip rounds",
                     self.scaled(self.at_target("sync_round_us"),
                                 2 * GOSSIP_ROUNDS_PER_S * us_to_percent),
                     "one round asked, one answered a second (4.1)",
                     f"`sync_round_us` hosts={HOSTS} x 2")
        self.add_row("cpu", both, "changes: delta and snapshot",
                     self.scaled(self.at_target("delta_adoption_us"),
                                 CHANGES_PER_DAY / SECONDS_PER_DAY
                                 * us_to_percent),
                     "the whole snapshot is built anew (4.1)",
                     f"`delta_adoption_us` hosts={HOSTS} x "
                     f"{CHANGES_PER_DAY} a day")
        self.add_row("cpu", ("entry",), "changes: slot table of one service",
                     self.scaled(self.at_target("slot_tables_build_us",
                                                change="one_host"),
                                 CHANGES_PER_DAY / SECONDS_PER_DAY
                                 * us_to_percent),
                     "only changed services are ranked anew (4.2)",
                     "`slot_tables_build_us` change=one_host x "
                     f"{CHANGES_PER_DAY} a day")
        self.add_row("cpu", both, "status",
                     self.scaled(self.at_target("member_list_us"),
                                 us_to_percent),
                     "members are counted by state each second",
                     f"`member_list_us` hosts={HOSTS}")
        self.add_row("cpu", ("entry",), "list of instances, readers only",
                     self.scaled(self.at_target("instance_list_us"),
                                 us_to_percent
                                 / self.instance_list_interval_s()),
                     "the whole list is parsed",
                     f"`instance_list_us` instances={MEMBERS}, "
                     f"each {self.instance_list_interval_s():g} s")
        self.add_row("cpu", ("host",), "ownership queries",
                     self.scaled(self.figures.value("flow_open_us", hosts=14),
                                 NEW_FLOWS_PER_S / HOSTS * us_to_percent),
                     "all hosts' work for a flow, codec included (4.3)",
                     "`flow_open_us` hosts=14 x "
                     f"{NEW_FLOWS_PER_S / HOSTS:.1f} flows a second; system "
                     "calls not included")

    def collect_memory(self):
        for role in ("entry", "host"):
            self.add_row("memory", (role,), "idle process of a fleet of 13",
                         self.figures.value("idle_resident_bytes", role=role),
                         "program, libraries, threads, small tables",
                         f"`idle_resident_bytes` role={role}")
        both = ("entry", "host")
        self.add_row("memory", both, "snapshots, old and new",
                     self.scaled(self.at_target("snapshot_bytes"), 2),
                     "both exist while a change is adopted (4.1)",
                     f"`snapshot_bytes` hosts={HOSTS} x 2")
        self.add_row("memory", both, "member table",
                     self.at_target("member_table_bytes"),
                     "one entry a process",
                     f"`member_table_bytes` hosts={HOSTS}")
        self.add_row("memory", ("entry",), "slot tables",
                     self.at_target("slot_tables_bytes"),
                     "4,096 slots x 4 ranks x 2 B a service (4.2)",
                     f"`slot_tables_bytes` services={SERVICES}")
        self.add_row("memory", ("host",), "slot table, covers and bitmaps",
                     self.at_target("flow_tables_bytes"),
                     "512 B a peer of the service (4.3)",
                     f"`flow_tables_bytes` services={SERVICES}")

    def role_section(self, role):
        text = f"## Role {role}\n\n"
        for kind, unit, limit in (("bytes", "B/s", TRAFFIC_LIMIT_BYTES_PER_S),
                                  ("cpu", "% of a core", CPU_LIMIT_PERCENT),
                                  ("memory", "B", MEMORY_LIMIT_BYTES)):
            rows = getattr(self, kind)[role]
            used = sum_values(rows)
            missing_labels = [row[0] for row in rows if row[1] is None]
            text += markdown_table(
                ["control " + kind, unit, "mechanism", "slope"],
                [(label, format_number(value), mechanism, source)
                 for label, value, mechanism, source in rows])
            verdict = "met" if used <= limit else "**not met**"
            text += (f"\nSum {format_number(used)} {unit} of "
                     f"{format_number(limit)}: "
                     f"{verdict}, {100 * used / limit:.0f}% of the limit.")
            if missing_labels:
                text += " Not measured: " + ", ".join(missing_labels) + "."
            text += "\n\n"
        return text + self.messages_table(role) + self.forwarding_state(role)

    def messages_table(self, role):
        probes, probe_members = self.value_at_largest_fleet(
            "probe_messages_per_s")
        syncs, sync_members = self.value_at_largest_fleet(
            "sync_messages_per_s")
        rows = [("probe, probe_ack, probe_request", format_number(probes),
                 f"`probe_messages_per_s` members={probe_members}"),
                ("sync", format_number(syncs),
                 f"`sync_messages_per_s` members={sync_members}")]
        if role == "entry":
            rows.append(("instance list reads, readers only",
                         format_number(1 / self.instance_list_interval_s()),
                         "`instance_list_bytes` interval_s"))
        if role == "host":
            messages = self.figures.value("flow_open_messages_sent", hosts=14)
            rows.append(("query, query_reply, place",
                         format_number(self.scaled(
                             messages, 2 * NEW_FLOWS_PER_S / HOSTS)),
                         "`flow_open_messages_sent` hosts=14, both "
                         "directions"))
        return markdown_table(["control messages", "a second", "slope"],
                              rows) + "\n"

    def forwarding_state(self, role):
        if role == "entry":
            hint = self.figures.largest_row("bytes_per_flow", "flows",
                                            role="entry")
            bytes_per_hint = float(hint["value"]) if hint else None
            rows = [("hints, at most 500,000",
                     format_number(self.scaled(bytes_per_hint, 500_000)), "B",
                     "`bytes_per_flow` role=entry")]
            mean_flows = FLOWS / ENTRIES
            note = (f"{FLOWS:,} flows are {mean_flows:,.0f} an entry if each "
                    "has a hint at one entry. A flow whose packets are sprayed "
                    "may have one at every entry; the bound above then applies.")
        else:
            flow = self.figures.largest_row("bytes_per_flow", "flows",
                                            role="host")
            session = self.figures.largest_row("bytes_per_session", "sessions")
            mean_flows = FLOWS / HOSTS
            rows = [(f"flows, {mean_flows:,.0f} a host",
                     format_number(self.scaled(
                         float(flow["value"]) if flow else None,
                         mean_flows)), "B",
                     "`bytes_per_flow` role=host"),
                    (f"sessions, {mean_flows:,.0f} a host",
                     format_number(self.scaled(
                         float(session["value"]) if session else None,
                         mean_flows)),
                     "B", "`bytes_per_session`")]
            note = "A flow and a session exist once, at one host."
        return ("Forwarding of clients' data, apart from control:\n\n"
                + markdown_table(["state", "value", "unit", "slope"], rows)
                + "\n" + note + "\n\n" + self.forwarding_cost(role))

    def forwarding_cost(self, role):
        if role == "entry":
            packets_per_s = self.figures.value("entry_packets_per_s")
            return (f"One core forwards {format_number(packets_per_s)} packets "
                    "a second (`entry_packets_per_s`). The packets a second "
                    "of the target are not stated, so no load follows from it.\n\n")
        row = self.figures.largest_row("broker_us_per_request", "sessions")
        cost_us = float(row["value"]) if row else None
        return (f"A request takes {format_number(cost_us)} us of the broker "
                "(`broker_us_per_request`). The requests a second of the "
                "target are not stated, so no load follows from it.\n\n")

    def platform_section(self):
        readers = DATA_CENTRES * READERS_PER_DATA_CENTRE
        change = self.figures.largest_row("change_calls", "members")
        calls = float(change["value"]) / 9 * readers if change else None
        list_reads_per_s = readers / self.instance_list_interval_s()
        rows = [("waiting watches", format_number(readers / WATCH_WAIT_S),
                 f"{readers} readers, 30 s each (4.1)",
                 "`watch_calls_per_s`: "
                 + format_number(
                     self.value_at_largest_fleet("watch_calls_per_s")[0])
                 + " with 9 readers"),
                ("reads after changes",
                 format_number(self.scaled(
                     calls, CHANGES_PER_DAY / SECONDS_PER_DAY)),
                 f"{readers} readers (4.1)",
                 "`change_calls` / 9 readers x 24 readers"),
                ("lists of instances", format_number(list_reads_per_s),
                 f"{readers} readers, "
                 f"each {self.instance_list_interval_s():g} s",
                 "`instance_list_bytes` interval_s")]
        calls_per_s = readers / WATCH_WAIT_S + list_reads_per_s
        calls_per_s += self.scaled(
            calls, CHANGES_PER_DAY / SECONDS_PER_DAY) or 0
        return ("## The platform's configuration service\n\n"
                + markdown_table(["calls", "a second", "mechanism", "slope"],
                                 rows)
                + f"\nSum {format_number(calls_per_s)} of "
                  f"{PLATFORM_CALLS_LIMIT_PER_S:,} calls a second: "
                  f"{100 * calls_per_s / PLATFORM_CALLS_LIMIT_PER_S:.0f}% of "
                  "the limit. "
                  "Calls grow with the data centres, not with the fleet.\n\n")

    def propagation_section(self):
        rounds = self.figures.value("config_spread_rounds_extrapolated")
        seconds = self.figures.value("config_in_force_s")
        return ("## Time until a change is in force\n\n"
                f"{format_number(rounds)} s after the first process, of 19 s: "
                "gossip rounds of one second with a push to 3 peers "
                "(`config_spread_rounds_extrapolated`, from 64, 256 and 1,024 "
                f"members to {MEMBERS:,}). With 13 processes and the platform "
                f"down in one data centre it took {format_number(seconds)} s "
                "(`config_in_force_s`). Delays are virtual; the time in which "
                "a loaded process handles a message is not in it.\n\n")

    def first_limit_section(self):
        """Fleet size at each limit if hosts and flows grow in proportion."""
        limits = []
        for role in ("entry", "host"):
            for kind, limit in (("bytes", TRAFFIC_LIMIT_BYTES_PER_S),
                                ("cpu", CPU_LIMIT_PERCENT),
                                ("memory", MEMORY_LIMIT_BYTES)):
                rows = getattr(self, kind)[role]
                # Costs that grow with the fleet at constant flows per host.
                growing = sum(row[1] for row in rows if row[1] is not None and
                              any(label in row[0] for label in
                                  ("list of instances", "member table",
                                   "status", "snapshot", "slot tables",
                                   "changes: delta")))
                fixed = sum_values(rows) - growing
                size = ((limit - fixed) / growing * MEMBERS if growing else
                        float("inf"))
                limits.append((size, f"{kind} of role {role}"))
        limits.sort()
        rows = [(name, "does not depend on it" if size == float("inf") else
                 f"{size:,.0f}" if size > 0 else "at any size")
                for size, name in limits]
        return ("## Which limit is met first\n\n"
                f"First: **{limits[0][1]}**. The size is the number of "
                "processes at which the limit is met if flows a host, hosts a "
                "service and changes stay those of the target.\n\n"
                + markdown_table(["limit", "processes"], rows)
                + self.flow_rate_limit_text() + "\n")

    def flow_rate_limit_text(self):
        open_bytes = self.figures.value("flow_open_bytes_sent", hosts=14)
        if open_bytes is None:
            return ""
        queries = [row for row in self.bytes["host"]
                   if row[0] == "ownership queries"]
        available = TRAFFIC_LIMIT_BYTES_PER_S - (
            sum_values(self.bytes["host"]) - sum_values(queries))
        flows_per_s = available / (2 * open_bytes)
        return (f"\nAt {MEMBERS:,} processes a host meets the limit at "
                f"{flows_per_s:.1f} new flows a second, "
                f"{flows_per_s * HOSTS:,.0f} in all; "
                f"the target is {NEW_FLOWS_PER_S / HOSTS:.1f} and "
                f"{NEW_FLOWS_PER_S:,}.\n")

    def failures_section(self):
        settled_bytes, settled_members = self.value_at_largest_fleet(
            "isolation_bytes_per_s", window_s="settled")
        first_minutes = self.figures.matching_rows("isolation_bytes_per_s",
                                                   window_s="0..60")
        first_minute = (max(first_minutes, key=lambda row: int(row["members"]))
                        if first_minutes else None)
        rejoin_bytes, rejoin_members = self.value_at_largest_fleet(
            "rejoin_bytes_per_s")
        calls = self.figures.largest_row("data_centre_restart_calls",
                                         "members")
        link_returns = self.figures.matching_rows("link_return_s")
        lost_flows = FLOWS / DATA_CENTRES
        reopened_per_host = lost_flows / (HOSTS - HOSTS / DATA_CENTRES)
        open_bytes = self.figures.value("flow_open_bytes_sent", hosts=14)
        messages = self.figures.value("flow_open_messages_sent", hosts=14)
        cpu_us = self.figures.value("flow_open_us", hosts=14)
        text = "## The day when a data centre is lost\n\n"
        text += (f"With hosts and flows spread evenly, {lost_flows:,.0f} "
                 f"flows of {HOSTS // DATA_CENTRES} hosts end and re-open at the "
                 f"other {HOSTS - HOSTS // DATA_CENTRES}: "
                 f"{reopened_per_host:.0f} a host.\n\n")
        text += markdown_table(["quantity", "value", "slope"], [
            ("ownership messages, all hosts",
             format_number(self.scaled(messages, lost_flows)),
             "`flow_open_messages_sent` hosts=14"),
            ("ownership bytes a host, both directions",
             format_number(self.scaled(open_bytes, 2 * reopened_per_host))
             + " B",
             "`flow_open_bytes_sent` hosts=14"),
            ("processor time a host",
             format_number(self.scaled(cpu_us, reopened_per_host / 1e6))
             + " s", "`flow_open_us` hosts=14"),
            ("probe traffic in the first minute",
             (format_number(float(first_minute["value"])) if first_minute
              else "not measured")
             + " B/s", "`isolation_bytes_per_s` 1 of 3 data centres, members="
             + (first_minute["members"] if first_minute else "none")),
            ("probe traffic later", format_number(settled_bytes) + " B/s",
             "`isolation_bytes_per_s` window_s=settled "
             f"members={settled_members}"),
            ("membership events", f"{MEMBERS // DATA_CENTRES}",
             "one a process of the data centre; not measured at this size"),
            ("bytes that each process pulls when it starts again",
             format_number(self.at_target("published_bytes")) + " B",
             f"`published_bytes` hosts={HOSTS}"),
            ("calls of the platform when it starts again",
             format_number(self.calls_at_data_centre_restart(calls, "value")),
             "`data_centre_restart_calls` by restarted process, members="
             + (calls["members"] if calls else "none")),
            ("the same in the busiest second, of 2,000",
             format_number(
                 self.calls_at_data_centre_restart(calls, "peak_per_s")),
             "`data_centre_restart_calls` peak_per_s, likewise"),
        ])
        start = self.figures.largest_row("start_calls", "members")
        if start:
            peak_per_member = (float(start["peak_per_s"])
                               / float(start["members"]))
            peak_calls = peak_per_member * MEMBERS
            relation = ("above" if peak_calls > PLATFORM_CALLS_LIMIT_PER_S
                        else "within")
            text += (f"\nIf all {MEMBERS:,} processes started at once, the "
                     f"busiest second would have about {peak_calls:,.0f} "
                     f"calls, {relation} the {PLATFORM_CALLS_LIMIT_PER_S:,} "
                     "allowed (`start_calls` peak_per_s, "
                     f"{float(start['peak_per_s']):.0f} at {start['members']} "
                     "members, scaled by the number of members). What happens "
                     "at a platform that is over its limit is not measured."
                     "\n")
        text += ("\nThe time in which the flows re-open depends on the "
                 "clients' retransmissions, which are not measured. A host "
                 "holds 1,024 packets at once and refuses more (held_full)."
                 "\n\n")
        text += "## An hour without a region's link\n\n"
        missed_changes = CHANGES_PER_DAY / 24
        text += (f"The region misses {missed_changes:.0f} changes and serves "
                 "the last good generation. Flows of hosts beyond the cut are "
                 "not reachable and re-open on the client's side of it.\n\n")
        if link_returns:
            text += markdown_table(["quantity", "value", "slope"], [
                ("time until the newest generation is in force everywhere",
                 format_number(float(link_returns[0]["value"])) + " s",
                 "`link_return_s` members=256, 39 changes missed"),
                ("sync bytes a process meanwhile",
                 format_number(float(link_returns[0]["bytes_per_member"]))
                 + " B",
                 "`link_return_s` bytes_per_member"),
                ("probe traffic in the minute after",
                 format_number(rejoin_bytes) + " B/s",
                 f"`rejoin_bytes_per_s` members={rejoin_members}")])
        else:
            text += ("The return of the link is not measured "
                     "(`link_return_s`).\n")
        return text + "\n"

    def calls_at_data_centre_restart(self, row, key):
        """Scales calls per restarted process to a data centre of the target.

        The measurement restarted a third of its fleet, one of three data
        centres; the target has eight.
        """
        if row is None:
            return None
        return float(row[key]) / (float(row["members"]) / 3) * (
            MEMBERS / DATA_CENTRES)

    def extrapolation_section(self):
        rows = []
        for name in ("probe_bytes_per_s", "sync_bytes_per_s", "change_bytes",
                     "failure_bytes", "replacement_bytes",
                     "isolation_bytes_per_s", "rejoin_bytes_per_s",
                     "start_calls", "data_centre_restart_calls"):
            # Takes the greatest value if a figure has several windows.
            by_size = {}
            for row in self.figures.matching_rows(name):
                members, value = int(row["members"]), float(row["value"])
                by_size[members] = max(value, by_size.get(members, value))
            sizes = sorted(by_size.items())
            if sizes:
                rows.append((f"`{name}`", ", ".join(
                    f"{format_number(value)} at {members}"
                    for members, value in sizes),
                             f"{MEMBERS / sizes[-1][0]:.1f} times"))
            else:
                rows.append((f"`{name}`", "not measured", "-"))
        return ("## What was extrapolated\n\n"
                f"The target has {MEMBERS:,} members. These figures were "
                "taken as constant beyond the greatest measured fleet; the "
                "values by size show how far that holds. Traffic in the first "
                "minute of a partition grows with the fleet, so it will be "
                "above the value used here.\n\n"
                + markdown_table(
                    ["figure", "by members", "beyond the measured size"], rows)
                + f"\nFigures with services={SERVICES} were measured at the "
                  "target's size, with peers that exist only as records. "
                  "`flow_open_*` and `holders_*` were measured with 14 hosts; "
                  f"the target has {HOSTS_PER_SERVICE:.1f} hosts a service.\n\n"
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
        runs = "\n".join("- " + run for run in self.figures.runs)
        return (
            "# Capacity\n\n"
            "Written by `scripts/capacity.py` from "
            "`docs/measurements/`; do not edit. Control means "
            "configuration, membership, ownership queries and holder bitmaps. "
            "Bytes count both directions.\n\n"
            f"Target: {ENTRIES} entries before {HOSTS:,} hosts behind "
            f"{SERVICES} addresses, {FLOWS:,} open flows, "
            f"{NEW_FLOWS_PER_S:,} new a second, {REGIONS} regions, "
            f"{DATA_CENTRES} data centres, "
            f"{CHANGES_PER_DAY} changes a day, {FAILURES_PER_DAY} failures and "
            f"{RESTARTS_PER_DAY} restarts a day.\n\n"
            "Runs:\n\n" + runs + "\n\n"
            + self.role_section("entry") + self.role_section("host")
            + self.platform_section() + self.propagation_section()
            + self.first_limit_section() + self.failures_section()
            + self.extrapolation_section() + "\n"
            + capacity_relay.section(SWEEP_FILE.read_text()).rstrip() + "\n")


def main(arguments):
    if arguments not in ([], ["--check"], ["--sources"]):
        print(__doc__, file=sys.stderr)
        return 2
    if arguments == ["--sources"]:
        print(sources_digest())
        return 0
    figures = Figures(MEASUREMENTS_FILE.read_text())
    page = Page(figures).text()
    if not arguments:
        PAGE_FILE.write_text(page)
        return 0
    if not PAGE_FILE.exists() or PAGE_FILE.read_text() != page:
        print("docs/CAPACITY.md is out of date: scripts/capacity.py generates "
              "another page from docs/measurements", file=sys.stderr)
        return 1
    stale = stale_runs(figures.runs)
    for run in stale:
        print("docs/measurements/bench.txt: this run measured other sources "
              f"than {sources_digest()}; repeat it: {run}", file=sys.stderr)
    if capacity_relay.is_stale(SWEEP_FILE.read_text(), ROOT):
        print("docs/measurements/sweep.txt measured other sources than "
              f"{capacity_relay.sources_digest(ROOT)}; repeat the sweep",
              file=sys.stderr)
        return 1
    return 1 if stale else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
