"""Tests of scripts/compare: figures by hand, and whole runs on a stand-in of
the bench that plays nothing and writes reports."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(REPOSITORY / "scripts"))

import paired_plays  # noqa: E402

SITE = """
machines = [ { class = "front", count = 3 } ]
[[day]]
name = "quiet-1"
slot = "quiet"
[[day]]
name = "heavy-1"
slot = "trouble"
"""

# Worth falls with the seed, and differs by nothing between versions. The play
# of seed 9 takes until it is stopped; that of seed 8 gives no report.
BENCH = """#!/usr/bin/env python3
import json, pathlib, sys, time
words = sys.argv[1:]
if words[0] == "build":
    sys.exit(0)
seed = int(words[words.index("--seed") + 1])
journal = pathlib.Path("journal")
journal.mkdir(exist_ok=True)
if seed == 8:
    print("the day was given up")
    sys.exit(1)
if seed == 9:
    time.sleep(600)
report = pathlib.Path(words[words.index("--report") + 1])
report.write_text(json.dumps({
    "G": 0.9 - seed / 100, "breaks": {"TWICE": 1} if seed == 3 else {},
    "prices": [["machines", 1.0, 0.02], ["calls", 5, 0.01]],
    "classes": [{"name": "brief", "n": 10, "in_aim": 8, "late": 1, "refused": 1,
                 "failed": 0, "worth": 0.8}]}))
