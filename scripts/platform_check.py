"""What must hold on the platform, checked from what callers saw and what the
stand-in's runners recorded."""

import collections

# A leaving runner gets nothing new later than this after its leaving stood in
# the store; two seconds are promised while the store serves.
LEAVING_LIMIT_MS = 2000
PROMISES = {429, 503, 408, 421}


def paused_time(seen, pauses):
    """Seconds of the request in which its instance was stopped by a signal and
    could answer nobody; `pauses` lists address, begin and end."""
    end = seen["began"] + seen["took"]
    return sum(max(0.0, min(end, until) - max(seen["began"], since))
               for address, since, until in pauses
               if address == seen["address"])


def violations(callers, record, store_disturbed_at=(), calm_only=False,
               pauses=()):
    """Texts of all broken promises. `store_disturbed_at` lists spans of the
    stand-in's clock in ms in which leaving need not be known in time."""
    found = list(callers.violations)
    runs = collections.defaultdict(list)
    for run in record["runs"]:
        if run["leaked_key"]:
            found.append(f"{run['attempt']}: the key reached a runner")
        if run["attempt"] not in callers.seen and run["ran"]:
            found.append(f"{run['attempt']}: run and never sent")
        if run["workspace"] != "workspace-1":
            found.append(f"{run['attempt']}: run for {run['workspace']!r}")
        late = run["leaving_ms"] > LEAVING_LIMIT_MS
        excused = any(a <= run["at_ms"] <= b for a, b in store_disturbed_at)
        if late and not excused and run["ran"]:
            found.append(f"{run['attempt']}: sent to {run['target']} "
                         f"{run['leaving_ms']} ms after it was leaving")
        if run["ran"]:
            runs[run["attempt"]].append(run)
    for attempt, seen in callers.seen.items():
        ran = runs[attempt]
        once = seen["path"] in ("/unsafe/x", "/once-stream/x")
        if once and len(ran) > 1:
            found.append(f"{attempt}: {seen['path']} ran {len(ran)} times")
        if once and seen["status"] in PROMISES and ran:
            found.append(f"{attempt}: answered {seen['status']} and ran")
        if len({run["target"] for run in ran}) > 2:
            found.append(f"{attempt}: ran on more than two targets")
        if seen["status"] in (401, 404):
            found.append(f"{attempt}: answered {seen['status']}")
        if "took" in seen and seen["status"] != "cut":
            held = seen["took"] - paused_time(seen, pauses)
            if held > 4.9:
                found.append(f"{attempt}: held {held:.1f} s")
        if calm_only and seen["status"] != 200:
            found.append(f"{attempt}: {seen['status']} on a calm run")
    return found
