"""Tests of scripts/platform_check.py: which ends of answers are violations."""

import pathlib
import sys
import types
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).parents[2] / "scripts"))
import platform_check

AT = "127.0.0.2:1"


def seen(**changes):
    """A stream that was cut after 2 s, with three events passed on."""
    return {"path": "/stream/x", "status": "cut", "address": AT, "head": 200,
            "events": 3, "began": 100.0, "sent": 100.0, "ended": 102.0,
            "took": 2.0, "time_ms": 4000, **changes}


def run(**changes):
    """Its run, given up 1.9 s after its last event."""
    return {"attempt": "a1", "target": "i-model1", "ran": True, "status": 200,
            "at_ms": 100_000, "last_event_ms": 100_100, "end": "let_go",
            "ended_ms": 102_000, **changes}


def disturbed(**changes):
    done = platform_check.Disturbances()
    done.timeouts = [(0, 4000)]
    vars(done).update(changes)
    return done


class CutAnswers(unittest.TestCase):
    def found(self, runs, done=None, **changes):
        callers = types.SimpleNamespace(seen={"a1": seen(**changes)})
        return len(platform_check.cut_answer_violations(
            callers, {"runs": runs}, done or disturbed()))

    def test_a_living_target_is_no_reason(self):
        self.assertEqual(self.found([run()]), 1)
        self.assertEqual(self.found([run(end="open")]), 1)
        self.assertEqual(self.found([run(end="answered")]), 1)

    def test_a_target_that_broke_off_is_one(self):
        self.assertEqual(self.found([run(end="broke_off")]), 0)

    def test_a_broken_link_is_one(self):
        broken = {"i-model1": [(100_500, 101_000)]}
        self.assertEqual(self.found([run()], disturbed(links=broken)), 0)
        other = {"i-model2": [(100_500, 101_000)]}
        self.assertEqual(self.found([run()], disturbed(links=other)), 1)
        before = {"i-model1": [(99_000, 99_900)]}
        self.assertEqual(self.found([run()], disturbed(links=before)), 1)

    def found_beside(self, crashes, closing, **changes):
        callers = types.SimpleNamespace(seen={"a1": seen(**changes)})
        record = {"runs": [run(end="answered", last_event_ms=101_900)],
                  "crashes": crashes}
        return len(platform_check.cut_answer_violations(
            callers, record, disturbed(closing=closing)))

    def test_an_answer_without_length_whose_runner_has_ended_is_one(self):
        ended_ms = int(seen()["ended"] * 1000)
        crash = {"target": "i-model1", "at_ms": ended_ms - 1}
        closing = {"i-model1": [(100_000, 103_000)]}
        self.assertEqual(self.found_beside([crash], closing), 0)
        # With a length it could have been told that it is whole.
        self.assertEqual(self.found_beside([crash], {}), 1)
        self.assertEqual(self.found_beside([], closing), 1)
        later = {**crash, "at_ms": ended_ms + 1}
        self.assertEqual(self.found_beside([later], closing), 1)
        other = {**crash, "target": "i-model1.2"}
        self.assertEqual(self.found_beside([other], closing), 1)

    def test_a_request_that_has_ended_its_target_is_one(self):
        ended = run(end="broke_off")
        lives = run(target="i-model2", at_ms=101_200, last_event_ms=-1)
        self.assertEqual(self.found([ended, lives]), 1)
        self.assertEqual(self.found([ended, lives], fatal_part="dead1"), 0)
        self.assertEqual(self.found([ended, lives], body="fatal 1"), 0)
        self.assertEqual(self.found([lives], fatal_part="dead1"), 1)

    def test_the_silent_one_lives_where_the_next_one_fails(self):
        fails = run(target="i-model2", at_ms=101_200, last_event_ms=-1,
                    status=500, end="answered")
        self.assertEqual(self.found([run(), fails]), 1)

    def test_the_next_one_lives_where_the_first_one_broke(self):
        mute = run(target="i-model2", at_ms=101_200, last_event_ms=-1,
                   status=0)
        self.assertEqual(self.found([run(end="broke_off"), mute]), 1)

    def test_an_answer_that_went_on_elsewhere_ends_with_that_one(self):
        spoke = run(target="i-model2", at_ms=101_200, last_event_ms=101_500)
        self.assertEqual(self.found([run(), spoke | {"end": "broke_off"}]), 0)
        self.assertEqual(self.found([run(), spoke]), 1)

    def test_the_callers_time_is_one(self):
        self.assertEqual(self.found([run()], ended=103.9), 0)
        self.assertEqual(self.found([run()], ended=103.8), 1)

    def test_the_time_of_a_version_that_came_later_is_none(self):
        known = disturbed(timeouts=[(0, 4000), (99_000, 1500)])
        self.assertEqual(self.found([run()], known), 0)
        later = disturbed(timeouts=[(0, 4000), (100_500, 1500)])
        self.assertEqual(self.found([run()], later), 1)

    def test_a_kill_is_one_and_only_of_its_instance(self):
        self.assertEqual(self.found([run()], disturbed(kills={AT: [101_000]})),
                         0)
        self.assertEqual(self.found([run()], disturbed(kills={"b": [101_000]})),
                         1)
        self.assertEqual(self.found([run()], disturbed(kills={AT: [99_000]})),
                         1)

    def test_a_planned_stop_is_one_only_when_its_grace_runs_out(self):
        self.assertEqual(self.found([run()], disturbed(stops={AT: [100_500]})),
                         1)
        self.assertEqual(self.found([run()], disturbed(stops={AT: [97_500]})),
                         0)
        # Sent too late to be owed an end.
        self.assertEqual(self.found([run()], disturbed(stops={AT: [96_500]})),
                         1)

    def test_what_has_not_begun_is_not_judged_here(self):
        self.assertEqual(self.found([run()], events=0), 0)


