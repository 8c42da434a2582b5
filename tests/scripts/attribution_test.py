"""Tests of scripts/attribution: the parts of a day, and a whole run on a stand-in
of the bench whose worth falls with the troubles that a day has."""

import pathlib
import subprocess
import sys
import tempfile
import tomllib
import unittest

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(REPOSITORY / "scripts"))

import day_parts  # noqa: E402

DAY = {
    "name": "heavy-1",
    "slot": "trouble",
    "seed": 7,
    "light": True,
    "faults": [
        {"kind": "burst", "at": 1.0, "x": 2.5},
        {"kind": "srv_grey", "at": 4.0, "how": 'errors "one"'},
    ],
    "plan": [{"kind": "release", "at": 9.0}],
    "closing": {"kind": "kill_all"},
}

BENCH = """#!/usr/bin/env python3
import json, pathlib, sys, tomllib
words = sys.argv[1:]
if words[0] == "build":
    sys.exit(0)
day = tomllib.loads(pathlib.Path(words[2]).read_text())
troubles = len(day["faults"]) + len(day["plan"]) + ("closing" in day)
report = pathlib.Path(words[words.index("--report") + 1])
report.write_text(json.dumps({"G": 1 - troubles / 10, "breaks": {}, "prices": [],
                              "classes": []}))
"""


class Parts(unittest.TestCase):
    def test_each_trouble_stands_alone_beside_the_bursts(self):
        parts = dict(day_parts.parts_of(DAY))
        self.assertEqual(
            list(parts),
            ["calm", "bursts alone", 'srv_grey errors "one" at 4.0',
             "release at 9.0", "final fault", "whole"])
        self.assertEqual(parts["calm"]["faults"], [])
        grey = parts['srv_grey errors "one" at 4.0']
        self.assertEqual(
            [f["kind"] for f in grey["faults"]], ["burst", "srv_grey"])
        self.assertEqual(grey["plan"], [])
        self.assertNotIn("closing", grey)
        self.assertEqual(parts["whole"], DAY)

    def test_a_day_is_written_as_it_was(self):
        self.assertEqual(tomllib.loads(day_parts.to_toml(DAY)), DAY)


class WholeRun(unittest.TestCase):
    def test_the_table_says_what_each_part_costs(self):
        with tempfile.TemporaryDirectory() as scratch:
            folder = pathlib.Path(scratch)
            site = folder / "small.toml"
            site.write_text('machines = [ { class = "front", count = 3 } ]\n'
                            "[[day]]\n" + day_parts.to_toml(DAY))
            bench = folder / "bench"
            bench.write_text(BENCH)
            bench.chmod(0o755)
            done = subprocess.run(
                [str(REPOSITORY / "scripts" / "attribution"), "HEAD", str(site),
                 "heavy", "--bench", str(bench)],
                capture_output=True, text=True, check=False)
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertRegex(done.stdout, r"bursts alone +2 +0\.900 +\+0\.000")
        self.assertRegex(done.stdout, r"final fault +2 +0\.800 +-0\.100")
        self.assertRegex(done.stdout, r"whole +2 +0\.600 +-0\.300")

    def test_an_unknown_day_is_one_clear_line(self):
        with tempfile.TemporaryDirectory() as scratch:
            site = pathlib.Path(scratch) / "small.toml"
            site.write_text('machines = [ { class = "front", count = 3 } ]\n'
                            "[[day]]\n" + day_parts.to_toml(DAY))
            done = subprocess.run(
                [str(REPOSITORY / "scripts" / "attribution"), "HEAD", str(site),
                 "no-day", "--bench", "/bin/true"],
                capture_output=True, text=True, check=False)
        self.assertEqual(done.returncode, 2)
        self.assertEqual(done.stderr, "attribution: small has no day no-day\n")


if __name__ == "__main__":
    unittest.main()
