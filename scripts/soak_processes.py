"""A randomised soak of real processes: gateways, the platform's stand-in and
a proxy on every connection, with faults from outside in series and
overlapping. What must hold is checked from what callers and runners saw.

    scripts/soak-processes [BUILD] [--seeds=A-B] [--seconds=N] [--gateways=N]
    scripts/soak-processes BUILD --scenario=NAME [--seeds=A-B]
    scripts/soak-processes BUILD --scenario=recover [--gateways=N] [--beside=A,B]
        [--plan=FIELD=VALUE,...]
    scripts/soak-processes BUILD --scenario=frozen-reader [--gateways=N]

Each seed draws its faults from itself; how processes interleave it cannot
fix. Logs of a seed that fails are kept and their folder is printed. A scenario
is one scripted case."""

import argparse
import asyncio
import json
import pathlib
import random
import shutil
import signal
import sys

import broken_answers_scenario
import cut_heads_scenario
import cut_targets_scenario
import endless_answers_scenario
import endless_requests_scenario
import frozen_reader_scenario
import late_start_scenario
import long_prompts_scenario
import odd_records_scenario
import planned_stop_scenario
import platform_check
import recover_scenario
import unread_answers_scenario
from platform_fleet import Callers, PlatformFleet

# Seeds that ever failed, with the cause; they run first.
REGRESSION_SEEDS = pathlib.Path(__file__).with_name("soak_seeds.txt")


