"""The sizes and limits for which the capacity page is worked out."""

# The target, from section 1.5 of docs/design.md.
ENTRIES, HOSTS, SERVICES = 460, 5000, 360
FLOWS, NEW_FLOWS = 7_000_000, 51_000
DATA_CENTRES, REGIONS = 8, 3
CHANGES_A_DAY = 930
FAILURES_A_DAY, RESTARTS_A_DAY = 6, 610
CPU_LIMIT, MEMORY_LIMIT, BYTES_LIMIT = 3.2, 128e6, 27e3
CALLS_LIMIT = 2000

MEMBERS = ENTRIES + HOSTS
HOSTS_A_SERVICE = HOSTS / SERVICES
DAY = 86_400
# Constants of the code: ticks and rounds a second, readers, a watch's wait.
TICKS, ROUNDS, READERS_A_DATA_CENTRE, WATCH_S = 100, 1, 3, 30