"""


def outcome(worth, rules=()):
    row = paired_plays.KindRow(10, 8, 1, 1, 0, 0.8)
    return paired_plays.Outcome(worth, tuple(rules), 0.03, {"brief": row})


def play(version, day, seed):
    return paired_plays.Play(version, "site", day, seed)


class PairedFigures(unittest.TestCase):
    def test_difference_and_error_are_those_of_the_pairs(self):
        outcomes = {
            play("a", "d", 1): outcome(0.50), play("b", "d", 1): outcome(0.52),
            play("a", "d", 2): outcome(0.90), play("b", "d", 2): outcome(0.96),
        }
        row = paired_plays.compare(outcomes, "site", ("a", "b"))
        self.assertEqual(row.pairs, 2)
        self.assertAlmostEqual(row.difference, 0.04)
        # Deviations of 0.02 and 0.06 from 0.04, by hand.
        self.assertAlmostEqual(row.error, 0.02)

    def test_a_play_without_its_pair_counts_for_nothing(self):
        outcomes = {
            play("a", "d", 1): outcome(0.5), play("b", "d", 1): outcome(0.6),
            play("a", "d", 2): outcome(0.1),
        }
        row = paired_plays.compare(outcomes, "site", ("a", "b"))
        self.assertEqual(row.pairs, 1)
        self.assertAlmostEqual(row.difference, 0.1)
        self.assertEqual(row.error, 0)

    def test_the_worst_day_is_named(self):
        outcomes = {
            play("a", "d", 1): outcome(0.5), play("b", "d", 1): outcome(0.6),
            play("a", "e", 1): outcome(0.5), play("b", "e", 1): outcome(0.4),
        }
        row = paired_plays.compare(outcomes, "site", ("a", "b"))
        self.assertEqual(row.worst_day, "e")
        self.assertAlmostEqual(row.worst_difference, -0.1)

    def test_broken_rules_are_kept_also_without_a_pair(self):
        outcomes = {
            play("a", "d", 1): outcome(0.5), play("b", "d", 1): outcome(0.5),
            play("b", "d", 2): outcome(0.5, ["LEAK"]),
        }
        row = paired_plays.compare(outcomes, "site", ("a", "b"))
        self.assertEqual(row.rules, (("b", "d", 2, "LEAK"),))

    def test_seeds_are_a_count_or_a_range(self):
        self.assertEqual(paired_plays.read_seeds("3"), [1, 2, 3])
        self.assertEqual(paired_plays.read_seeds("5-6"), [5, 6])
        for bad in ("0", "x", "6-5", "1-y"):
            with self.assertRaises(paired_plays.BadInput):
                paired_plays.read_seeds(bad)


class WholeRuns(unittest.TestCase):
    def setUp(self):
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.folder = pathlib.Path(scratch.name)
        self.site = self.folder / "small.toml"
        self.site.write_text(SITE)
        self.bench = self.folder / "bench"
        self.bench.write_text(BENCH)
        self.bench.chmod(0o755)
        self.work = self.folder / "work"

    def words(self, first, second, *more):
        return [str(REPOSITORY / "scripts" / "compare"), first, second,
                "--bench", str(self.bench), "--sites", str(self.site), *more]

    def run_compare(self, *more):
        return subprocess.run(
            self.words(*more), capture_output=True, text=True, check=False,
            env=self.environment())

    def environment(self):
        """Work trees go into this test's folder, so that it knows its own."""
        return {**os.environ, "TMPDIR": str(self.folder)}

    def left_behind(self):
        """Work trees of this test that git lists, and folders that it made."""
        listed = subprocess.run(
            ["git", "-C", str(REPOSITORY), "worktree", "list"],
            capture_output=True, text=True, check=True)
        trees = [t for t in listed.stdout.splitlines() if str(self.folder) in t]
        return trees + [f.name for f in self.folder.glob("compare-*")]

    def test_a_version_against_itself_differs_by_nothing(self):
        done = self.run_compare("HEAD", "HEAD", "--seeds", "2", "--json")
        self.assertEqual(done.returncode, 0, done.stderr)
        row = json.loads(done.stdout)["HEAD again"]["small"]
        self.assertEqual((row["pairs"], row["difference"]), (2, 0))
        self.assertEqual(self.left_behind(), [])

    def test_the_table_names_broken_rules_and_what_callers_got(self):
        done = self.run_compare("HEAD", "HEAD", "--seeds", "3-3", "--days", "all")
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertIn("heavy-1:3:TWICE", done.stdout)
        self.assertRegex(done.stdout, r"brief +80\.0 +80\.0 +10\.0 +10\.0")

    def test_a_play_without_report_is_named_and_the_rest_stands(self):
        done = self.run_compare("HEAD", "HEAD", "--seeds", "7-8")
        self.assertEqual(done.returncode, 1)
        self.assertIn("the day was given up", done.stderr)
        self.assertRegex(done.stdout, r"small +1 ")

    def test_a_run_that_is_interrupted_keeps_what_it_has(self):
        self.stop_with(signal.SIGINT)

    def test_a_run_that_is_terminated_keeps_what_it_has(self):
        self.stop_with(signal.SIGTERM)

    def stop_with(self, which):
        rows = self.folder / "rows.csv"
        run = subprocess.Popen(
            self.words("HEAD", "HEAD", "--seeds", "7-9", "--jobs", "2",
                       "--csv", str(rows)),
            stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True,
            env=self.environment())
        # The four plays of seeds 7 and 8 are over when the progress says so.
        while not (line := run.stderr.readline()).startswith("4 of"):
            self.assertNotEqual(line, "")
        run.send_signal(which)
        out, _ = run.communicate()
        self.assertRegex(out, r"small +1 ")
        self.assertEqual(len(rows.read_text().splitlines()), 3)
        self.assertEqual(self.left_behind(), [])

    def test_bad_input_is_one_clear_line(self):
        cases = [
            (["HEAD", "no-such-commit"], "no-such-commit: no commit"),
            (["HEAD", "HEAD", "--days", "no-day"], "has no day no-day"),
            (["HEAD", "HEAD", "--seeds", "none"], "seeds none"),
            (["HEAD", "HEAD", "--bench", "/no/bench"], "/no/bench: not a program"),
            (["HEAD", "HEAD", "--settings", "/no/file"], "/no/file: cannot be read"),
            (["HEAD", "HEAD", "--sites", str(self.bench)], "not a site file"),
        ]
        for words, text in cases:
            with self.subTest(text):
                done = self.run_compare(*words)
                self.assertEqual(done.returncode, 2)
                self.assertEqual(len(done.stderr.splitlines()), 1, done.stderr)
                self.assertIn(text, done.stderr)

    def test_a_build_that_fails_leaves_nothing_behind(self):
        self.bench.write_text("#!/bin/sh\necho broken\nexit 1\n")
        done = self.run_compare("HEAD", "HEAD")
        self.assertEqual(done.returncode, 2)
        self.assertIn("the build of", done.stderr)
        self.assertEqual(self.left_behind(), [])


if __name__ == "__main__":
    unittest.main()