class Faults:
    """Draws faults and undoes them; several may be under way at once."""

    def __init__(self, fleet, callers, draw, as_first_played):
        self.fleet = fleet
        self.callers = callers
        self.draw = draw
        self.done = []
        self.disturbed = []      # spans in which the store was not itself
        self.pauses = []         # address, begin and end of stopped instances
        self.loop = asyncio.get_running_loop()
        self.runners_left = 0
        # A seed that once failed is played with the faults of that time.
        self.newer_faults = [] if as_first_played else [
            self.runner_pauses, self.fatal_request, self.fatal_request,
            self.runner_slow, self.runner_falls_silent,
            self.silent_beside_planned_work, self.silent_beside_planned_work,
            self.silent_beside_planned_work, self.configurations,
            self.reload_changed, self.runner_lost, self.runner_limited,
            self.engines_limited, self.fatal_part, self.fatal_part,
            self.answers_end_by_close, self.answers_end_by_close]
        self.wrong = {}          # runner: what is wrong with it, by fault
        self.ways_to_leave = ["says", "silently"]
        if not as_first_played:
            self.ways_to_leave.append("answers")
        self.fatal = 0           # requests that end the runners that run them
        self.fatal_parts = 0     # parts of prompts that do so
        self.gateway_trouble = []    # address, begin and end

    async def run(self, seconds):
        end = self.loop.time() + seconds
        tasks = []
        while self.loop.time() < end:
            fault = self.draw.choice([
                self.kill, self.kill, self.pause, self.stop, self.reload,
                self.kill_many, self.reset, self.delay, self.one_way,
                self.silence_runner, self.runner_fails, self.runner_mute,
                self.runner_cuts, self.leave, self.store_away, self.store_slow,
                self.store_loses, self.store_forgets, self.configure,
                *self.newer_faults])
            self.done.append(fault.__name__)
            tasks.append(asyncio.create_task(fault()))
            await asyncio.sleep(0.2 + self.draw.random() * 0.8)
        await asyncio.gather(*tasks)

    def span(self):
        return 0.3 + self.draw.random() * 1.5

    def one(self):
        return self.draw.choice(self.fleet.gateways)

    def proxy(self):
        return self.draw.choice(list(self.fleet.proxies.values()))

    def note_trouble(self, gateway, began):
        self.gateway_trouble.append((gateway.addresses["front"],
                                     int(began * 1000),
                                     int(self.loop.time() * 1000)))

    async def restart(self, gateway):
        await asyncio.sleep(0.2)
        if gateway.child.poll() is not None:
            gateway.start()
            self.note_trouble(gateway, self.loop.time() - 0.3)

    async def kill(self):
        gateway = self.one()
        gateway.signal(signal.SIGCONT)
        gateway.signal(signal.SIGKILL)
        gateway.child.wait()
        await self.restart(gateway)

    async def kill_many(self):
        for gateway in list(self.fleet.gateways):
            if self.draw.random() < 0.6:
                gateway.signal(signal.SIGKILL)
        await asyncio.sleep(0.2)
        for gateway in self.fleet.gateways:
            await self.restart(gateway)

    async def pause(self):
        gateway = self.one()
        began = self.loop.time()
        gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(self.span())
        gateway.signal(signal.SIGCONT)
        self.pauses.append((gateway.addresses["front"], began,
                            self.loop.time()))
        self.note_trouble(gateway, began)

    async def stop(self):
        gateway = self.one()
        if gateway.stopping:
            return
        gateway.stopping = True
        began = self.loop.time()
        gateway.signal(signal.SIGTERM)
        for _ in range(60):
            if gateway.child.poll() is not None:
                break
            await asyncio.sleep(0.1)
        gateway.signal(signal.SIGKILL)
        gateway.child.wait()
        self.note_trouble(gateway, began)
        await self.restart(gateway)

    async def reload(self):
        self.one().signal(signal.SIGHUP)

    async def reload_changed(self):
        """New settings, and back to the usual ones after a time."""
        gateway = self.one()
        gateway.bounds.update(
            retry_budget_slack=self.draw.choice([0, 3, 30]),
            ttl_max_s=self.draw.choice([1, 2]),
            grace_period_s=self.draw.choice([5, 6]))
        for _ in range(self.draw.randint(1, 3)):
            gateway.write_settings()
            gateway.signal(signal.SIGHUP)
            await asyncio.sleep(0.1 + self.draw.random() * 0.5)
        await asyncio.sleep(self.span())
        gateway.bounds = dict(gateway.USUAL_BOUNDS)
        gateway.write_settings()
        gateway.signal(signal.SIGHUP)

    async def reset(self):
        self.proxy().reset_some(self.draw, 0.5)

    async def delay(self):
        proxy = self.proxy()
        proxy.delay = 0.05 + self.draw.random() * 0.2
        await asyncio.sleep(self.span())
        proxy.delay = 0.0

    async def one_way(self):
        proxy = self.proxy()
        name = self.draw.choice(["silent_to", "silent_from"])
        setattr(proxy, name, True)
        began = self.loop.time()
        await asyncio.sleep(self.span())
        setattr(proxy, name, False)
        proxy.note_harm(began, self.loop.time())
        proxy.reset_some(self.draw, 1)

    async def silence_runner(self):
        proxy = self.proxy()
        proxy.silent_to = proxy.silent_from = True
        began = self.loop.time()
        await asyncio.sleep(self.span())
        proxy.silent_to = proxy.silent_from = False
        proxy.note_harm(began, self.loop.time())
        proxy.reset_some(self.draw, 1)

    async def runner_fault(self, name=None, seconds=None, **what):
        """Beside what else is wrong with the runner at that time."""
        name = name or self.draw.choice(list(self.fleet.proxies))
        wrong = self.wrong.setdefault(name, [])
        wrong.append(what)
        await self.tell_runner(name)
        await asyncio.sleep(seconds or self.span())
        wrong.remove(what)
        await self.tell_runner(name)

    async def tell_runner(self, name):
        wrong = {key: value for one in self.wrong.get(name, [])
                 for key, value in one.items()}
        await self.fleet.control("/runner", {"id": name, **wrong})

    async def runner_fails(self):
        await self.runner_fault(fail=0.5, shed=0.3)

    async def runner_mute(self):
        await self.runner_fault(mute=True)

    async def runner_cuts(self):
        await self.runner_fault(cut=0.5)

    async def runner_pauses(self):
        await self.runner_fault(shed=0.6, pause_s=self.draw.choice([0.7, 1.5]))

    async def runner_slow(self):
        await self.runner_fault(slow=self.draw.randint(3, 12))

    def limit(self):
        return self.draw.choice([0, 0.4, 1.3, 2.7, 8])

    async def runner_limited(self):
        """Long enough for the windows over which limits are judged."""
        await self.runner_fault(seconds=5 + self.draw.random() * 3,
                                limit=self.limit())

    async def engines_limited(self):
        """All of them: there is no other place for what is asked."""
        await asyncio.gather(*(
            self.runner_fault(name, 5 + self.draw.random() * 2,
                              limit=self.limit())
            for name in self.fleet.proxies if name.startswith("i-model")))

    def silence(self):
        return 1.2 + self.draw.random() * 1.8

    async def hold(self, name):
        await self.fleet.control("/runner", {
            "id": name, "hold_ms": int(self.silence() * 1000)})

    async def runner_falls_silent(self):
        await self.hold(self.draw.choice(list(self.fleet.proxies)))

    async def engines_fall_silent(self):
        """Most engines in the middle of what they do; the others may have no
        room. They live."""
        engines = [n for n in self.fleet.proxies if n.startswith("i-model")]
        slow = self.draw.randint(2, 12)
        others_full = self.draw.random() < 0.7
        faults = [asyncio.create_task(self.runner_fault(name, 0.5, slow=slow))
                  for name in engines]
        await asyncio.sleep(self.draw.random() * 0.4)
        for name in engines:
            if self.draw.random() < 0.7:
                await self.hold(name)
            elif others_full:
                faults.append(asyncio.create_task(
                    self.runner_fault(name, 3, shed=1)))
        await asyncio.gather(*faults)

    async def silent_beside_planned_work(self):
        silent = asyncio.create_task(self.engines_fall_silent())
        planned = []
        for _ in range(self.draw.randint(1, 3)):
            work = self.draw.choice([self.stop, self.reload_changed,
                                     self.configurations, self.runner_lost])
            self.done.append(work.__name__)
            planned.append(asyncio.create_task(work()))
            await asyncio.sleep(self.draw.random() * 0.9)
        await asyncio.gather(silent, *planned)

    async def configurations(self):
        """Changes one upon the other, as an operator's tool writes them."""
        end = self.loop.time() + 1 + self.draw.random() * 3
        while self.loop.time() < end:
            await self.fleet.configure(
                timeout_ms=self.draw.choice([3200, 3600, 4000, 6000]),
                idle_timeout_ms=self.draw.choice([1500, 5000, 15000]),
                header_timeout_ms=self.draw.choice([1000, 3000]))
            await asyncio.sleep(0.15 + self.draw.random() * 0.25)
        await self.fleet.configure()

    async def runner_lost(self):
        """Ends, and is back under another id."""
        name = self.draw.choice(list(self.fleet.proxies))
        await self.fleet.control("/runner", {"id": name, "end": True})

    async def fatal_request(self):
        """One request that ends each runner that runs it, again and again at
        any gateway."""
        self.fatal += 1
        body = f"fatal {self.fatal}"
        path = self.draw.choice(["/stream/x", "/once-stream/x"])
        # For longer than gateways may take to know what it does.
        end = self.loop.time() + 6 + self.draw.random() * 3
        while self.loop.time() < end:
            address = self.one().addresses["front"]
            await self.callers.send(address, {}, path, body)
            await asyncio.sleep(self.draw.random() * 0.4)

    async def fatal_part(self):
        """Requests that share a part that ends runners, no two alike, at any
        gateway."""
        await self.send_fatal_part(6 + self.draw.random() * 3)

    async def send_fatal_part(self, seconds):
        self.fatal_parts += 1
        part = f"dead{self.fatal_parts:04x}"
        end = self.loop.time() + seconds
        sent = 0
        while self.loop.time() < end:
            sent += 1
            address = self.one().addresses["front"]
            path = self.draw.choice(["/stream/x", "/once-stream/x"])
            await self.callers.send(address, {}, path,
                                    f"own {part} {sent}", fatal_part=part)
            await asyncio.sleep(self.draw.random() * 0.4)

    async def answers_end_by_close(self):
        """The answers of some runners have neither length nor chunks."""
        began = self.loop.time()
        chosen = [proxy for proxy in self.fleet.proxies.values()
                  if self.draw.random() < 0.5]
        for proxy in self.fleet.proxies.values():
            proxy.close_delimited = proxy in chosen
        await asyncio.sleep(2 + self.draw.random() * 3)
        for proxy in self.fleet.proxies.values():
            proxy.close_delimited = False
        for proxy in chosen:
            proxy.note_closing(began, self.loop.time())

    async def leave(self):
        engines = [n for n in self.fleet.proxies if n.startswith("i-model")]
        if self.runners_left + 2 >= len(engines):
            return
        name = engines[self.runners_left]
        self.runners_left += 1
        how = self.draw.choice(self.ways_to_leave)
        await self.fleet.control("/runner", {"id": name, "leave": how})
        await self.tell_runner(name)

    async def store_fault(self, **what):
        began = self.loop.time()
        await self.fleet.control("/store", what)
        await asyncio.sleep(self.span())
        await self.fleet.control("/store", {})
        self.disturbed.append((began, self.loop.time()))

    async def store_away(self):
        await self.store_fault(**self.draw.choice(
            [{"silent": True}, {"busy": True}]))
        self.fleet.store_proxy.reset_some(self.draw, 1)

    async def store_slow(self):
        await self.store_fault(slow_ms=300)

    async def store_loses(self):
        await self.store_fault(lost=0.5,
                               late_ms=self.draw.choice([0, 1000]))

    async def store_forgets(self):
        await self.fleet.control("/forget", {})

    async def configure(self):
        await self.fleet.configure()


