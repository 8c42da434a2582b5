"""Measures the slopes behind docs/CAPACITY.md, works out each role at letter
1's size, and prints the page's table. With --check it compares the table in the
page with fresh figures: it fails where one is off by more than a factor of two.
"""

import argparse
import os
import pathlib
import re
import subprocess
import sys
import threading
import time

from fleet import Fleet, chat, wait_until

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs/CAPACITY.md"
TABLE_START = "<!-- table: scripts/measure-capacity -->"
TABLE_END = "<!-- end of table -->"

NODES = 410
TARGETS = 1200
WORKSPACES = 23_000
REQUESTS = 7_500
TOKENS = 1_700_000
CHANGES_A_DAY = 1_600
MEMBER_NEWS_A_DAY = 3 * 580 + 3 * 9
DAY = 86_400
WATCHED = 24
POLLS = 2
ONCE_PART = 1 / 20
TICKET_SECONDS = 3_600
DOCUMENTS = 64
LIST_PERIOD = 2.0
LIST_CHANGES_A_DAY = 2 * (TARGETS + 580)
NOT_MODIFIED_BYTES = 330
HEAD_BYTES = 24_000
OFF_BY = 2.0


class Slope:
    """A straight line through the rows of one role."""

    def __init__(self, points):
        n = len(points)
        mean_x = sum(x for x, _ in points) / n
        mean_y = sum(y for _, y in points) / n
        spread = sum((x - mean_x) ** 2 for x, _ in points)
        self.per_unit = sum((x - mean_x) * (y - mean_y)
                            for x, y in points) / spread if spread else 0.0
        self.base = mean_y - self.per_unit * mean_x
        total = sum((y - mean_y) ** 2 for _, y in points)
        rest = sum((y - self.at(x)) ** 2 for x, y in points)
        self.fit = 1 - rest / total if total else 1.0

    def at(self, x):
        return self.base + self.per_unit * x


def read_rows(text):
    """Rows of bench-capacity by role: lists of (size, cpu, bytes, memory)."""
    rows = {}
    for line in text.splitlines():
        fields = dict(part.split("=", 1) for part in line.split())
        rows.setdefault(fields["role"], []).append(
            (float(fields["size"]), float(fields["cpu_us"]),
             float(fields["bytes"]), float(fields["memory_bytes"])))
    return rows


def process_cost(pid):
    """Processor seconds so far, and resident bytes."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split()
    ticks = int(fields[13]) + int(fields[14])
    pages = int(fields[23])
    return (ticks / os.sysconf("SC_CLK_TCK"),
            pages * os.sysconf("SC_PAGE_SIZE"))


def idle_daemons(build, count, seconds):
    """Processor share and memory of one daemon in a quiet fleet."""
    with Fleet(build) as fleet:
        for number in range(8):
            fleet.add_engine(f"engine-{number}", "valuer-llm")
        names = [f"entry-{number}" for number in range(count)]
        for name in names:
            fleet.add_daemon(name, polls=POLLS)
        fleet.publish()
        for name in names:
            fleet.start_daemon(name)
        files = [ROOT / "examples/pilbara" / name for name in
                 ("services.ini", "profiles.ini", "workspaces.ini")]
        fleet.tool("config", "apply",
                   f"--operators={fleet.operators(names[0])}", *files)
        time.sleep(5)
        pids = [fleet.processes[name].child.pid for name in names]
        before = [process_cost(pid)[0] for pid in pids]
        time.sleep(seconds)
        after = [process_cost(pid) for pid in pids]
        share = sum(a[0] - b for a, b in zip(after, before)) / seconds / count
        memory = sum(a[1] for a in after) / count
        return share, memory


def streaming_cost(build, step_ms, streams):
    """Processor microseconds of the daemon for one streamed token."""
    with Fleet(build) as fleet:
        fleet.add_engine("engine-0", "valuer-llm", step_ms=step_ms)
        fleet.add_daemon("entry-0")
        fleet.publish()
        fleet.start_daemon("entry-0")
        files = [ROOT / "examples/pilbara" / name for name in
                 ("services.ini", "profiles.ini", "workspaces.ini")]
        fleet.tool("config", "apply",
                   f"--operators={fleet.operators('entry-0')}", *files)
        wait_until(lambda: any(t["report_age_ms"] < 2000 for t in
                               fleet.dump("entry-0")["targets"]),
                   what="the engine has reported")
        pid = fleet.processes["entry-0"].child.pid
        address = fleet.callers("entry-0")
        tokens = []

        def read(number):
            seen = chat(address, f"w{number}", "fleet-audit", "x" * 400)
            tokens.append(seen.get("tokens", 0))

        before = process_cost(pid)[0]
        readers = [threading.Thread(target=read, args=(number,))
                   for number in range(streams)]
        for reader in readers:
            reader.start()
        for reader in readers:
            reader.join()
        spent = process_cost(pid)[0] - before
        return spent / max(1, sum(tokens)) * 1e6, sum(tokens)


def work_out(rows, idle, stream_us):
    """Each role at letter 1's size: processor share, bytes a second, memory."""
    def cpu(role, size):
        return Slope([(r[0], r[1]) for r in rows[role]]).at(size) / 1e6

    def size_bytes(role, size):
        return Slope([(r[0], r[2]) for r in rows[role]]).at(size)

    def memory(role, size):
        return Slope([(r[0], r[3]) for r in rows[role]]).at(size)

    requests = REQUESTS / NODES
    tickets = requests * ONCE_PART * TICKET_SECONDS
    news = MEMBER_NEWS_A_DAY / DAY
    changes = CHANGES_A_DAY / DAY
    last_news_bytes = rows["news"][-1][2] * 1.15  # log2(410) over log2(200)
    configuration_bytes = (size_bytes("configuration", WORKSPACES) / DOCUMENTS
                           + HEAD_BYTES)
    list_reading = (NOT_MODIFIED_BYTES / LIST_PERIOD +
                    LIST_CHANGES_A_DAY / DAY * size_bytes("selection", TARGETS))
    return [
        ("membership (`member_table`, `heartbeater`)",
         cpu("membership", NODES), size_bytes("membership", NODES),
         memory("membership", NODES)),
        ("news of members (`take_changes`)",
         news * cpu("membership", NODES), news * last_news_bytes, 0),
        ("load tables (`target_watch::poll`)",
         POLLS * cpu("reports", WATCHED), POLLS * size_bytes("reports", WATCHED),
         memory("choice", WATCHED)),
        ("target choice (`predicted_policy`)",
         requests * cpu("choice", WATCHED), 0, 0),
        ("configuration (`configuration_follower`)",
         changes * cpu("configuration", WORKSPACES),
         changes * configuration_bytes,
         memory("configuration", WORKSPACES)),
        ("limits (`workspace_limits`, `limit_share`)",
         requests * cpu("limits", WORKSPACES), 0,
         memory("limits", WORKSPACES * 3 / NODES)),
        ("tickets (`call_ledger`)",
         requests * ONCE_PART * cpu("tickets", 1000), 0,
         memory("tickets", tickets)),
        ("instance list (`target_selection`)",
         cpu("selection", TARGETS) / 2, list_reading,
         memory("choice", WATCHED)),
        ("process at rest (threads, listeners, timers)", idle[0], 0, idle[1]),
        ("streaming (not control: `session`, `streaming_sink`)",
         TOKENS / NODES * stream_us / 1e6, TOKENS / NODES * 110, 0),
    ]


