"""The platform's way on this machine: its stand-in, three gateways, callers
for some calm seconds, one summary line. Fails if anything but a whole answer
came back."""

import argparse
import asyncio
import collections
import random
import shutil
import sys

import platform_check
from platform_fleet import Callers, PlatformFleet


async def demo(build, seconds):
    fleet = PlatformFleet(build, seed=1, gateways=3)
    try:
        await fleet.start()
        callers = Callers(fleet, random.Random(1), count=6)
        load = asyncio.create_task(callers.run())
        await asyncio.sleep(seconds)
        callers.stop = True
        await load
        record = await fleet.control("/record")
    finally:
        fleet.stop()
    found = platform_check.violations(callers, record, calm_only=True)
    for text in found[:10]:
        print(text)
    paths = collections.Counter(one["path"] for one in callers.seen.values())
    kinds = ", ".join(f"{count} {path.split('/')[1]}"
                      for path, count in sorted(paths.items()))
    print(f"platform demo: {len(callers.seen)} requests ({kinds}) over 3 "
          f"gateways, {len(found)} not whole")
    if not found:
        shutil.rmtree(fleet.folder)
    return not found


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build", nargs="?", default="build")
    parser.add_argument("--seconds", type=float, default=10)
    options = parser.parse_args()
    sys.exit(0 if asyncio.run(demo(options.build, options.seconds)) else 1)


if __name__ == "__main__":
    main()
