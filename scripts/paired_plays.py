"""Two versions of the product played on the same days with the same seeds.

A play is one run of the users' bench: a version, a deployment, a day, a seed.
What differs between two versions is judged in pairs of plays, because days
differ far more from one another than versions do."""

import dataclasses
import math
import pathlib
import statistics
import tomllib

# Deployments of this many instances or more are played by their small twins
# unless told otherwise: a whole day takes ten minutes of processor time.
LARGE_DEPLOYMENT = 200
CALM_SLOT = "quiet"


class BadInput(Exception):
    """What the developer asked for cannot be done; the text says why."""


@dataclasses.dataclass(frozen=True)
class Deployment:
    """A site file of the bench, with what plays of it need to know."""

    name: str
    path: pathlib.Path
    days: dict  # the name of each day, and whether it is calm
    is_large: bool


@dataclasses.dataclass(frozen=True)
class Play:
    """One run of the bench: which version, what, with which luck."""

    version: str
    deployment: str
    day: str
    seed: int

    @property
    def pair(self):
        return (self.deployment, self.day, self.seed)


@dataclasses.dataclass(frozen=True)
class KindRow:
    """What callers of one kind of request got, in requests."""

    asked: int
    in_time: int
    late: int
    refused: int
    failed: int
    worth: float


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What a play gave."""

    worth: float
    rules: tuple  # names of the broken rules
    prices: float  # in parts of the day's worth
    kinds: dict


def read_deployment(path):
    """Reads a site file; raises BadInput with its name where that fails."""
    path = pathlib.Path(path)
    try:
        content = tomllib.loads(path.read_text(encoding="utf-8"))
        days = {d["name"]: d["slot"] == CALM_SLOT for d in content["day"]}
        instances = sum(m.get("count", 1) for m in content["machines"])
    except OSError as failure:
        raise BadInput(f"{path}: cannot be read: {failure.strerror}") from failure
    except (tomllib.TOMLDecodeError, KeyError, TypeError) as failure:
        raise BadInput(f"{path}: not a site file: {failure}") from failure
    return Deployment(path.stem, path, days, instances >= LARGE_DEPLOYMENT)


def choose_days(deployment, wanted):
    """The days that `wanted` names: heavy, calm, all, or names by commas."""
    if wanted == "all":
        return list(deployment.days)
    if wanted in ("heavy", "calm"):
        calm = wanted == "calm"
        return [n for n, is_calm in deployment.days.items() if is_calm == calm]
    names = wanted.split(",")
    unknown = [n for n in names if n not in deployment.days]
    if unknown:
        raise BadInput(f"{deployment.name} has no day {', '.join(unknown)}")
    return names


def read_seeds(text):
    """The seeds of `4`, which is 1 to 4, or of `3-6`."""
    first, dash, last = text.partition("-")
    try:
        seeds = range(int(first), int(last) + 1) if dash else range(1, int(first) + 1)
    except ValueError:
        seeds = range(0)
    if not seeds:
        raise BadInput(f"seeds {text}: neither a count nor a range such as 3-6")
    return list(seeds)


def read_outcome(report):
    """What a report of the bench says; raises KeyError where it lacks a part."""
    kinds = {
        row["name"]: KindRow(
            row["n"], row["in_aim"], row["late"], row["refused"], row["failed"],
            row["worth"] or 0.0,
        )
        for row in report["classes"]
    }
    prices = sum(price for _, _, price in report["prices"])
    return Outcome(report["G"], tuple(sorted(report["breaks"])), prices, kinds)


@dataclasses.dataclass(frozen=True)
class Comparison:
    """The paired difference between two versions on one deployment."""

    pairs: int
    first: float  # mean worth of the first version
    second: float
    difference: float  # second less first
    error: float  # standard error of the difference; 0 for one pair
    worst_day: str
    worst_difference: float
    rules: tuple  # (version, day, seed, rule) for each broken rule


def paired(outcomes, deployment, versions):
    """(pair, first outcome, second outcome) of all pairs that are complete."""
    first, second = versions
    for play, outcome in sorted(
        outcomes.items(), key=lambda item: (item[0].pair, item[0].version)
    ):
        if play.version != first or play.deployment != deployment:
            continue
        other = outcomes.get(dataclasses.replace(play, version=second))
        if other is not None:
            yield play.pair, outcome, other


def compare(outcomes, deployment, versions):
    """The comparison on one deployment; None where no pair is complete."""
    pairs = list(paired(outcomes, deployment, versions))
    if not pairs:
        return None
    differences = [b.worth - a.worth for _, a, b in pairs]
    by_day = {}
    for (_, day, _), a, b in pairs:
        by_day.setdefault(day, []).append(b.worth - a.worth)
    means = {day: statistics.mean(values) for day, values in by_day.items()}
    worst = min(means, key=means.get)
    error = (
        statistics.stdev(differences) / math.sqrt(len(differences))
        if len(differences) > 1
        else 0.0
    )
    broken = tuple(
        (play.version, play.day, play.seed, rule)
        for play, outcome in outcomes.items()
        if play.deployment == deployment
        for rule in outcome.rules
    )
    return Comparison(
        len(pairs),
        statistics.mean(a.worth for _, a, _ in pairs),
        statistics.mean(b.worth for _, _, b in pairs),
        statistics.mean(differences),
        error,
        worst,
        means[worst],
        broken,
    )


def sum_kinds(outcomes):
    """The rows by kind of several plays added up; worth is the mean."""
    total = {}
    for outcome in outcomes:
        for name, row in outcome.kinds.items():
            total.setdefault(name, []).append(row)
    return {
        name: KindRow(
            sum(r.asked for r in rows),
            sum(r.in_time for r in rows),
            sum(r.late for r in rows),
            sum(r.refused for r in rows),
            sum(r.failed for r in rows),
            statistics.mean(r.worth for r in rows),
        )
        for name, rows in total.items()
    }


def per_hundred(part, whole):
    return 100.0 * part / whole if whole else 0.0


def comparison_lines(outcomes, deployments, versions):
    """The tables that a developer reads, as lines."""
    yield (
        f"{'deployment':26} {'pairs':>5} {'first':>6} {'second':>6} "
        f"{'change':>7} {'error':>6}  {'worst day':10} {'change':>7}  rules broken"
    )
    for name in deployments:
        row = compare(outcomes, name, versions)
        if row is None:
            yield f"{name:26} no pair was played"
            continue
        rules = " ".join(f"{v}:{d}:{s}:{r}" for v, d, s, r in row.rules) or "none"
        yield (
            f"{name:26} {row.pairs:5d} {row.first:6.3f} {row.second:6.3f} "
            f"{row.difference:+7.4f} {row.error:6.4f}  {row.worst_day:10} "
            f"{row.worst_difference:+7.4f}  {rules}"
        )
    yield ""
    yield (
        f"{'deployment':26} {'kind':18} {'in time, in 100':>17} "
        f"{'late':>13} {'refused':>13} {'failed':>13}"
    )
    for name in deployments:
        pairs = list(paired(outcomes, name, versions))
        before = sum_kinds(a for _, a, _ in pairs)
        after = sum_kinds(b for _, _, b in pairs)
        for kind, row in before.items():
            other = after[kind]
            shares = [
                f"{per_hundred(getattr(row, part), row.asked):6.1f} "
                f"{per_hundred(getattr(other, part), other.asked):6.1f}"
                for part in ("in_time", "late", "refused", "failed")
            ]
            yield f"{name:26} {kind:18} {shares[0]:>17} " + " ".join(shares[1:])
        if pairs:
            prices = [
                statistics.mean(pair[side].prices for pair in pairs)
                for side in (1, 2)
            ]
            yield f"{name:26} prices, of worth   {prices[0]:.4f} {prices[1]:.4f}"