def table_of(roles):
    lines = ["| role | % of a core | bytes/s | memory KB |",
             "| --- | ---: | ---: | ---: |"]
    control = [0.0, 0.0, 0.0]
    for name, share, rate, memory in roles:
        lines.append(f"| {name} | {share * 100:.3f} | {rate:.0f} | "
                     f"{memory / 1024:.0f} |")
        if "not control" not in name:
            control = [control[0] + share, control[1] + rate,
                       control[2] + memory]
    lines.append(f"| **control, sum** | {control[0] * 100:.3f} | "
                 f"{control[1]:.0f} | {control[2] / 1024:.0f} |")
    lines.append("| allowed | 1.800 | 3072 | 65536 |")
    return "\n".join(lines)


def figures(table):
    """Figures of a table by role."""
    found = {}
    for line in table.splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if len(cells) == 4 and re.fullmatch(r"[\d.]+", cells[1]):
            found[cells[0]] = [float(cell) for cell in cells[1:]]
    return found


def check(page_table, fresh_table):
    """Roles whose figures in the page are off by more than OFF_BY."""
    off = []
    fresh = figures(fresh_table)
    for role, stood in figures(page_table).items():
        for old, new in zip(stood, fresh.get(role, [])):
            small = max(old, new) < 0.01
            if not small and not 1 / OFF_BY <= (old + 1e-9) / (new + 1e-9) <= OFF_BY:
                off.append(f"{role}: {old} in the page, {new} now")
    return off


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build")
    parser.add_argument("--check", action="store_true")
    parser.add_argument("--write", action="store_true",
                        help="put the table into the page")
    parser.add_argument("--seconds", type=float, default=10.0)
    given = parser.parse_args()
    rows_text = subprocess.run([f"{given.build}/bench-capacity"], check=True,
                               capture_output=True, text=True).stdout
    print(rows_text, end="")
    rows = read_rows(rows_text)
    for role, points in rows.items():
        slope = Slope([(p[0], p[1]) for p in points])
        print(f"fit role={role} cpu_us={slope.base:.3f}"
              f"+{slope.per_unit:.6f}*size r2={slope.fit:.3f}")
    idle = None
    for count in (3, 9, 18):
        idle = idle_daemons(given.build, count, given.seconds)
        print(f"role=process size={count} unit=second "
              f"cpu_us={idle[0] * 1e6:.0f} bytes=0 memory_bytes={idle[1]:.0f}")
    stream_us = 0.0
    for step_ms, streams in ((8, 8), (8, 32), (1, 32)):
        stream_us, tokens = streaming_cost(given.build, step_ms, streams)
        print(f"role=streaming size={streams} step_ms={step_ms} unit=token "
              f"cpu_us={stream_us:.1f} tokens={tokens}")
    fresh = table_of(work_out(rows, idle, stream_us))
    print(fresh)
    page = PAGE.read_text() if PAGE.exists() else ""
    if TABLE_START not in page:
        return 0
    head, rest = page.split(TABLE_START)
    stood, tail = rest.split(TABLE_END)
    if given.write:
        PAGE.write_text(f"{head}{TABLE_START}\n{fresh}\n{TABLE_END}{tail}")
    if given.check:
        off = check(stood, fresh)
        print("\n".join(off) if off else "the page's table follows")
        return 1 if off else 0
    return 0


if __name__ == "__main__":
    sys.exit(main())