def disturbed_spans(faults, margin_s=4.0):
    """On the stand-in's clock, which is the machine's monotonic one."""
    return [(int((a - 1) * 1000), int((b + margin_s) * 1000))
            for a, b in faults.disturbed]


def disturbances(fleet, faults=None):
    """What the checks of answers need to know."""
    done = platform_check.Disturbances()
    for gateway in fleet.gateways:
        address = gateway.addresses["front"]
        done.kills[address] = gateway.kills
        done.stops[address] = gateway.stops
    done.links = {name: p.harmed for name, p in fleet.proxies.items()}
    done.closing = {name: p.closing for name, p in fleet.proxies.items()}
    done.frozen = faults.pauses if faults else []
    done.timeouts = fleet.timeouts
    return done


def answer_violations(callers, record, done):
    return (platform_check.cut_answer_violations(callers, record, done) +
            platform_check.unanswered_violations(callers, record, done))


async def silent_engine(build, seed):
    """One gateway, two engines. The one that answers falls silent in the middle
    and goes on later; the other has no room, and configurations come."""
    draw = random.Random(seed)
    fleet = PlatformFleet(build, seed, gateways=1, engines=2, plain=0,
                          timeout_ms=30000)
    found = ["no engine fell silent in the middle"]
    try:
        await fleet.start()
        callers = Callers(fleet, draw)
        for _ in range(5):
            if await one_silence(fleet, callers, draw):
                found = answer_violations(
                    callers, await fleet.control("/record"),
                    disturbances(fleet))
                found += callers.violations
                found += [f"{name}: answered {seen['status']}"
                          for name, seen in callers.seen.items()
                          if seen["status"] != 200]
                break
    finally:
        fleet.stop()
    return report(seed, fleet, found, f"seed {seed}: engine silent, "
                  f"{fleet.version} configurations, {len(found)} violations")


