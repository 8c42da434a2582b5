"""Case 2 on the real clock: a machine freezes right after a change of the
configuration, and calm machines go on with the older version for too long.

Eight gateways. Each round writes a new version of a large configuration, which
adds one route and drops another, and about 0.1 s later freezes one gateway that reads
the store (kinds: "reader") for 3 s. Later than `config_apply_ms` after the ack,
each other gateway gets one request for the route that was added and one for the
route that was dropped. TROUBLE=0 does the same without the freezes.
"""

import asyncio
import os
import pathlib
import random
import re
import shutil
import signal
import sys
import tempfile

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import Fleet, Record, Runner, ask, now, plain, route  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

GATEWAYS = 8
ROUNDS = 16
ROUND_S = 6.4           # so that all machines are calm for 3 s before each
FREEZE_AFTER_S = 0.05, 0.15    # drawn in between
FREEZE_FOR_S = 3.0      # the site file has 4.0
CONFIG_APPLY_S = 2.0    # bounds.config_apply_ms
EXTRA_ROUTES = 340      # the site files' `big_config`


def configure(fleet, version):
    """Version `version` has the route /new-VERSION/, not those of others."""
    draw = random.Random(version)
    routes = [route("r-base", "/base/", "safe", "desk", timeout_ms=1500),
              route(f"r-new-{version}", f"/new-{version}/", "safe", "desk",
                    timeout_ms=1500)]
    routes += [route(f"r-{n}-{draw.getrandbits(40):x}",
                     f"/x{n}-{draw.getrandbits(40):x}/", "safe", "desk")
               for n in range(EXTRA_ROUTES)]
    fleet.configure(version, routes, [plain("desk")],
                    [{"name": "t1", "api_keys": ["k1"]}])


async def probe(fleet, record, gateway, path):
    attempt = "%016x" % random.getrandbits(64)
    answer = await ask(gateway.address("front"), "GET", path,
                       [("Host", "desk.example"), ("Attempt-Id", attempt),
                        ("Deadline-Ms", "1500"), ("Api-Key", "k1")], limit=2)
    record("probed", to=gateway.name, path=path, attempt=attempt,
           sent_at="%.3f" % answer.sent_at, status=answer.status)
    return answer


async def readers(fleet):
    """The gateways that watch the store now."""
    counts = []
    for _ in range(2):
        count = {}
        for gateway in fleet.gateways:
            found = re.search(r'watch"[^\n]* (\d+)', await gateway.metrics())
            count[gateway.name] = int(found[1]) if found else 0
        counts.append(count)
        await asyncio.sleep(1.0)
    return [g for g in fleet.gateways
            if counts[1][g.name] > counts[0][g.name]]


async def one_round(fleet, record, version, frozen):
    """Returns what calm gateways did as only an older version allows."""
    configure(fleet, version)
    acked_at = now()
    freeze_at = acked_at + random.uniform(*FREEZE_AFTER_S)
    if frozen:
        await asyncio.sleep(freeze_at - now())
        frozen.signal(signal.SIGSTOP)
    await asyncio.sleep(acked_at + CONFIG_APPLY_S + 0.05 - now())
    broken = []

    async def check(gateway):
        added = await probe(fleet, record, gateway, f"/new-{version}/a")
        dropped = await probe(fleet, record, gateway, f"/new-{version - 1}/a")
        for answer, what in ((added, "added"), (dropped, "dropped")):
            wrong = 404 if what == "added" else 200
            if answer.status == wrong:
                broken.append((gateway.name, what, answer.status,
                               answer.sent_at - acked_at))

    calm = [g for g in fleet.gateways if g is not frozen]
    await asyncio.gather(*(check(g) for g in calm))
    if frozen:
        await asyncio.sleep(freeze_at + FREEZE_FOR_S - now())
        frozen.signal(signal.SIGCONT)
    await asyncio.sleep(acked_at + ROUND_S - now())
    return broken


async def play(folder, record):
    fleet = Fleet(folder, record, gateways=GATEWAYS)
    broken = []
    try:
        await fleet.start()
        for n in range(3):
            await Runner(record, fleet.store, f"p{n}", "desk", slots=6).begin()
        configure(fleet, 2)
        await fleet.start_gateways()
        await asyncio.sleep(3)
        reading = await readers(fleet)
        record("readers", names=",".join(g.name for g in reading))
        if not reading:
            print("no gateway reads the store")
            return 2
        for n in range(ROUNDS):
            frozen = random.choice(reading) if TROUBLE else None
            for name, what, status, late in await one_round(
                    fleet, record, n + 3, frozen):
                broken.append(name)
                record("BROKEN", name=name, route=what, status=status,
                       after_ack_s="%.2f" % late)
                print(f"{name} answers {status} for the route that was {what}, "
                      f"{late:.2f} s after the ack")
    finally:
        fleet.stop()
    print(f"{ROUNDS} changes, {len(broken)} requests handled as only an older "
          f"version allows")
    return 1 if broken else 0


def main():
    folder = tempfile.mkdtemp(prefix="review-2-")
    record = Record(os.environ.get("RECORD", HERE / "record.txt"))
    try:
        result = asyncio.run(asyncio.wait_for(play(folder, record), 115))
    except (OSError, TimeoutError, asyncio.TimeoutError) as error:
        print("could not run:", error)
        result = 2
    if "KEEP" not in os.environ:
        shutil.rmtree(folder, ignore_errors=True)
    sys.exit(result)


if __name__ == "__main__":
    main()
