"""Tests of scripts/fleet.py without daemons."""

import contextlib
import io
import pathlib
import socket
import sys
import tempfile
import unittest

SCRIPTS = pathlib.Path(__file__).resolve().parent.parent.parent / "scripts"
sys.path.insert(0, str(SCRIPTS))

from fleet import RESERVED, Fleet, reserve_port  # noqa: E402


def tearDownModule():
    for holder in RESERVED:
        holder.close()


class Ports(unittest.TestCase):
    def test_no_port_is_given_out_twice(self):
        count = 300
        ports = [reserve_port() for _ in range(count)]
        others = [socket.socket() for _ in range(count)]
        for other in others:
            other.bind(("127.0.0.1", 0))
        taken = {other.getsockname()[1] for other in others}
        for other in others:
            other.close()
        self.assertEqual(len(set(ports)), count)
        self.assertFalse(taken & set(ports))

    def test_who_is_told_of_a_port_can_listen_there(self):
        port = reserve_port()
        with socket.create_server(("127.0.0.1", port)):
            with socket.create_connection(("127.0.0.1", port), timeout=1):
                pass


class Starts(unittest.TestCase):
    def test_a_process_that_ends_at_its_start_is_reported_with_its_log(self):
        with tempfile.TemporaryDirectory() as build:
            program = pathlib.Path(build) / "pollenstream-standin"
            program.write_text("#!/bin/sh\necho no address; exit 3\n")
            program.chmod(0o755)
            printed = io.StringIO()
            with self.assertRaisesRegex(RuntimeError, "has ended with 3"), \
                    contextlib.redirect_stdout(printed), Fleet(build):
                self.fail("a fleet without a store has started")
        self.assertIn("no address", printed.getvalue())


if __name__ == "__main__":
    unittest.main()
