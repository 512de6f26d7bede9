#!/usr/bin/env python3
"""Clients that exceed the limits, against real daemons. They check memory, descriptors and one request; no times."""

import http.client
import itertools
import pathlib
import random
import selectors
import socket
import sys
import threading
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "scripts"))
import fleet  # noqa: E402

BUILD = pathlib.Path(sys.argv.pop(1) if len(sys.argv) > 1 else ROOT / "build")
MIB = 1 << 20
MAX_BODY = 8 * MIB  # calls.max_body
CLIENTS = 40
HOST_MEMORY_MB = 160  # the smallest host
# The memory of the host, less 16 MiB for what the system has received and the daemon has not read.
MAX_RESIDENT_KB = (HOST_MEMORY_MB - 16) * 1024
MAX_DESCRIPTORS = 400
# The clients stop sending after this time. The bound is not a check: a daemon may refuse to read.
SENDING_SECONDS = 10

ONE_REGION = {
    **fleet.FAROLITO,
    "regions": {"montevideo": ["mvd-a", "mvd-b"]}, "services": {"vitrina": 1, "agenda": 1},
    "routes": [{"name": "slots", "spec": {"prefix": "/agenda/", "service": "agenda", "kind": "idempotent"}}],
    "limits": {"max-body-bytes": MAX_BODY},
}
SETTINGS = {"process": {"log_level": "info", "memory_mb": HOST_MEMORY_MB}}


STOP = b""  # in the pieces of a request: send no more for now
attempts = itertools.count(1)


def post(address, body, timeout):
    """Sends a whole request; returns the status and the reason of a refusal, also if the body was not taken whole."""
    connection = http.client.HTTPConnection(address, 8080, timeout=timeout)
    try:
        try:
            # The instance repeats the id of the attempt in its response.
            connection.request("POST", "/agenda/x", body=body, headers={
                "Host": fleet.VIRTUAL_HOST, "Attempt-Id": f"clients-{next(attempts)}"})
        except (BrokenPipeError, ConnectionResetError):
            pass  # the response may be there all the same
        response = connection.getresponse()
        response.read()
        return response.status, response.headers["x-parsleyyard-reason"]
    except (OSError, http.client.HTTPException) as error:
        return 0, repr(error)
    finally:
        connection.close()


def head(field):
    return f"POST /agenda/x HTTP/1.1\r\nHost: {fleet.VIRTUAL_HOST}\r\n{field}\r\n\r\n".encode()


def with_length(length, sent, piece):
    """A head that announces `length` bytes, and `sent` bytes of a body in pieces."""
    yield head(f"Content-Length: {length}")
    part = b"b" * piece
    while sent > 0:
        yield part[:sent]
        sent -= piece


def over_the_limit():
    """A chunked body that runs over the limit, with a stop just before it, until all clients are there."""
    yield from chunked(MAX_BODY - MIB, 16 * 1024, 64 * 1024)
    yield STOP
    framed = b"%x\r\n" % MIB + b"o" * MIB + b"\r\n"
    for _ in range(9):
        yield framed


