"""Deployment sizes and limits for which docs/CAPACITY.md is calculated."""

# Target deployment, from section 1.5 of docs/design.md.
ENTRIES, HOSTS, SERVICES = 460, 5000, 360
FLOWS, NEW_FLOWS_PER_S = 7_000_000, 51_000
DATA_CENTRES, REGIONS = 8, 3
CHANGES_PER_DAY = 930
FAILURES_PER_DAY, RESTARTS_PER_DAY = 6, 610
CPU_LIMIT_PERCENT, MEMORY_LIMIT_BYTES = 3.2, 128e6
TRAFFIC_LIMIT_BYTES_PER_S = 27e3
PLATFORM_CALLS_LIMIT_PER_S = 2000

MEMBERS = ENTRIES + HOSTS
HOSTS_PER_SERVICE = HOSTS / SERVICES
SECONDS_PER_DAY = 86_400
# Defaults of the C++ code: ticks and gossip rounds per second, readers of the
# configuration service, and the duration of one watch.
TICKS_PER_S, GOSSIP_ROUNDS_PER_S = 100, 1
READERS_PER_DATA_CENTRE, WATCH_WAIT_S = 3, 30
