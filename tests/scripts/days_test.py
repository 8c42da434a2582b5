"""Tests of scripts/days on a stand-in of the bench: a row for every day."""

import pathlib
import shutil
import subprocess
import tempfile
import unittest

SCRIPT = pathlib.Path(__file__).parents[2] / "scripts" / "days"

# Prints the table of the users' bench for the day's name; fails where the day
# names a class that the deployment lacks, as the bench does.
BENCH = """#!/usr/bin/env bash
if grep -q no-such-class "$3"; then
  echo "bench: a trouble: no class no-such-class"
  exit 1
fi
name="$(sed -n 's/^name = "\\(.*\\)"$/\\1/p' "$3")"
echo "built in 0.1 s; 10 lines in 1 files"
echo "day                  own/srv  score  worth served refused failed  weakest"
if grep -q breaks "$3"; then
  echo "$name   6/17   0.00  0.800  0.902   0.001  0.009  x  BROKEN: LOST 1"
  echo "rules broken: LOST 1"
else
  echo "$name   6/17   0.91  0.912  0.974   0.000  0.003  worst windows 0.86"
fi
"""


class Days(unittest.TestCase):
    def rows_of(self, days):
        """What the script prints for each of `days`, by the file's name."""
        with tempfile.TemporaryDirectory() as folder:
            root = pathlib.Path(folder)
            (root / "scripts").mkdir()
            shutil.copy(SCRIPT, root / "scripts" / "days")
            (root / "deploy" / "days").mkdir(parents=True)
            for name, text in days.items():
                (root / "deploy" / "days" / f"{name}.toml").write_text(text)
            bench = root / "bench"
            bench.write_text(BENCH)
            bench.chmod(0o755)
            done = subprocess.run(
                [root / "scripts" / "days", bench, "site.toml"],
                capture_output=True, text=True, check=False)
        self.assertEqual(done.returncode, 0, done.stderr)
        rows = [line.split(maxsplit=1) for line in done.stdout.splitlines()]
        return {name: rest.strip() for name, rest in rows[1:]}

    def test_a_day_of_ours_has_a_row(self):
        rows = self.rows_of(
            {"a": 'name = "own-a"\nslot = "trouble"\nseed = 3\nfaults = []\n'})
        self.assertEqual(rows["a"].split(), ["0.912", "0.974", "none"])

    def test_a_day_of_another_name_without_slot_and_seed_has_a_row(self):
        rows = self.rows_of({"b": 'name = "deadly"\nfaults = []\n'})
        self.assertEqual(rows["b"].split(), ["0.912", "0.974", "none"])

    def test_broken_rules_are_named(self):
        rows = self.rows_of({"c": 'name = "deadly"\nfaults = ["breaks"]\n'})
        self.assertIn("BROKEN: LOST 1", rows["c"])

    def test_a_day_that_does_not_fit_does_not_end_the_others(self):
        rows = self.rows_of(
            {"d": 'name = "deadly"\nfaults = ["no-such-class"]\n',
             "e": 'name = "own-e"\nfaults = []\n'})
        self.assertIn("not played: bench: a trouble: no class", rows["d"])
        self.assertEqual(rows["e"].split(), ["0.912", "0.974", "none"])


if __name__ == "__main__":
    unittest.main()
