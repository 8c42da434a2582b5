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


# What a runner's answer said has to be followed later than this.
SAID_LEAVING_LIMIT_MS = 2000
# A gateway that was killed or stopped knows all again after this time.
TIME_TO_KNOW_MS = 3000
CRASHES_THAT_PROVE = 3
PART_CRASHES_THAT_PROVE = 5
RUNS_ALLOWED_LATER = 3
PAUSE_BEGINS_MS = 500
REQUESTS_IN_PAUSE = 2


def in_trouble(address, at_ms, trouble, margin_ms):
    """True where the gateway was killed or stopped, or that ended less than
    `margin_ms` before."""
    return any(a == address and began <= at_ms <= ended + margin_ms
               for a, began, ended in trouble)


def told_state_violations(callers, record, trouble):
    """Texts of what runners had said or shown and gateways did not follow.
    `trouble` lists address, begin and end in ms of what was done to
    gateways."""
    sender = {attempt: seen["address"] for attempt, seen in callers.seen.items()}
    return (crash_violations(record, sender, trouble) +
            crash_violations(record, sender, trouble, "fatal_part",
                             PART_CRASHES_THAT_PROVE) +
            leaving_violations(callers, record, sender, trouble) +
            pause_violations(record, sender, trouble))


def crash_violations(record, sender, trouble, key="body",
                     proof=CRASHES_THAT_PROVE):
    """Requests that are alike in `key` ended runners `proof` times, and still
    run. A body counts only where no part of the prompt is the cause."""
    found = []
    causes = {crash[key] for crash in record["crashes"]
              if crash[key] and (key == "fatal_part" or
                                 not crash["fatal_part"])}
    for cause in sorted(causes):
        # An end that its gateway did not live to see tells nobody anything.
        seen = [crash["at_ms"] for crash in record["crashes"]
                if crash[key] == cause and not in_trouble(
                    sender[crash["attempt"]], crash["at_ms"] + 1000, trouble,
                    2000)]
        if len(seen) < proof:
            continue
        proved = sorted(seen)[proof - 1] + TIME_TO_KNOW_MS
        # Where all were killed nobody is left who knows.
        if all_in_trouble(sender, proved - TIME_TO_KNOW_MS, trouble):
            continue
        later = [run for run in record["runs"]
                 if run["ran"] and run[key] == cause and
                 run["at_ms"] > proved and not in_trouble(
                     sender[run["attempt"]], run["at_ms"], trouble,
                     TIME_TO_KNOW_MS)]
        if len(later) > RUNS_ALLOWED_LATER:
            found.append(f"{cause!r} ran {len(later)} times after end {proof}")
    return found


def all_in_trouble(sender, since_ms, trouble):
    """True where each gateway was killed or stopped since then."""
    return {a for a, _, ended in trouble if ended >= since_ms} >= \
        set(sender.values())


def leaving_violations(callers, record, sender, trouble):
    found = []
    told = {}    # gateway and runner: when a caller first had its word
    for seen in callers.seen.values():
        if "told_leaving" in seen:
            runner, at_ms = seen["told_leaving"]
            key = (seen["address"], runner)
            told[key] = min(at_ms, told.get(key, at_ms))
    for run in record["runs"]:
        address = sender.get(run["attempt"])
        since = told.get((address, run["target"]))
        if since is None or not run["ran"]:
            continue
        late_ms = callers.seen[run["attempt"]]["began"] * 1000 - since
        excused = any(a == address and ended >= since
                      for a, _, ended in trouble)
        if late_ms > SAID_LEAVING_LIMIT_MS and not excused:
            found.append(f"{run['attempt']}: sent to {run['target']} "
                         f"{late_ms:.0f} ms after its word that it leaves")
    return found


def pause_violations(record, sender, trouble):
    found = []
    for asked in record["runs"]:
        if not asked["pause_s"] or asked["attempt"] not in sender:
            continue
        address = sender[asked["attempt"]]
        begin = asked["at_ms"] + PAUSE_BEGINS_MS
        end = asked["at_ms"] + asked["pause_s"] * 1000
        if any(a == address and ended >= asked["at_ms"] and began <= end
               for a, began, ended in trouble):
            continue
        inside = [run for run in record["runs"]
                  if run["target"] == asked["target"] and
                  sender.get(run["attempt"]) == address and
                  begin <= run["at_ms"] <= end]
        if len(inside) > REQUESTS_IN_PAUSE:
            found.append(f"{len(inside)} requests of {address} reached "
                         f"{asked['target']} in a pause of "
                         f"{asked['pause_s']} s")
    return found


# A limit holds from this time after a runner first names it, over each window,
# for gateways that had passed on such an answer so long before.
LIMIT_BEGINS_MS = 3000
LIMIT_WINDOW_MS = 4000
TIME_TO_HEAR_MS = 500


