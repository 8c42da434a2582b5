"""A day of the bench taken apart: which of its troubles costs what.

The parts of a day are the day without any trouble, with its bursts alone, with
each other trouble alone, with its final fault alone, and whole. Bursts belong to
the load, so that every part but the first has them."""

import copy

# Names of the parts that every day has.
CALM = "calm"
BURSTS = "bursts alone"
FINAL_FAULT = "final fault"
WHOLE = "whole"
BURST_KIND = "burst"


def parts_of(day):
    """(name, day) of each part of a day, the calm one first."""
    bursts = [f for f in day.get("faults", []) if f["kind"] == BURST_KIND]
    yield CALM, reduced(day, [], [])
    if bursts:
        yield BURSTS, reduced(day, bursts, [])
    others = [f for f in day.get("faults", []) if f["kind"] != BURST_KIND]
    for fault in others:
        yield label(fault), reduced(day, [*bursts, fault], [])
    for step in day.get("plan", []):
        yield label(step), reduced(day, bursts, [step])
    if "closing" in day:
        part = reduced(day, bursts, [])
        part["closing"] = day["closing"]
        yield FINAL_FAULT, part
    yield WHOLE, day


def label(trouble):
    """A name that tells two troubles of one kind apart."""
    how = f" {trouble['how']}" if trouble.get("how") else ""
    return f"{trouble['kind']}{how} at {trouble['at']}"


def reduced(day, faults, plan):
    part = copy.deepcopy(day)
    part.pop("closing", None)
    part["faults"] = faults
    part["plan"] = plan
    return part


def to_toml(day):
    """The day as a file of its own."""
    return "".join(f"{key} = {toml_value(value)}\n" for key, value in day.items())


def toml_value(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, (int, float)):
        return repr(value)
    if isinstance(value, str):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
    if isinstance(value, list):
        return "[" + ", ".join(toml_value(v) for v in value) + "]"
    if isinstance(value, dict):
        inner = ", ".join(f"{k} = {toml_value(v)}" for k, v in value.items())
        return "{ " + inner + " }"
    raise TypeError(f"no TOML for {type(value).__name__}")
