"""A server on loopback that answers with bytes as given and ends its
connections as told, whatever the rest of a request is."""

import contextlib
import socket
import struct
import threading
import time

# Small, so that a large request waits in its sender.
RECEIVE_BUFFER_BYTES = 8 * 1024
# For the other side to read the answer before its connection ends.
PAUSE_S = 0.2
HOLD_S = 20.0


def reset(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                          struct.pack("ii", 1, 0))
    connection.close()


def close_unread(connection):
    """The kernel resets a connection whose request is unread."""
    connection.close()


def finish(connection):
    """Ends the answer in an orderly way; the request stays unread."""
    connection.shutdown(socket.SHUT_WR)
    time.sleep(PAUSE_S)


def hold(connection):
    """Leaves the connection open until the other side closes it."""
    connection.settimeout(HOLD_S)
    while connection.recv(65536):
        pass


class Replies:
    """Replies in turn, of which the last is repeated: pairs of an answer, or a
    function of the request's head that returns one, and of the end of its
    connection, one of the functions above. Servers may share them."""

    def __init__(self, *replies):
        self.replies = list(replies)
        self.lock = threading.Lock()

    def next(self, head):
        with self.lock:
            answer, end = self.replies[0]
            if len(self.replies) > 1:
                self.replies.pop(0)
        return (answer(head) if callable(answer) else answer), end


class RawServer(threading.Thread):
    """Reads the head of each request only, sends the next reply and ends its
    connection."""

    def __init__(self, replies):
        super().__init__(daemon=True)
        self.replies = replies
        self.requests = 0
        self.socket = socket.socket()
        # The connections inherit it.
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                               RECEIVE_BUFFER_BYTES)
        self.socket.bind(("127.0.0.1", 0))
        self.socket.listen()
        self.address = "127.0.0.1:%d" % self.socket.getsockname()[1]
        self.start()

    def run(self):
        while True:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,),
                             daemon=True).start()

    def serve(self, connection):
        with connection, contextlib.suppress(OSError):
            head = self.read_head(connection)
            if not head:
                return      # a probe
            self.requests += 1
            answer, end = self.replies.next(head)
            connection.sendall(answer)
            time.sleep(PAUSE_S)
            end(connection)

    @staticmethod
    def read_head(connection):
        """Empty if the other side closes before its end."""
        head = b""
        while b"\r\n\r\n" not in head:
            more = connection.recv(1024)
            if not more:
                return b""
            head += more
        return head.partition(b"\r\n\r\n")[0]

    def close(self):
        self.socket.close()