async def one_silence(fleet, callers, draw):
    """One request; true where its engine fell silent before its answer's end.
    The gaps are long, so that it does but on a machine that stands still."""
    engines = list(fleet.proxies)
    for name in engines:
        await fleet.control("/runner", {"id": name, "slow": 20})
    address = fleet.gateways[0].addresses["front"]
    sent = asyncio.create_task(
        callers.send(address, {}, "/stream/x", time_ms=30000))
    attempt = f"a{callers.serial + 1}"
    wanted = draw.randint(0, 2) * 300
    running = []
    while not running and not sent.done():
        await asyncio.sleep(0.02)
        runs = (await fleet.control("/record"))["runs"]
        running = [run for run in runs if run["attempt"] == attempt and
                   run["last_event_ms"] >= run["at_ms"] + wanted]
    if sent.done():
        return False
    silent = running[0]["target"]
    for name in engines:
        how = {"hold_ms": 1500} if name == silent else {"slow": 20, "shed": 1}
        await fleet.control("/runner", {"id": name, **how})
    is_open = not sent.done()
    while not sent.done():
        await fleet.configure(timeout_ms=draw.choice([30000, 60000]),
                              idle_timeout_ms=draw.choice([1500, 15000]))
        await asyncio.sleep(0.15 + draw.random() * 0.25)
    return is_open


