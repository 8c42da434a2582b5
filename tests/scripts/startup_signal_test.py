"""Processes that are starting and are told to read their settings again.

    startup_signal_test.py BUILD"""

import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest

BUILD = pathlib.Path(sys.argv.pop(1))
SETTINGS = """node_name=front-1
zone=hall-a
ip_address=127.0.0.1
listen_addresses.front=127.0.0.1:1
listen_addresses.ready=127.0.0.1:2
listen_addresses.control=127.0.0.1:3
listen_addresses.directory=127.0.0.1:4
platform.address=127.0.0.1:5
internal_port_range=6,7
"""


class StartupSignal(unittest.TestCase):
    def signalled(self, program, text):
        """Exit status of `program`, told to reload before its settings came."""
        with tempfile.TemporaryDirectory() as folder:
            # The process waits here until its settings are written.
            pipe = pathlib.Path(folder) / "settings"
            os.mkfifo(pipe)
            child = subprocess.Popen(
                [BUILD / program, f"--settings={pipe}", "--check"],
                stderr=subprocess.DEVNULL)
            with open(pipe, "w", encoding="utf-8") as settings:
                child.send_signal(signal.SIGHUP)
                settings.write(text)
            return child.wait(timeout=60)

    def test_a_signal_to_reload_does_not_end_a_starting_gateway(self):
        self.assertEqual(self.signalled("pollenstream-gateway", SETTINGS), 0)

    def test_a_signal_to_reload_does_not_end_a_starting_daemon(self):
        findings = 2
        self.assertEqual(self.signalled("pollenstreamd", "x"), findings)


if __name__ == "__main__":
    unittest.main()
