#!/usr/bin/env python3
"""The command-line tool against servers whose answers have no end.

    tool_limits_test.py BUILD

Guards against a tool that takes memory, or runs, until the server closes."""

import json
import pathlib
import resource
import socket
import subprocess
import sys
import threading
import unittest

TIME_LIMIT_S = 60
# The tool keeps 64 MiB of an answer's text at most, and copies some of it.
MEMORY_LIMIT_KB = 400 * 1024
HEAD = b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"
TOOL = None


class Server:
    """Answers /v1/entry with its own address, unless that is to be endless,
    and everything else with a body that has no end."""

    def __init__(self, status=b"200 OK", entry_is_endless=False):
        self.status = status
        self.entry_is_endless = entry_is_endless
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.answer, args=(connection,),
                             daemon=True).start()

    def answer(self, connection):
        with connection:
            try:
                request = connection.recv(65536)
                while request:
                    if b"/v1/entry" in request and not self.entry_is_endless:
                        self.answer_entry(connection)
                        request = connection.recv(65536)
                        continue
                    connection.sendall(b"HTTP/1.1 " + self.status + b"\r\n" +
                                       HEAD)
                    while True:
                        connection.sendall(CHUNK)
            except OSError:
                return

    def answer_entry(self, connection):
        body = json.dumps({"addresses": [self.address], "keep_ms": 1000,
                           "ticket_prefix": "t"}).encode()
        connection.sendall(b"HTTP/1.1 200 OK\r\n"
                           b"Content-Type: application/json\r\n"
                           b"Content-Length: %d\r\n\r\n%s" % (len(body), body))

    def close(self):
        self.listener.close()


class EndlessAnswers(unittest.TestCase):
    def run_tool(self, server, *words):
        """The tool ends by itself, with a failure, and within its memory."""
        done = subprocess.run(
            [TOOL, *words], stdin=subprocess.DEVNULL, capture_output=True,
            timeout=TIME_LIMIT_S, check=False)
        server.close()
        self.assertGreater(done.returncode, 0, done.stderr)
        peak_kb = resource.getrusage(resource.RUSAGE_CHILDREN).ru_maxrss
        self.assertLess(peak_kb, MEMORY_LIMIT_KB)

    def caller(self, server, *words):
        self.run_tool(server, *words, f"--entry={server.address}",
                      "--workspace=w", "--profile=p")

    def test_entry(self):
        self.caller(Server(entry_is_endless=True), "send", "hello")

    def test_streamed_answer(self):
        self.caller(Server(), "send", "hello")

    def test_reason_of_a_refusal(self):
        self.caller(Server(status=b"503 X"), "send", "hello")

    def test_reply_of_a_service(self):
        self.caller(Server(), "call", "s", "/path")

    def test_operators_reply(self):
        server = Server()
        self.run_tool(server, "config", "show",
                      f"--operators={server.address}", "--token=t")


if __name__ == "__main__":
    TOOL = str(pathlib.Path(sys.argv.pop(1)) / "pollenstream")
    unittest.main()