LIMITS_SECONDS = 12


async def limits(build, seed):
    """All runners name limits; at even seeds a gateway is killed or frozen
    every two seconds and the users' rule holds; at odd seeds nothing happens and
    each runner gets what it takes, no more and not much less."""
    draw = random.Random(seed)
    fleet = PlatformFleet(build, seed, gateways=4, engines=3, plain=2)
    try:
        await fleet.start()
        callers = Callers(fleet, draw, count=24)
        load = asyncio.create_task(callers.run())
        faults = Faults(fleet, callers, draw, False)
        is_calm = seed % 2 == 1
        named = {name: draw.choice([1.3, 2.7, 6]) for name in fleet.proxies}
        for name, limit in named.items():
            await fleet.control("/runner", {"id": name, "limit": limit})
        began_ms = faults.loop.time() * 1000
        for _ in range(LIMITS_SECONDS // 2):
            if not is_calm:
                await draw.choice([faults.kill, faults.pause])()
            await asyncio.sleep(2)
        ended_ms = faults.loop.time() * 1000
        callers.stop = True
        await load
        record = await fleet.control("/record")
        found = platform_check.limit_violations(
            callers, record, faults.gateway_trouble,
            platform_check.aimed_in_window if is_calm
            else platform_check.allowed_in_window)
        if is_calm:
            found += platform_check.unused_limits(
                record, named, began_ms + platform_check.LIMIT_BEGINS_MS,
                ended_ms)
        found += [f"{g.name}: invariant" for g in fleet.gateways
                  if "invariant" in g.log()]
    finally:
        fleet.stop()
    return report(seed, fleet, found, f"seed {seed}: limits {named}, "
                  f"{len(callers.seen)} requests, {len(found)} violations")


FATAL_PART_SECONDS = 12


async def fatal_parts(build, seed):
    """Requests with a part that ends runners come all the time, no two alike;
    at even seeds a gateway is killed or frozen every two seconds. Few of them
    run, and the others are served once the part is known."""
    draw = random.Random(seed)
    fleet = PlatformFleet(build, seed, gateways=4, engines=8, plain=2)
    try:
        await fleet.start()
        callers = Callers(fleet, draw, count=12)
        load = asyncio.create_task(callers.run())
        faults = Faults(fleet, callers, draw, False)
        sender = asyncio.create_task(
            faults.send_fatal_part(FATAL_PART_SECONDS))
        for _ in range(FATAL_PART_SECONDS // 2):
            if seed % 2 == 0:
                await draw.choice([faults.kill, faults.pause])()
            await asyncio.sleep(2)
        before = len(callers.seen)
        await asyncio.sleep(2)
        callers.stop = True
        await asyncio.gather(load, sender)
        record = await fleet.control("/record")
        found = platform_check.told_state_violations(
            callers, record, faults.gateway_trouble)
        found += callers.violations
        if not any(crash["fatal_part"] for crash in record["crashes"]):
            found.append("no runner ended by a part")
        after = [one for one in list(callers.seen.values())[before:]
                 if not one["fatal_part"]]
        served = sum(one["status"] == 200 for one in after)
        if served < 0.9 * len(after):
            found.append(f"only {served} of {len(after)} sound ones served")
        found += [f"{g.name}: invariant" for g in fleet.gateways
                  if "invariant" in g.log()]
        ended = sum(bool(c["fatal_part"]) for c in record["crashes"])
    finally:
        fleet.stop()
    return report(seed, fleet, found, f"seed {seed}: {ended} runners ended by "
                  f"a part, {len(callers.seen)} requests, {len(found)} "
                  "violations")


def report(seed, fleet, found, text, faults=()):
    """Prints what came of a seed; its folder is kept where something broke."""
    print(text, flush=True)
    if found:
        for one in found[:10]:
            print(f"  {one}")
        print(f"  faults: {' '.join(faults)}")
        print(f"  logs: {fleet.folder}", flush=True)
    else:
        shutil.rmtree(fleet.folder)
    return not found


async def soak_one(build, seed, seconds, gateways, as_first_played):
    draw = random.Random(seed)
    fleet = PlatformFleet(build, seed, gateways=gateways, engines=6, plain=2)
    found = []
    try:
        await fleet.start()
        callers = Callers(fleet, draw, count=3 * gateways)
        load = asyncio.create_task(callers.run())
        faults = Faults(fleet, callers, draw, as_first_played)
        await faults.run(seconds)
        await fleet.control("/store", {})
        await asyncio.sleep(3)
        before = len(callers.seen)
        await asyncio.sleep(2)
        callers.stop = True
        await load
        await asyncio.sleep(4.2)
        record = await fleet.control("/record")
        found = platform_check.violations(callers, record,
                                          disturbed_spans(faults),
                                          pauses=faults.pauses)
        found += platform_check.told_state_violations(
            callers, record, faults.gateway_trouble)
        found += platform_check.limit_violations(
            callers, record, faults.gateway_trouble)
        found += answer_violations(callers, record,
                                   disturbances(fleet, faults))
        after = [one for one in list(callers.seen.values())[before:]
                 if not one["body"].startswith("fatal") and
                 not one["fatal_part"]]
        served = sum(one["status"] == 200 for one in after)
        if served < 0.5 * len(after):
            found.append(f"only {served} of {len(after)} served after the "
                         "faults were over")
        if record["reserved"] or record["open"]:
            found.append(f"left at the runners: {record['reserved']} tokens, "
                         f"{record['open']} requests")
        found += [f"{g.name}: invariant" for g in fleet.gateways
                  if "invariant" in g.log() or "violat" in g.log()]
        statuses = sorted({str(s["status"]) for s in callers.seen.values()})
        text = (f"seed {seed}: {len(callers.seen)} requests, "
                f"{len(faults.done)} faults, answers {','.join(statuses)}, "
                f"{len(found)} violations")
        if found:
            keep_what_was_seen(fleet, callers, record)
    finally:
        fleet.stop()
    return report(seed, fleet, found, text, faults.done)


def keep_what_was_seen(fleet, callers, record):
    """Beside the gateways' logs, for whoever looks into a violation."""
    folder = pathlib.Path(fleet.folder)
    (folder / "callers.json").write_text(json.dumps(callers.seen, indent=0))
    (folder / "runners.json").write_text(json.dumps(record, indent=0))


def known_seeds():
    seeds = []
    for line in REGRESSION_SEEDS.read_text().splitlines():
        if line and not line.startswith("#"):
            seeds.append(int(line.split()[0]))
    return seeds


async def recover(build, seed, gateways, chosen):
    """All gateways are killed or lose power, and come back."""
    found, text, fleet = await recover_scenario.play(build, seed, gateways,
                                                     **chosen)
    return report(seed, fleet, found, text)


async def cut_targets(build, seed, gateways, chosen):
    """Some gateways lose the path to all targets."""
    found, text, fleet = await cut_targets_scenario.play(build, seed, gateways,
                                                         **chosen)
    return report(seed, fleet, found, text)


def chosen_plan(options):
    """The fields of the scenario's plan that are not drawn."""
    pairs = (pair.split("=") for pair in
             (options.plan.split(",") if options.plan else []))
    read_field = (cut_targets_scenario if options.scenario == "cut-targets"
                  else recover_scenario).read_field
    chosen = {name: read_field(name, text) for name, text in pairs}
    if options.beside:
        chosen["beside"] = options.beside.split(",")
    return chosen


async def frozen_reader(build, seed, gateways):
    """Instances that read the store freeze around changes."""
    found, text, fleet = await frozen_reader_scenario.play(build, seed,
                                                           gateways)
    return report(seed, fleet, found, text)


def played_by(module):
    """A scenario that a module of its own plays."""
    async def play_one(build, seed):
        found, text, fleet = await module.play(build, seed)
        return report(seed, fleet, found, text)
    return play_one


SIZED_SCENARIOS = {"frozen-reader": frozen_reader}
PLANNED_SCENARIOS = {"recover": recover, "cut-targets": cut_targets}
SCENARIOS = {"silent-engine": silent_engine, "limits": limits,
             "fatal-parts": fatal_parts,
             "broken-answers": played_by(broken_answers_scenario),
             "cut-heads": played_by(cut_heads_scenario),
             "endless-answers": played_by(endless_answers_scenario),
             "endless-requests": played_by(endless_requests_scenario),
             "late-start": played_by(late_start_scenario),
             "long-prompts": played_by(long_prompts_scenario),
             "planned-stop": played_by(planned_stop_scenario),
             "odd-records": played_by(odd_records_scenario),
             "unread-answers": played_by(unread_answers_scenario)}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build", nargs="?", default="build-test")
    parser.add_argument("--seeds", default="1-3")
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--gateways", type=int, default=4)
    parser.add_argument("--scenario",
                        choices=[*SCENARIOS, *SIZED_SCENARIOS,
                                 *PLANNED_SCENARIOS])
    parser.add_argument("--beside", help="troubles of `recover`, not drawn")
    parser.add_argument("--plan", help="fields of the plan of `recover` or "
                        "`cut-targets`, not drawn")
    options = parser.parse_args()
    first, last = (int(x) for x in options.seeds.split("-"))
    if options.scenario:
        chosen = chosen_plan(options)

        def play(seed):
            if options.scenario in PLANNED_SCENARIOS:
                return PLANNED_SCENARIOS[options.scenario](
                    options.build, seed, options.gateways, chosen)
            if options.scenario in SIZED_SCENARIOS:
                return SIZED_SCENARIOS[options.scenario](
                    options.build, seed, options.gateways)
            return SCENARIOS[options.scenario](options.build, seed)

        held = [asyncio.run(play(seed)) for seed in range(first, last + 1)]
        print(f"scenario: {sum(held)} of {len(held)} seeds held")
        sys.exit(0 if all(held) else 1)
    seeds = [(seed, True) for seed in known_seeds()]
    seeds += [(seed, False) for seed in range(first, last + 1)]
    good = sum(asyncio.run(soak_one(options.build, seed, options.seconds,
                                    options.gateways, as_first_played))
               for seed, as_first_played in seeds)
    print(f"soak: {good} of {len(seeds)} seeds held")
    sys.exit(0 if good == len(seeds) else 1)


if __name__ == "__main__":
    main()
