#!/usr/bin/env python3
"""The command-line tool against servers that end inside an answer.

    tool_cut_answers_test.py BUILD

Guards against part of a reply that the tool prints as all of it, with the exit
status of a success."""

import json
import pathlib
import subprocess
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] /
                       "scripts"))

import raw_server                                               # noqa: E402

TIME_LIMIT_S = 60
# Of a text, which no parser finds incomplete.
PART = b"part of a reply"
TOOL = None


def with_length(body):
    return (b"HTTP/1.1 200 OK\r\nConnection: close\r\n"
            b"Content-Length: %d\r\n\r\n" % len(body) +
            body)


def without_length(body):
    return b"HTTP/1.1 200 OK\r\n\r\n" + body


class CutAnswers(unittest.TestCase):
    def run_tool(self, answer, end, *words):
        """Runs the tool against a server that answers so."""
        server = raw_server.RawServer(raw_server.Replies((answer, end)))
        done = subprocess.run(
            [TOOL, *(word.replace("SERVER", server.address) for word in words)],
            stdin=subprocess.DEVNULL, capture_output=True, text=True,
            timeout=TIME_LIMIT_S, check=False)
        server.close()
        return done

    def call_service(self, reply, end):
        """The entry is answered whole, the call itself with `reply`."""
        def answer(head):
            if b"/v1/entry" not in head:
                return reply
            address = head.split(b"Host: ")[1].split(b"\r\n")[0].decode()
            return with_length(json.dumps(
                {"addresses": [address], "ticket_prefix": "t"}).encode())
        return self.run_tool(answer, end, "call", "s", "/path",
                             "--entry=SERVER", "--workspace=w", "--profile=p")

    def test_whole_reply_of_a_service(self):
        done = self.call_service(with_length(PART), raw_server.hold)
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertIn(PART.decode(), done.stdout)

    def test_reply_of_a_service_without_length(self):
        done = self.call_service(without_length(PART), raw_server.finish)
        self.assertGreater(done.returncode, 0, done.stdout)
        self.assertNotIn(PART.decode(), done.stdout)

    def test_reply_of_a_service_that_is_reset(self):
        done = self.call_service(without_length(PART), raw_server.reset)
        self.assertGreater(done.returncode, 0, done.stdout)

    def test_entry_that_is_cut(self):
        done = self.run_tool(without_length(b'{"addresses": ["127.0'),
                             raw_server.finish, "entry", "--entry=SERVER",
                             "--workspace=w")
        self.assertGreater(done.returncode, 0, done.stdout)

    def test_stream_that_is_cut_between_events(self):
        event = (b'data: {"choices": [{"delta": {"content": "word"}}]}\n\n')

        def answer(head):
            if b"/v1/entry" not in head:
                return without_length(event)
            address = head.split(b"Host: ")[1].split(b"\r\n")[0].decode()
            return with_length(json.dumps({"addresses": [address]}).encode())
        done = self.run_tool(answer, raw_server.finish, "send", "hello",
                             "--entry=SERVER", "--workspace=w", "--profile=p")
        self.assertGreater(done.returncode, 0, done.stdout)

    def test_operators_reply_that_is_cut(self):
        done = self.run_tool(without_length(b'{"revision": 1, "documents": {'),
                             raw_server.finish, "config", "show",
                             "--operators=SERVER", "--token=t")
        self.assertGreater(done.returncode, 0, done.stdout)

    def test_head_alone_to_an_operators_call(self):
        done = self.run_tool(without_length(b""), raw_server.finish, "drain",
                             "--operators=SERVER", "--token=t")
        self.assertGreater(done.returncode, 0, done.stdout)


if __name__ == "__main__":
    TOOL = str(pathlib.Path(sys.argv.pop(1)) / "pollenstream")
    unittest.main()