def allowed_in_window(per_second):
    """What the users' rule allows."""
    return 1.5 * per_second * LIMIT_WINDOW_MS / 1000 + 5


def aimed_in_window(per_second):
    """What gateways that nothing happens to send: the limit, one at the edge,
    and two for requests that take longer than others to reach the runner."""
    return per_second * LIMIT_WINDOW_MS / 1000 + 3


def limit_spans(runs):
    """Spans in which a runner's answers name a limit all the while: begin, end
    and the highest that it names; `runs` are those of one lifetime."""
    spans = []
    open_span = None
    for run in sorted((r for r in runs if r["head_ms"] >= 0),
                      key=lambda r: r["head_ms"]):
        if run["limit"] < 0:
            open_span = None
            continue
        if open_span is None:
            open_span = [run["head_ms"], run["head_ms"], run["limit"]]
            spans.append(open_span)
        open_span[1] = run["head_ms"]
        open_span[2] = max(open_span[2], run["limit"])
    return spans


def limit_violations(callers, record, trouble, allowed=allowed_in_window):
    """A runner that names a limit gets no more from all gateways together that
    it had told, but for those that were killed, stopped or cut off. `trouble`
    lists address, begin and end in ms."""
    sender = {attempt: seen["address"] for attempt, seen in callers.seen.items()}
    by_target = collections.defaultdict(list)
    for run in record["runs"]:
        if run["attempt"] in sender:
            by_target[run["target"]].append(run)
    found = []
    for target, runs in sorted(by_target.items()):
        for span in limit_spans(runs):
            found += broken_limit(target, runs, span, sender, trouble, allowed)
    return found


def broken_limit(target, runs, span, sender, trouble, allowed):
    first, last, limit = span
    told = {}    # gateway: when an answer first told it
    for run in runs:
        if first <= run["head_ms"] <= last and run["limit"] >= 0:
            address = sender[run["attempt"]]
            told[address] = min(run["head_ms"], told.get(address, last))
    for end in sorted(run["at_ms"] for run in runs):
        begin = end - LIMIT_WINDOW_MS
        # What was sent before an answer could tell anybody is nobody's fault.
        begin = max(begin, first + TIME_TO_HEAR_MS)
        if not first + LIMIT_BEGINS_MS <= end <= last:
            continue
        counts = {a for a, at in told.items() if at <= end - TIME_TO_HEAR_MS
                  and not was_in_trouble(a, begin, end, trouble)}
        inside = [run for run in runs if begin < run["at_ms"] <= end and
                  sender[run["attempt"]] in counts]
        if len(inside) > allowed(limit):
            return [f"limit: {target} names {limit} a second and got "
                    f"{len(inside)} requests in 4 s, allowed "
                    f"{allowed(limit):.1f}"]
    return []


# Part of a limit that is used while more is asked for than it allows.
LEAST_USE = 0.9


def unused_limits(record, named, begin_ms, end_ms):
    """Runners that got less than they take while work for them waited; `named`
    has their limits. One request at each edge of the time does not count."""
    found = []
    for target, limit in named.items():
        got = sum(run["target"] == target and begin_ms <= run["at_ms"] < end_ms
                  for run in record["runs"])
        wanted = LEAST_USE * limit * (end_ms - begin_ms) / 1000 - 1
        if got < wanted:
            found.append(f"limit: {target} takes {limit} a second and got {got} "
                         f"requests in {(end_ms - begin_ms) / 1000:.1f} s")
    return found


def was_in_trouble(address, begin_ms, end_ms, trouble):
    return any(a == address and began <= end_ms and
               begin_ms <= ended + LIMIT_BEGINS_MS
               for a, began, ended in trouble)


class Disturbances:
    """What was done from outside, in ms of the machine's monotonic clock."""

    def __init__(self):
        self.kills = {}     # address: when it was killed
        self.stops = {}     # address: when it was sent SIGTERM
        self.links = {}     # runner: spans in which its link was cut or silent
        self.closing = {}   # runner: spans in which its answers have no length
        self.frozen = []    # address, begin and end
        self.timeouts = []  # of the versions in their order: when and which


# An instance may end a request so much before its time is over.
TIME_MARGIN_MS = 150
# Newer versions than this may not be in force yet at a request's begin.
TIME_TO_CONFIGURE_MS = 5000
SENT_IN_TIME_MS = 3000
# The last sixth of the shortest grace period that is set.
GRACE_RUNS_OUT_MS = 4166
# A closed connection crosses a request that was not read sooner than this.
TIME_TO_CROSS_MS = 500


def time_of(seen, timeouts):
    """The shortest time that a request may have, in ms."""
    began_ms = seen["began"] * 1000
    shortest = seen["time_ms"]
    for place, (since, timeout) in enumerate(timeouts):
        until = timeouts[place + 1][0] if place + 1 < len(timeouts) \
            else began_ms
        if since <= began_ms <= until + TIME_TO_CONFIGURE_MS:
            shortest = min(shortest, timeout)
    return shortest


