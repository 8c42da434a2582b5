"""Datagrams as of instances that do not exist, in CBOR."""

import socket
import time
import zlib

AT_ONCE = 4
PAUSE_S = 0.001             # the kernel loses what finds no room
MADE_UP_INSTANCES = 8
WORKS = 900                 # open requests in one datagram
PARTS = 6000                # of one prompt
SUSPECTS = 3000             # of one crash
UPDATED_RECORDS = 30_000_000
RECORDS = 3                 # in one datagram
RECORD_BYTES = 1_000_000
LONG_ID = "t" * 30_000
HOUR_MS = 3_600_000
LIST_WORK, LIST_PLACEMENT_REQUESTS, LIST_CRASHES, LIST_CLEARED = 0, 5, 11, 12
PART_FLAG = 1 << 60         # of a suspect that is a part of prompts


def head(major, count):
    """The first bytes of a value with a length or a number."""
    if count < 24:
        return bytes([major << 5 | count])
    for code, size in ((24, 1), (25, 2), (26, 4), (27, 8)):
        if count < 1 << 8 * size:
            return bytes([major << 5 | code]) + count.to_bytes(size, "big")
    raise ValueError(f"{count} is too large")


def cbor(value):
    if isinstance(value, bool):
        return b"\xf5" if value else b"\xf4"
    if isinstance(value, int):
        return head(0, value)
    if isinstance(value, bytes):
        return head(2, len(value)) + value
    if isinstance(value, str):
        return head(3, len(value)) + value.encode()
    return head(4, len(value)) + b"".join(map(cbor, value))


def layout_of(template):
    """The number of the layout, the first of the values of a message."""
    return template[1]


def message(layout, number, lists=(), update=b""):
    """A message of the made-up instance `number`."""
    name = f"made-up-{number % MADE_UP_INSTANCES}"
    return cbor([layout, name, 1, "127.0.0.2", "hall", "127.0.0.2:80", 0, 0,
                 HOUR_MS, True, False, False, 0, False, 0, 0,
                 list(lists), update])


def compressed_update(_):
    """Changes of the store's records: a list of so many that do not exist."""
    array = head(4, UPDATED_RECORDS) + b"\x00" * UPDATED_RECORDS
    update = head(4, 4) + cbor(0) + cbor(1) + cbor(False) + array
    return zlib.compress(update, 9)


def made_up_records(number):
    """A few large records that no store has."""
    value = cbor(b"x" * RECORD_BYTES)
    records = b"".join(
        b"\x83" + cbor(f"pollenstream/instances/made-up-{number}-{i}") +
        cbor(number) + value for i in range(RECORDS))
    update = head(4, 4) + cbor(0) + cbor(number) + cbor(False) + \
        head(4, RECORDS) + records
    return zlib.compress(update, 9)


def open_work(number):
    """Requests at a target that does not exist."""
    parts = [["i-none", 10, 10, 1]]
    return [LIST_WORK, [[number * WORKS + i, 100, 0, True, False, False, 0, parts]
                       for i in range(WORKS)]]


def waiting_requests(number):
    """A request that may not be refused, and may use no target."""
    excluded = [f"i-plain{i}" for i in range(1, 20)]
    parts = [1 << 40 | number << 20 | i for i in range(PARTS)]
    return [LIST_PLACEMENT_REQUESTS, [
        [number, "made-up", "plain", 0, 0, 300, 200, 200, 0, HOUR_MS, HOUR_MS,
         excluded, 1, False, number, parts, False]]]


def crashes(number):
    """A crash of a target with a long name."""
    suspects = [1 << 40 | number << 20 | i for i in range(SUSPECTS)]
    return [LIST_CRASHES, [[suspects, [LONG_ID, 1], 0]]]


def served_parts(number):
    """Parts of prompts that were served."""
    return [LIST_CLEARED,
            [PART_FLAG | number << 20 | i for i in range(PARTS)]]


REPORTS = {"open_work": open_work, "waiting_requests": waiting_requests,
           "crashes": crashes, "served_parts": served_parts}
UPDATES = {"compressed_updates": compressed_update,
           "made_up_records": made_up_records}


def report(template, kind, count, address):
    """Sends `count` messages with reports of one kind."""
    layout = layout_of(template)
    if kind in REPORTS:
        messages = (message(layout, number, [REPORTS[kind](number)])
                    for number in range(1, count + 1))
    else:
        messages = (message(layout, number, update=UPDATES[kind](number))
                    for number in range(1, count + 1))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for number, each in enumerate(messages):
            sender.sendto(each, address)
            if number % AT_ONCE == 0:
                time.sleep(PAUSE_S)