class Unanswered(unittest.TestCase):
    def found(self, runs, done=None, **changes):
        callers = types.SimpleNamespace(
            seen={"a1": seen(head=0, events=0, **changes)})
        return len(platform_check.unanswered_violations(
            callers, {"runs": runs}, done or disturbed()))

    def test_what_reached_a_runner_is_answered(self):
        self.assertEqual(self.found([run()], ended=100.1), 1)
        self.assertEqual(self.found([run(ran=False)], ended=100.1), 1)

    def test_what_stood_there_is_answered(self):
        self.assertEqual(self.found([], ended=100.6), 1)

    def test_a_close_may_cross_a_request(self):
        self.assertEqual(self.found([], ended=100.1), 0)

    def test_a_connection_that_was_refused_has_brought_nothing(self):
        self.assertEqual(self.found([], sent=None), 0)

    def test_a_frozen_or_killed_instance_has_not_read_it(self):
        frozen = disturbed(frozen=[(AT, 100.5, 101.5)])
        self.assertEqual(self.found([], frozen), 0)
        self.assertEqual(self.found([], disturbed(kills={AT: [101_000]})), 0)



class Limits(unittest.TestCase):
    """A runner that names two a second: 17 in a window are allowed."""

    OTHER = "127.0.0.3:1"

    def found(self, times, trouble=(), limits=None):
        runs = [{"attempt": f"a{n}", "target": "i-model1", "at_ms": at,
                 "head_ms": at + 20, "limit": 2 if limits is None else limits(at)}
                for n, at in enumerate(times)]
        callers = types.SimpleNamespace(seen={
            f"a{n}": {"address": AT if n % 2 else self.OTHER}
            for n in range(len(times))})
        return len(platform_check.limit_violations(
            callers, {"runs": runs}, trouble))

    @staticmethod
    def every(pause, until=12_000):
        return list(range(0, until, pause))

    def test_a_runner_that_gets_what_it_takes_is_content(self):
        self.assertEqual(self.found(self.every(500)), 0)

    def test_all_gateways_count_together(self):
        self.assertEqual(self.found(self.every(200)), 1)

    def test_a_limit_that_is_not_used_is_found(self):
        def unused(times):
            runs = [{"target": "i-model1", "at_ms": at} for at in times]
            return len(platform_check.unused_limits(
                {"runs": runs}, {"i-model1": 2}, 3_000, 12_000))
        self.assertEqual(unused(self.every(520)), 0)
        self.assertEqual(unused(self.every(700)), 1)

    def test_a_gateway_that_was_killed_does_not_count(self):
        lost = [(AT, 3_000, 9_000)]
        self.assertEqual(self.found(self.every(200), lost), 0)

    def test_the_first_three_seconds_do_not_count(self):
        self.assertEqual(self.found(self.every(50, 2_900)), 0)

    def test_a_limit_that_was_taken_back_binds_nobody(self):
        self.assertEqual(
            self.found(self.every(200), limits=lambda at: -1), 0)
        self.assertEqual(
            self.found(self.every(200),
                       limits=lambda at: 2 if at < 2_000 else -1), 0)


if __name__ == "__main__":
    unittest.main()