def chunked(sent, chunk, piece):
    """A chunked body with `sent` bytes of content and without its last chunk, in pieces of whole chunks."""
    yield head("Transfer-Encoding: chunked")
    framed = b"%x\r\n" % chunk + b"c" * chunk + b"\r\n"
    per_piece = max(1, piece // chunk)
    for _ in range(max(1, sent // (chunk * per_piece))):
        yield framed * per_piece


class Sender:
    """Sends the pieces of one request as far as the daemon takes them, and keeps its connection open."""

    def __init__(self, address, pieces):
        self.pieces, self.rest = pieces, b""
        self.socket = socket.create_connection((address, 8080), timeout=5)
        self.socket.setblocking(False)

    def send(self):
        """Returns False at a stop, at the end, and when the daemon has closed the connection."""
        try:
            if not self.rest:
                self.rest = memoryview(next(self.pieces, STOP))
            if not self.rest:
                return False
            self.rest = self.rest[self.socket.send(self.rest):]
        except BlockingIOError:
            pass
        except OSError:
            return False
        return True


def send_until_stop(senders):
    """Sends a piece of each request in turn, until all are at a stop."""
    deadline = time.time() + SENDING_SECONDS
    with selectors.DefaultSelector() as selector:
        for sender in senders:
            selector.register(sender.socket, selectors.EVENT_WRITE, sender)
        while selector.get_map() and time.time() < deadline:
            for key, _ in selector.select(timeout=0.1):
                if not key.data.send():
                    selector.unregister(key.fileobj)


def send_all(address, bodies):
    """Sends all bodies at the same time; returns the open connections."""
    senders = [Sender(address, pieces) for pieces in bodies]
    send_until_stop(senders)
    send_until_stop(senders)
    return [sender.socket for sender in senders]


class ClientsCase(unittest.TestCase):
    def fleet(self, profile=ONE_REGION, **options):
        return fleet.Fleet(profile, ROOT / "out/test", build=BUILD, settings=SETTINGS, region_link=False,
                           kept_dir=ROOT / "out/failed", **options)

    def assert_answers(self, host, body=None):
        """One request is answered, where need be after refusals that say that it may be sent again."""
        deadline, seen = time.time() + 10, []
        while time.time() < deadline:
            seen.append(post(host.address, body, timeout=5))
            if seen[-1][0] == 200:
                return
            time.sleep(0.1)
        self.fail(f"no answer: {seen[-5:]}")

    def assert_within_host(self, f):
        peaks = {}
        for host in f.hosts:
            process = f.processes["daemon-" + host.address]
            self.assertIsNone(process.poll(), f"{host.address} ended")
            peaks[host.address] = fleet.peak_memory_kb(process.pid)
            descriptors = len(list(pathlib.Path(f"/proc/{process.pid}/fd").iterdir()))
            self.assertLess(descriptors, MAX_DESCRIPTORS)
        print(f"VmHWM in kB: {peaks}", file=sys.stderr)
        self.assertLess(max(peaks.values()), MAX_RESIDENT_KB, peaks)


class StalledBodiesTest(ClientsCase):
    """Guards against a daemon that runs out of memory because clients stop just short of the end of their bodies."""

    def check(self, bodies):
        with self.fleet() as f:
            f.wait_ready()
            entry = f.hosts[0]
            sockets = send_all(entry.address, bodies)
            try:
                self.assert_within_host(f)
                self.assert_answers(entry)
            finally:
                for each in sockets:
                    each.close()
            self.assert_answers(entry, body=b"b" * MAX_BODY)
            self.assert_within_host(f)

    def test_bodies_whole(self):
        self.check([with_length(MAX_BODY, MAX_BODY - 1, MAX_BODY) for _ in range(CLIENTS)])

    def test_bodies_in_pieces(self):
        self.check([with_length(MAX_BODY, MAX_BODY - 1, 16 * 1024) for _ in range(CLIENTS)])

    def test_large_chunks(self):
        self.check([chunked(MAX_BODY - MIB, MIB, MIB) for _ in range(CLIENTS)])

    def test_small_chunks(self):
        self.check([chunked(MAX_BODY - MIB, 64, 16 * 1024) for _ in range(CLIENTS)])

    def test_over_the_limit_announced(self):
        self.check([with_length(8 * MAX_BODY, 2 * MAX_BODY, 64 * 1024) for _ in range(CLIENTS)])

    def test_over_the_limit_not_announced(self):
        self.check([over_the_limit() for _ in range(CLIENTS)])


class UnreadResponsesTest(ClientsCase):
    """Guards against a daemon that runs out of memory because clients don't read their responses."""

    RESPONSE = 6 * MIB

    def request_and_stop(self, address):
        each = socket.socket()
        each.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
        each.connect((address, 8080))
        each.sendall(f"GET /agenda/x HTTP/1.1\r\nHost: {fleet.VIRTUAL_HOST}\r\nAttempt-Id: unread-{next(attempts)}\r\n"
                     f"x-want-bytes: {self.RESPONSE}\r\n\r\n".encode())
        return each

    def test_clients_do_not_read(self):
        with self.fleet() as f:
            f.wait_ready()
            entry, sockets = f.hosts[0], []
            for _ in range(CLIENTS):
                sockets.append(self.request_and_stop(entry.address))
                # The first bytes of the response are there, or a refusal: its bytes are held.
                sockets[-1].settimeout(10)
                sockets[-1].recv(1)
            try:
                self.assert_within_host(f)
                self.assert_answers(entry)
            finally:
                for each in sockets:
                    each.close()
            self.assert_answers(entry, body=b"b" * MAX_BODY)
            self.assert_within_host(f)


class ManyPeersTest(ClientsCase):
    """Guards against the daemon beside an instance that runs out of memory by the calls of many daemons."""

    ENTRIES, CLIENTS_EACH, BODY = 6, 8, 5 * MIB

    def send_whole(self, address, statuses):
        statuses.append(post(address, random.randbytes(self.BODY), timeout=20)[0])

    def test_large_calls_to_one_instance(self):
        # The instance is slow, so that the calls wait at its daemon.
        profile = {**ONE_REGION, "services": {"agenda": 1, "vitrina": self.ENTRIES}, "slots": 40, "service_ms": 1500,
                   "routes": [{"name": "slots", "spec": {"prefix": "/agenda/", "service": "agenda",
                                                         "kind": "idempotent", "timeout-ms": 8000,
                                                         "target-latency-ms": 7000}}]}
        with self.fleet(profile) as f:
            f.wait_ready()
            entries = [host for host in f.hosts if host.service == "vitrina"]
            statuses = []
            threads = [threading.Thread(target=self.send_whole, args=(host.address, statuses))
                       for host in entries for _ in range(self.CLIENTS_EACH)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            print(f"statuses: { {s: statuses.count(s) for s in set(statuses)} }", file=sys.stderr)
            self.assert_within_host(f)
            self.assert_answers(entries[0])


if __name__ == "__main__":
    unittest.main(verbosity=2)