def ends_by_time_or_process(seen, ended_ms, disturbed):
    """True where the caller's time was over, its instance was killed, or the
    grace period of a planned stop ran out."""
    began_ms = seen["began"] * 1000
    if ended_ms - began_ms >= \
            time_of(seen, disturbed.timeouts) - TIME_MARGIN_MS:
        return True
    address = seen["address"]
    if any(began_ms <= at <= ended_ms for at in
           disturbed.kills.get(address, ())):
        return True
    return any(began_ms <= at + SENT_IN_TIME_MS and
               at + GRACE_RUNS_OUT_MS <= ended_ms
               for at in disturbed.stops.get(address, ()))


def is_harmed(run, ended_ms, links):
    """True where the link to the run's target was cut or silent in the time of
    the run."""
    first_life = run["target"].split(".")[0]
    return any(begin <= ended_ms and run["at_ms"] <= end
               for begin, end in links.get(first_life, ()))


def has_failed(run, ended_ms, links):
    return run["end"] == "broke_off" or run["status"] >= 300 or \
        is_harmed(run, ended_ms, links)


def goes_on(run, all_of_them):
    """True where no other run has spoken after it: this is the one, or one of
    those, that the answer could have gone on with."""
    spoke = max(run["at_ms"], run["last_event_ms"])
    return not any(other is not run and other["last_event_ms"] > spoke
                   for other in all_of_them)


def cannot_be_proved_whole(run, ended_ms, closing, crashes):
    """An answer without length ends with its connection. Where its runner's
    process ends before the gateway has asked whether it lives, the whole answer
    looks like one that was cut."""
    first_life = run["target"].split(".")[0]
    has_no_length = any(begin <= run["at_ms"] <= end
                        for begin, end in closing.get(first_life, ()))
    return has_no_length and any(
        crash["target"] == run["target"] and
        run["last_event_ms"] <= crash["at_ms"] <= ended_ms
        for crash in crashes)


def has_ended_its_target(seen, runs):
    """No target can finish a request that ends each one that runs it."""
    is_fatal = seen.get("fatal_part") or \
        seen.get("body", "").startswith("fatal")
    return is_fatal and any(run["end"] == "broke_off" for run in runs)


def cut_answer_violations(callers, record, disturbed):
    """An answer that has begun is finished. It may end otherwise only with its
    caller's time, its instance, or with all targets that could go on with it:
    neither a living target's silence nor planned work is a reason."""
    runs = collections.defaultdict(list)
    for run in record["runs"]:
        if run["ran"]:
            runs[run["attempt"]].append(run)
    found = []
    for attempt, seen in callers.seen.items():
        if seen["status"] != "cut" or not seen["head"] or not seen["events"]:
            continue
        ended_ms = seen["ended"] * 1000
        if ends_by_time_or_process(seen, ended_ms, disturbed) or \
                has_ended_its_target(seen, runs[attempt]):
            continue
        living = [run for run in runs[attempt]
                  if goes_on(run, runs[attempt]) and
                  not has_failed(run, ended_ms, disturbed.links) and
                  not cannot_be_proved_whole(run, ended_ms, disturbed.closing,
                                             record.get("crashes", ()))]
        if living:
            last = living[-1]
            heard = max(last["at_ms"], last["last_event_ms"])
            found.append(
                f"cut answer: {attempt} ({seen['path']}) at {seen['address']} "
                f"ended with {seen['events']} events after "
                f"{seen['took']:.2f} s, though {last['target']} lived "
                f"({last['end']}, silent for {ended_ms - heard:.0f} ms)")
    return found


def unanswered_violations(callers, record, disturbed):
    """What an instance has read whole is answered: its connection is not just
    closed. It was read where a runner got it, or where it stood there for
    longer than it takes a close to cross it."""
    reached = {run["attempt"] for run in record["runs"]}
    found = []
    for attempt, seen in callers.seen.items():
        if seen["status"] != "cut" or seen["head"] or seen["sent"] is None:
            continue
        ended_ms = seen["ended"] * 1000
        waited_ms = ended_ms - seen["sent"] * 1000
        if attempt not in reached and waited_ms <= TIME_TO_CROSS_MS:
            continue
        # A frozen process has not read what stood there.
        is_frozen = any(a == seen["address"] and begin * 1000 <= ended_ms and
                        seen["began"] <= end
                        for a, begin, end in disturbed.frozen)
        if is_frozen or ends_by_time_or_process(seen, ended_ms, disturbed):
            continue
        found.append(f"unanswered: {attempt} ({seen['path']}) at "
                     f"{seen['address']} closed {waited_ms:.0f} ms after it "
                     "was sent")
    return found


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
